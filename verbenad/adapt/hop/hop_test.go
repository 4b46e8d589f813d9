package hop_test

import (
	"context"
	"net"
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
