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

// stopping calls Shutdown with an end of the grace that is far away, and returns what tells that
// it is over.
func stopping(t *testing.T, f *front.Server) <-chan struct{} {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	done := make(chan struct{})
	go func() {
		f.Shutdown(ctx)
		close(done)
	}()
	time.Sleep(50 * time.Millisecond) // connections were asked to end
	return done
}

// TestStreamBegunBeforeTheStopEndsItsConnection guards against requests that were taken on until
// the end of the grace, and then cut at their targets: the head of the answer before did not say
// that the connection ends, and nothing ended it later.
func TestStreamBegunBeforeTheStopEndsItsConnection(t *testing.T) {
	is := is.New(t)
	source, target := io.Pipe()
	var asked atomic.Int32
	f, address := start(t, 5000, func(context.Context, call.Request) call.Reply {
		asked.Add(1)
		return call.NewResponse(200, nil, source, -1)
	})
	c, r := dial(t, address)
	_, err := io.WriteString(c, ask("/p/1"))
	is.NoErr(err)
	go func() { _, _ = target.Write(make([]byte, 20<<10)) }()
	a, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	defer func() { _ = a.Body.Close() }()
	done := stopping(t, f)
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
	is.Equal(asked.Load(), int32(1))
}

// TestNothingIsTakenOnBehindRequestsOfAStop guards against requests that were sent behind another
// one long after the stop began, and were at their targets when the grace ended.
func TestNothingIsTakenOnBehindRequestsOfAStop(t *testing.T) {
	is := is.New(t)
	proceed := make(chan struct{})
	asked := make(chan string, 2)
	f, address := start(t, 5000, func(_ context.Context, r call.Request) call.Reply {
		asked <- r.URI()
		<-proceed
		return answer(r.URI(), 4)
	})
	c, r := dial(t, address)
	_, err := io.WriteString(c, ask("/p/1"))
	is.NoErr(err)
	is.Equal(<-asked, "/p/1")
	done := stopping(t, f)
	_, err = io.WriteString(c, ask("/p/2"))
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	close(proceed)
	status, text := read(t, r)
	is.Equal(status, 200)
	is.Equal(text, "/p/1")
	_, err = r.ReadByte()
	is.True(err != nil) // the end of the connection
	<-done
	is.Equal(len(asked), 0)
}

// TestAnswerArrivesThoughMoreWasSentBehindIt guards against answers that were cut by the reset of a
// connection that was closed with unread bytes.
func TestAnswerArrivesThoughMoreWasSentBehindIt(t *testing.T) {
	is := is.New(t)
	const size = 1 << 20
	f, address := start(t, 5000, func(context.Context, call.Request) call.Reply {
		return answer(strings.Repeat("x", size), size)
	})
	c, r := dial(t, address)
	f.DisableKeepAlives()
	_, err := io.WriteString(c, ask("/p/1"))
	is.NoErr(err)
	a, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	defer func() { _ = a.Body.Close() }()
	for range 3 {
		if _, err := io.WriteString(c, ask("/p/2")); err != nil {
			break // the connection is closed
		}
		time.Sleep(30 * time.Millisecond)
	}
	content, err := io.ReadAll(a.Body)
	is.NoErr(err)
	is.Equal(len(content), size)
}

// late is a connection whose request is read just after the connection was told to end.
type late struct {
	net.Conn
	request  []byte
	awaited  chan struct{} // closed when a request is awaited
	ended    chan struct{} // has an element each time the connection is told to end
	response chan []byte
}

