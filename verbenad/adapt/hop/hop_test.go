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

// blockingOwner blocks each request until it is cancelled.
type blockingOwner struct{ received chan struct{} }

func (f blockingOwner) Serve(ctx context.Context, _ call.Request) call.Reply {
	f.received <- struct{}{}
	<-ctx.Done()
	return call.Unknown(result.Cancelled)
}

func startPeer(t *testing.T, o hop.Owner) (string, *grpc.Server) { return startPeerWith(t, o) }

func startPeerWith(t *testing.T, o hop.Owner, opts ...hop.ServerOption) (string, *grpc.Server) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer()
	wirepb.RegisterHopServer(s, hop.NewServer(o, opts...))
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	return l.Addr().String(), s
}

func TestRequestsToRemovedPeerAreInterrupted(t *testing.T) {
	is := is.New(t)
	f := blockingOwner{received: make(chan struct{}, 1)}
	address, _ := startPeer(t, f)
	c, stop := hop.New()
	defer stop()
	done := make(chan call.Reply)
	go func() { done <- c.Send(context.Background(), address, call.NewRequest("s", "POST", "/")) }()
	<-f.received
	c.SetAddresses(map[string]bool{})
	is.Equal(<-done, call.Reply(call.Unknown(result.Interrupted)))
}

func TestRequestToUnreachablePeerIsNotRun(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0") // completes TCP handshakes, but never sends anything
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	c, stop := hop.New(hop.WithConnectTimeout(100 * time.Millisecond))
	defer stop()
	address, s := startPeer(t, blockingOwner{})
	s.Stop()
	for _, a := range []string{address, l.Addr().String()} {
		began := time.Now()
		is.Equal(c.Send(context.Background(), a, call.NewRequest("s", "POST", "/")), call.Reply(call.Refuse(result.Unreachable)))
		is.True(time.Since(began) < 2*time.Second)
	}
}

// countingBody is a body that counts the bytes read from it.
type countingBody struct {
	bytes.Reader
	read atomic.Int64
}

func (c *countingBody) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// ownerByService refuses requests of the service "full", answers those of "early" without reading the
// body, and returns the bodies of all others.
type ownerByService struct{}

func (ownerByService) Serve(_ context.Context, r call.Request) call.Reply {
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

// TestBodyIsSentOnlyWhenItIsRead guards against the bodies of refused uploads being sent to the owner:
// they saturated the network links of the instances, and daemons lost their sessions with the leader.
func TestBodyIsSentOnlyWhenItIsRead(t *testing.T) {
	address, _ := startPeer(t, ownerByService{})
	c, stop := hop.New()
	defer stop()
	content := bytes.Repeat([]byte("festoon "), 40<<10)
	for _, length := range []int64{int64(len(content)), -1} {
		for _, service := range []string{"full", "early", "whole"} {
			t.Run(service, func(t *testing.T) {
				is := is.New(t)
				b := &countingBody{}
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

// delayedOwner answers only after the other daemons know that its own was removed.
type delayedOwner struct {
	received chan struct{}
	proceed  chan struct{}
}

func (l delayedOwner) Serve(context.Context, call.Request) call.Reply {
	l.received <- struct{}{}
	<-l.proceed
	return call.NewResponse(200, nil, io.NopCloser(bytes.NewReader([]byte("last"))), 4)
}

// TestResponseOfRemovedPeerArrives guards against status 502 for requests that the target of a stopping
// daemon had answered: the update that removed the daemon overtook its responses.
func TestResponseOfRemovedPeerArrives(t *testing.T) {
	is := is.New(t)
	l := delayedOwner{received: make(chan struct{}, 1), proceed: make(chan struct{})}
	address, _ := startPeer(t, l)
	c, stop := hop.New()
	defer stop()
	done := make(chan call.Reply)
	go func() { done <- c.Send(context.Background(), address, call.NewRequest("s", "POST", "/")) }()
	<-l.received
	c.SetAddresses(map[string]bool{})
	close(l.proceed)
	a, ok := (<-done).(call.Response)
	is.True(ok)
	content, err := io.ReadAll(a.Body())
	is.NoErr(err)
	is.Equal(string(content), "last")
}
