package front_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/state/call"
	"verbenabank/verbenad/adapt/front"
)

// shutdown calls Shutdown in the background with a grace period of 5 s, and returns a channel that is
// closed when it returns.
func shutdown(t *testing.T, f *front.Server) <-chan struct{} {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	done := make(chan struct{})
	go func() {
		f.Shutdown(ctx)
		close(done)
	}()
	time.Sleep(50 * time.Millisecond) // until Shutdown has closed the idle connections
	return done
}

// TestConnectionClosesAfterStreamStartedBeforeShutdown guards against requests that were accepted until
// the end of the grace period and then cancelled at their targets. The response head had been sent
// before the shutdown without "Connection: close", and nothing closed the connection afterwards.
func TestConnectionClosesAfterStreamStartedBeforeShutdown(t *testing.T) {
	is := is.New(t)
	source, target := io.Pipe()
	var received atomic.Int32
	f, address := startServer(t, 5000, func(context.Context, call.Request) call.Reply {
		received.Add(1)
		return call.NewResponse(200, nil, source, -1)
	})
	c, r := dial(t, address)
	_, err := io.WriteString(c, getRequest("/p/1"))
	is.NoErr(err)
	go func() { _, _ = target.Write(make([]byte, 20<<10)) }()
	a, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	defer func() { _ = a.Body.Close() }()
	done := shutdown(t, f)
	go func() {
		_, _ = target.Write(make([]byte, 20<<10))
		_ = target.Close()
	}()
	content, err := io.ReadAll(a.Body)
	is.NoErr(err)
	is.Equal(len(content), 40<<10)
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	_, err = r.ReadByte()
	is.Equal(err, io.EOF)
	<-done
	is.Equal(received.Load(), int32(1))
}

// TestNoPipelinedRequestStartsDuringShutdown guards against requests that were pipelined behind another
// one during the shutdown, and were in flight when the grace period ended.
func TestNoPipelinedRequestStartsDuringShutdown(t *testing.T) {
	is := is.New(t)
	proceed := make(chan struct{})
	received := make(chan string, 2)
	f, address := startServer(t, 5000, func(_ context.Context, r call.Request) call.Reply {
		received <- r.URI()
		<-proceed
		return newResponse(r.URI(), 4)
	})
	c, r := dial(t, address)
	_, err := io.WriteString(c, getRequest("/p/1"))
	is.NoErr(err)
	is.Equal(<-received, "/p/1")
	done := shutdown(t, f)
	_, err = io.WriteString(c, getRequest("/p/2"))
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	close(proceed)
	status, text := readResponse(t, r)
	is.Equal(status, 200)
	is.Equal(text, "/p/1")
	_, err = r.ReadByte()
	is.True(err != nil) // the connection is closed
	<-done
	is.Equal(len(received), 0)
}

// TestUnreadInputDoesNotTruncateLastResponse guards against truncated responses: closing a connection
// with unread input resets it, and the caller loses what it has not received yet.
func TestUnreadInputDoesNotTruncateLastResponse(t *testing.T) {
	is := is.New(t)
	const size = 1 << 20
	f, address := startServer(t, 5000, func(context.Context, call.Request) call.Reply {
		return newResponse(strings.Repeat("x", size), size)
	})
	c, r := dial(t, address)
	f.DisableKeepAlives()
	_, err := io.WriteString(c, getRequest("/p/1"))
	is.NoErr(err)
	a, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	defer func() { _ = a.Body.Close() }()
	for range 3 {
		if _, err := io.WriteString(c, getRequest("/p/2")); err != nil {
			break // the connection is closed
		}
		time.Sleep(30 * time.Millisecond)
	}
	content, err := io.ReadAll(a.Body)
	is.NoErr(err)
	is.Equal(len(content), size)
}

// lateConn is a connection whose request arrives just after its read deadline was set to the past.
type lateConn struct {
	net.Conn
	request  []byte
	awaited  chan struct{} // closed when the server waits for a request
	ended    chan struct{} // receives an element whenever a read deadline in the past is set
	response chan []byte
}

func (l *lateConn) Read(p []byte) (int, error) {
	if len(l.request) == 0 {
		<-l.ended
		return 0, os.ErrDeadlineExceeded
	}
	close(l.awaited)
	<-l.ended
	n := copy(p, l.request)
	l.request = l.request[n:]
	return n, nil
}

func (l *lateConn) Write(p []byte) (int, error) {
	l.response <- append([]byte(nil), p...)
	return len(p), nil
}

func (l *lateConn) SetReadDeadline(end time.Time) error {
	if end.Before(time.Now()) {
		l.ended <- struct{}{}
	}
	return nil
}

func (*lateConn) SetWriteDeadline(time.Time) error { return nil }

func (l *lateConn) Close() error {
	close(l.response)
	return nil
}

// singleConnListener is a listener that accepts one connection: at once, or if late is set, just after
// Close was called.
type singleConnListener struct {
	conns  chan net.Conn
	late   bool
	once   sync.Once
	closed chan struct{}
}

func newSingleConnListener(c net.Conn, late bool) *singleConnListener {
	b := &singleConnListener{conns: make(chan net.Conn, 1), late: late, closed: make(chan struct{})}
	b.conns <- c
	return b
}

