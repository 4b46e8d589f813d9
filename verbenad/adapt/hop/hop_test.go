package hop_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/core/wire/wirepb"
	"verbenabank/verbenad/adapt/hop"
)

// frozen takes requests and does nothing.
type frozen struct{ taken chan struct{} }

func (f frozen) Serve(ctx context.Context, _ call.Request) call.Reply {
	f.taken <- struct{}{}
	<-ctx.Done()
	return call.Unknown(result.Cancelled)
}

func peer(t *testing.T, o hop.Owner) (string, *grpc.Server) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer()
	wirepb.RegisterHopServer(s, hop.NewServer(o))
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	return l.Addr().String(), s
}

func TestRequestsToAPeerThatIsGoneEndAtOnce(t *testing.T) {
	is := is.New(t)
	f := frozen{taken: make(chan struct{}, 1)}
	address, _ := peer(t, f)
	c, stop := hop.New()
	defer stop()
	done := make(chan call.Reply)
	go func() { done <- c.Send(context.Background(), address, call.NewRequest("s", "POST", "/")) }()
	<-f.taken
	c.Keep(map[string]bool{})
	is.Equal(<-done, call.Reply(call.Unknown(result.Interrupted)))
}

func TestPeerThatCannotBeReachedIsNotRun(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0") // accepts, but never speaks
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	c, stop := hop.New(hop.WithConnectTimeout(100 * time.Millisecond))
	defer stop()
	address, s := peer(t, frozen{})
	s.Stop()
	for _, a := range []string{address, l.Addr().String()} {
		began := time.Now()
		is.Equal(c.Send(context.Background(), a, call.NewRequest("s", "POST", "/")), call.Reply(call.Refuse(result.Unreachable)))
		is.True(time.Since(began) < 2*time.Second)
	}
}

// counted is a body that counts what is read of it.
type counted struct {
	bytes.Reader
	read atomic.Int64
}

func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// picky refuses requests of one service, answers those of another at once, and reads the bodies
// of all others.
type picky struct{}

func (picky) Serve(_ context.Context, r call.Request) call.Reply {
	switch r.Service() {
	case "full":
		return call.Refuse(result.Overloaded)
	case "early":
		return call.NewResponse(200, nil, io.NopCloser(bytes.NewReader([]byte("early"))), 5)
	}
	content, err := io.ReadAll(r.Body())
	if err != nil {
		return call.Unknown(result.Interrupted)
	}
	return call.NewResponse(200, nil, io.NopCloser(bytes.NewReader(content)), int64(len(content)))
}

// TestBodyIsSentOnceItIsRead is the case of intake on scale-2 of tb-appraisal-grown: bodies of
// uploads that were refused filled the links of its machines, and sessions with the leader ended.
func TestBodyIsSentOnceItIsRead(t *testing.T) {
	address, _ := peer(t, picky{})
	c, stop := hop.New()
	defer stop()
	content := bytes.Repeat([]byte("festoon "), 40<<10)
	for _, length := range []int64{int64(len(content)), -1} {
		for _, service := range []string{"full", "early", "whole"} {
			t.Run(service, func(t *testing.T) {
				is := is.New(t)
				b := &counted{}
				b.Reset(content)
				reply := c.Send(context.Background(), address, call.NewRequest(service, "POST", "/", call.WithBody(b, length)))
				switch service {
				case "full":
					is.Equal(reply, call.Reply(call.Refuse(result.Overloaded)))
				case "early", "whole":
					a := reply.(call.Response)
					got, err := io.ReadAll(a.Body())
					is.NoErr(err)
					is.True(string(got) == "early" || bytes.Equal(got, content))
				}
				is.Equal(b.read.Load() > 0, service == "whole")
			})
		}
	}
}

// lingering answers, but only after others know that its daemon is gone.
type lingering struct {
	taken   chan struct{}
	proceed chan struct{}
}

func (l lingering) Serve(context.Context, call.Request) call.Reply {
	l.taken <- struct{}{}
	<-l.proceed
	return call.NewResponse(200, nil, io.NopCloser(bytes.NewReader([]byte("last"))), 4)
}

// TestLastAnswerOfAPeerThatLeftArrives guards against 502 for requests that the target of a stopping
// daemon had answered: the word that the daemon is gone overtook its answers.
func TestLastAnswerOfAPeerThatLeftArrives(t *testing.T) {
	is := is.New(t)
	l := lingering{taken: make(chan struct{}, 1), proceed: make(chan struct{})}
	address, _ := peer(t, l)
	c, stop := hop.New()
	defer stop()
	done := make(chan call.Reply)
	go func() { done <- c.Send(context.Background(), address, call.NewRequest("s", "POST", "/")) }()
	<-l.taken
	c.Keep(map[string]bool{})
	close(l.proceed)
	a, ok := (<-done).(call.Response)
	is.True(ok)
	content, err := io.ReadAll(a.Body())
	is.NoErr(err)
	is.Equal(string(content), "last")
}