func (l *late) Read(p []byte) (int, error) {
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

func (l *late) Write(p []byte) (int, error) {
	l.response <- append([]byte(nil), p...)
	return len(p), nil
}

func (l *late) SetReadDeadline(end time.Time) error {
	if end.Before(time.Now()) {
		l.ended <- struct{}{}
	}
	return nil
}

func (*late) SetWriteDeadline(time.Time) error { return nil }

func (l *late) Close() error {
	close(l.response)
	return nil
}

// brief is a listener that gives one connection: at once, or while it is being closed.
type brief struct {
	conns  chan net.Conn
	late   bool
	once   sync.Once
	closed chan struct{}
}

func newBrief(c net.Conn, late bool) *brief {
	b := &brief{conns: make(chan net.Conn, 1), late: late, closed: make(chan struct{})}
	b.conns <- c
	return b
}

func (b *brief) Accept() (net.Conn, error) {
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

func (b *brief) Close() error {
	b.once.Do(func() { close(b.closed) })
	return nil
}

func (*brief) Addr() net.Addr { return nil }

// TestRequestReadAsItsConnectionEndsIsAnswered guards against requests that were read whole and got
// neither an answer nor a refusal, since idle connections were ended at the same instant.
func TestRequestReadAsItsConnectionEndsIsAnswered(t *testing.T) {
	is := is.New(t)
	f, _ := start(t, 5000, func(context.Context, call.Request) call.Reply { return answer("whole", 5) })
	l := &late{request: []byte(ask("/p/1")), awaited: make(chan struct{}), ended: make(chan struct{}, 4), response: make(chan []byte, 4)}
	b := newBrief(l, false)
	defer func() { _ = b.Close() }()
	go func() { _ = f.Serve(b) }()
	<-l.awaited
	<-stopping(t, f)
	a, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(<-l.response)), nil)
	is.NoErr(err)
	is.Equal(a.StatusCode, 200)
	is.True(a.Close)
	_ = a.Body.Close()
}

// TestShutdownWaitsForAConnectionThatIsBeingTakenOn guards against requests that were cut by the end
// of the process: their connection was not known yet when the last one had ended.
func TestShutdownWaitsForAConnectionThatIsBeingTakenOn(t *testing.T) {
	is := is.New(t)
	var served atomic.Bool
	f, _ := start(t, 5000, func(context.Context, call.Request) call.Reply {
		time.Sleep(50 * time.Millisecond)
		served.Store(true)
		return answer("whole", 5)
	})
	ours, theirs := net.Pipe()
	b := newBrief(theirs, true)
	go func() { _ = f.Serve(b) }()
	time.Sleep(20 * time.Millisecond)
	go func() {
		_, _ = io.WriteString(ours, ask("/p/1"))
		_, _ = io.Copy(io.Discard, ours)
	}()
	_ = b.Close()
	<-stopping(t, f)
	is.True(served.Load())
}

// slow is a connection whose writer goes on a while after its bytes have left.
type slow struct{ net.Conn }

func (s slow) Write(p []byte) (int, error) {
	n, err := s.Conn.Write(p)
	time.Sleep(200 * time.Millisecond)
	return n, err
}

// TestRequestAfterAnAnswerOfAStopIsTakenOn guards against requests that were read and dropped: the
// answer before had arrived, and did not say that the connection ends, but counted as under way.
func TestRequestAfterAnAnswerOfAStopIsTakenOn(t *testing.T) {
	is := is.New(t)
	f, _ := start(t, 5000, func(context.Context, call.Request) call.Reply { return answer("whole", 5) })
	ours, theirs := net.Pipe()
	b := newBrief(slow{theirs}, false)
	go func() { _ = f.Serve(b) }()
	r := bufio.NewReader(ours)
	_, err := io.WriteString(ours, ask("/p/1"))
	is.NoErr(err)
	status, _ := read(t, r)
	is.Equal(status, 200)
	done := stopping(t, f)
	_, err = io.WriteString(ours, ask("/p/2"))
	is.NoErr(err)
	status, _ = read(t, r)
	is.Equal(status, 200)
	<-done
}

// TestRequestsThatCrossTheStopAreAnsweredOrNotPassedOn sends requests on kept connections just as
// these are ended.
func TestRequestsThatCrossTheStopAreAnsweredOrNotPassedOn(t *testing.T) {
	var passed sync.Map
	f, address := start(t, 5000, func(_ context.Context, r call.Request) call.Reply {
		passed.Store(r.URI(), true)
		time.Sleep(5 * time.Millisecond)
		return answer(r.URI(), int64(len(r.URI())))
	})
	var group sync.WaitGroup
	var lost, answered, crossed atomic.Int32
	for n := range 200 {
		group.Go(func() {
			c, err := net.Dial("tcp", address)
			if err != nil {
				return // too late
			}
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			for m := range 40 {
				path := "/p/" + strings.Repeat("x", n+1) + "/" + strings.Repeat("y", m+1)
				if _, err := io.WriteString(c, ask(path)); err != nil {
					return
				}
				a, err := http.ReadResponse(r, nil)
				if _, ok := passed.Load(path); err != nil && ok {
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
	<-stopping(t, f)
	group.Wait()
	t.Logf("%d answered, %d crossed the end of their connection", answered.Load(), crossed.Load())
	if lost.Load() > 0 {
		t.Fatalf("%d requests were passed on and got no answer", lost.Load())
	}
}