func (b *singleConnListener) Accept() (net.Conn, error) {
	if b.late {
		<-b.closed
		time.Sleep(20 * time.Millisecond)
	}
	select {
	case c := <-b.conns:
		return c, nil
	default:
		<-b.closed
		return nil, net.ErrClosed
	}
}

func (b *singleConnListener) Close() error {
	b.once.Do(func() { close(b.closed) })
	return nil
}

func (*singleConnListener) Addr() net.Addr { return nil }

// TestRequestReadWhileIdleConnectionClosesIsAnswered guards against requests without a response: they
// were read completely at the moment at which Shutdown closed idle connections.
func TestRequestReadWhileIdleConnectionClosesIsAnswered(t *testing.T) {
	is := is.New(t)
	f, _ := startServer(t, 5000, func(context.Context, call.Request) call.Reply { return newResponse("whole", 5) })
	l := &lateConn{request: []byte(getRequest("/p/1")), awaited: make(chan struct{}), ended: make(chan struct{}, 4), response: make(chan []byte, 4)}
	b := newSingleConnListener(l, false)
	defer func() { _ = b.Close() }()
	go func() { _ = f.Serve(b) }()
	<-l.awaited
	<-shutdown(t, f)
	a, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(<-l.response)), nil)
	is.NoErr(err)
	is.Equal(a.StatusCode, 200)
	is.True(a.Close)
	_ = a.Body.Close()
}

// TestShutdownWaitsForConnectionBeingAccepted guards against requests that were lost when the process
// exited: their connection was accepted but not yet registered when all others had closed.
func TestShutdownWaitsForConnectionBeingAccepted(t *testing.T) {
	is := is.New(t)
	var served atomic.Bool
	f, _ := startServer(t, 5000, func(context.Context, call.Request) call.Reply {
		time.Sleep(50 * time.Millisecond)
		served.Store(true)
		return newResponse("whole", 5)
	})
	ours, theirs := net.Pipe()
	b := newSingleConnListener(theirs, true)
	go func() { _ = f.Serve(b) }()
	time.Sleep(20 * time.Millisecond)
	go func() {
		_, _ = io.WriteString(ours, getRequest("/p/1"))
		_, _ = io.Copy(io.Discard, ours)
	}()
	_ = b.Close()
	<-shutdown(t, f)
	is.True(served.Load())
}

// slowConn is a connection whose Write returns 200 ms after the data was sent.
type slowConn struct{ net.Conn }

func (s slowConn) Write(p []byte) (int, error) {
	n, err := s.Conn.Write(p)
	time.Sleep(200 * time.Millisecond)
	return n, err
}

// TestRequestAfterResponseDuringShutdownIsServed guards against requests that were read and dropped. The
// caller had received the previous response, without "Connection: close", but its Write had not
// returned yet, so that it counted as in flight.
func TestRequestAfterResponseDuringShutdownIsServed(t *testing.T) {
	is := is.New(t)
	f, _ := startServer(t, 5000, func(context.Context, call.Request) call.Reply { return newResponse("whole", 5) })
	ours, theirs := net.Pipe()
	b := newSingleConnListener(slowConn{theirs}, false)
	go func() { _ = f.Serve(b) }()
	r := bufio.NewReader(ours)
	_, err := io.WriteString(ours, getRequest("/p/1"))
	is.NoErr(err)
	status, _ := readResponse(t, r)
	is.Equal(status, 200)
	done := shutdown(t, f)
	_, err = io.WriteString(ours, getRequest("/p/2"))
	is.NoErr(err)
	status, _ = readResponse(t, r)
	is.Equal(status, 200)
	<-done
}

// TestShutdownLosesNoForwardedRequest sends requests on keep-alive connections while Shutdown closes
// them. Each request that reached the target must be answered.
func TestShutdownLosesNoForwardedRequest(t *testing.T) {
	var forwarded sync.Map
	f, address := startServer(t, 5000, func(_ context.Context, r call.Request) call.Reply {
		forwarded.Store(r.URI(), true)
		time.Sleep(5 * time.Millisecond)
		return newResponse(r.URI(), int64(len(r.URI())))
	})
	var group sync.WaitGroup
	var lost, answered, crossed atomic.Int32
	for n := range 200 {
		group.Go(func() {
			c, err := net.Dial("tcp", address)
			if err != nil {
				return // the listener is closed
			}
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			for m := range 40 {
				path := "/p/" + strings.Repeat("x", n+1) + "/" + strings.Repeat("y", m+1)
				if _, err := io.WriteString(c, getRequest(path)); err != nil {
					return
				}
				a, err := http.ReadResponse(r, nil)
				if _, ok := forwarded.Load(path); err != nil && ok {
					lost.Add(1)
				}
				if err != nil {
					crossed.Add(1)
					return
				}
				_, err = io.ReadAll(a.Body)
				_ = a.Body.Close()
				if err != nil {
					lost.Add(1)
					return
				}
				answered.Add(1)
				if a.Close {
					return
				}
				time.Sleep(time.Duration(n%7) * time.Millisecond)
			}
		})
	}
	time.Sleep(60 * time.Millisecond)
	<-shutdown(t, f)
	group.Wait()
	t.Logf("%d answered, %d sent on a connection that was being closed", answered.Load(), crossed.Load())
	if lost.Load() > 0 {
		t.Fatalf("%d requests were forwarded and got no complete response", lost.Load())
	}
}
