package client

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/state/result"
	"verbenabank/vload/state/call"
	"verbenabank/vload/state/plan"
)

var post = call.NewRequest("1", "bookings", "tent", "POST", 10, 0, 0)

func nearDeadline() time.Time { return time.Now().Add(2 * time.Second) }

// TestBrokenRequestIsSentOnce guards against a client that resends a request whose
// connection broke after the server had read it: the request might run twice.
func TestBrokenRequestIsSentOnce(t *testing.T) {
	is := is.New(t)
	var count atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		count.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer s.Close()
	c, stop := New()
	defer stop()
	reply := c.Send(post, s.Listener.Addr().String(), nearDeadline())
	is.Equal(reply.Outcome(), result.NewUnknown(result.Interrupted))
	is.Equal(count.Load(), int64(1))
}

// TestClosedIdleConnectionsAreNotUsed guards against sending a request on an idle
// connection that the server closed: its outcome would be unknown, although it never
// ran.
func TestClosedIdleConnectionsAreNotUsed(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	c, stop := New(WithRouting(plan.Modulo{}))
	defer stop()
	address := s.Listener.Addr().String()
	is.Equal(c.Send(post, address, nearDeadline()).Outcome(), result.NewAnswered(200))
	s.CloseClientConnections()
	time.Sleep(50 * time.Millisecond)
	is.Equal(c.Send(post, address, nearDeadline()).Outcome(), result.NewAnswered(200))
	s.Close()
	is.Equal(c.Send(post, address, nearDeadline()).Outcome(), result.NewRefused(result.Unreachable, 0))
}

func TestSilentServerTimesOut(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { is.NoErr(l.Close()) }()
	c, stop := New()
	defer stop()
	reply := c.Send(post, l.Addr().String(), time.Now().Add(100*time.Millisecond))
	is.Equal(reply.Outcome(), result.NewUnknown(result.TimedOut))
}
