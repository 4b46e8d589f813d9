package grants_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/command/hold"
	"verbenabank/verbenad/adapt/grants"
)

// dialect sends calls without content. The target says its name in the field Name.
type dialect struct{}

func (dialect) Grant(hold.Grant) grants.Message { return grants.NewMessage("/grant", []byte("{}")) }
func (dialect) Release(hold.Release) grants.Message {
	return grants.NewMessage("/release", []byte("{}"))
}

func (dialect) ProcessName(field func(name string) string) string { return field("Name") }

func (dialect) Result(status int, field func(name string) string) hold.Result {
	if status == http.StatusOK {
		return hold.NewDone(field("Handover"))
	}
	return hold.Unanswered{}
}

// process is a process of a target. It counts the calls that reach it.
type process struct {
	name   string
	server *http.Server
	closes bool // it closes each connection after its answer

	mu    sync.Mutex
	calls int
	asked int
	cold  string
}

func startProcess(t *testing.T, name, address string, configure ...func(*http.Server)) (*process, string) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	for end := time.Now().Add(time.Second); err != nil && time.Now().Before(end); l, err = net.Listen("tcp", address) {
		time.Sleep(time.Millisecond)
	}
	if err != nil {
		t.Fatal(err)
	}
	p := &process{name: name}
	p.server = &http.Server{Handler: p}
	for _, f := range configure {
		f(p.server)
	}
	go func() { _ = p.server.Serve(l) }()
	t.Cleanup(func() { _ = p.server.Close() })
	return p, l.Addr().String()
}

func (p *process) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closes {
		w.Header().Set("Connection", "close")
	}
	if r.Method == http.MethodGet {
		p.asked++
		w.Header().Set("Name", p.name)
		w.Header().Set("Cold", p.cold)
		return
	}
	p.calls++
}

func (p *process) counts() (calls, asked int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls, p.asked
}

func send(c *grants.Client, call hold.Call) hold.Result {
	results := make(chan hold.Result, 1)
	c.SendCall(call, func(r hold.Result) { results <- r })
	return <-results
}

func newClient(t *testing.T, name, address string) *grants.Client {
	c, stop := grants.New(grants.WithDialect(dialect{}))
	t.Cleanup(stop)
	c.SetProcess(grants.NewProcess(name, address, "s"))
	return c
}

// TestGrantsReachOnlyTheirProcess guards against a server that takes the grants of its predecessor: that one
// crashed, and the next one listens at the same address a moment later (review case 2).
func TestGrantsReachOnlyTheirProcess(t *testing.T) {
	is := is.New(t)
	first, address := startProcess(t, "first", "127.0.0.1:0")
	c := newClient(t, "first", address)
	is.Equal(send(c, hold.Grant{}), hold.Result(hold.NewDone("")))
	is.Equal(send(c, hold.Grant{}), hold.Result(hold.NewDone("")))
	calls, asked := first.counts()
	is.Equal([]int{calls, asked}, []int{2, 1}) // one connection, one question
	is.NoErr(first.server.Close())
	second, _ := startProcess(t, "second", address)
	ended := false
	for end := time.Now().Add(time.Second); !ended && time.Now().Before(end); {
		_, ended = send(c, hold.Grant{}).(hold.Ended)
	}
	is.True(ended)
	calls, _ = second.counts()
	is.Equal(calls, 0)
	c.SetProcess(grants.NewProcess("second", address, "s"))
	is.Equal(send(c, hold.Grant{}), hold.Result(hold.NewDone("")))
}

// TestRefusedPortEndsTheProcessOnlyWithoutConnections guards against keys that are free too early: a target that
// closed its port may still be at work, and answers on its connections.
func TestRefusedPortEndsTheProcessOnlyWithoutConnections(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	working, finish := make(chan struct{}), make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			w.Header().Set("Name", "first")
			return
		}
		close(working)
		<-finish
	})}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	c := newClient(t, "first", l.Addr().String())
	released := make(chan hold.Result, 1)
	c.SendCall(hold.Release{}, func(r hold.Result) { released <- r })
	<-working
	_ = l.Close()
	is.Equal(send(c, hold.Release{}), hold.Result(hold.Unreached{}))
	close(finish)
	is.Equal(<-released, hold.Result(hold.NewDone("")))
	_ = server.Close()
	ended := false
	for end := time.Now().Add(time.Second); !ended && time.Now().Before(end); {
		_, ended = send(c, hold.Release{}).(hold.Ended)
	}
	is.True(ended)
}

// TestReleaseReachesAProcessThatClosesItsConnections covers a target that stops: each of its answers ends the
// connection, also the one that says its name.
func TestReleaseReachesAProcessThatClosesItsConnections(t *testing.T) {
	is := is.New(t)
	p, address := startProcess(t, "first", "127.0.0.1:0")
	p.closes = true
	c := newClient(t, "first", address)
	is.Equal(send(c, hold.Release{}), hold.Result(hold.NewDone("")))
	calls, _ := p.counts()
	is.Equal(calls, 1)
	is.Equal(send(newClient(t, "another", address), hold.Release{}), hold.Result(hold.Ended{}))
	calls, _ = p.counts()
	is.Equal(calls, 1)
}

func (dialect) ColdTime(field func(name string) string) (clock.Millis, bool) {
	ms, err := strconv.Atoi(field("Cold"))
	return clock.Millis(ms), err == nil
}

// TestQuestionsAboutColdStarts asks a process twice on one connection. Answers of another process at the same address,
// and those that don't say whether it is cold, are no answers.
func TestQuestionsAboutColdStarts(t *testing.T) {
	is := is.New(t)
	var opened atomic.Int64
	p, address := startProcess(t, "first", "127.0.0.1:0", func(s *http.Server) {
		s.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				opened.Add(1)
			}
		}
	})
	ask := func(c *grants.Client) string {
		results := make(chan string, 1)
		c.AskCold(func(left clock.Millis, ok bool) { results <- fmt.Sprint(int64(left), ok) })
		return <-results
	}
	c := newClient(t, "first", address)
	is.Equal(ask(c), "0 false")
	p.setCold("2500")
	is.Equal(ask(c), "2500 true")
	p.setCold("0")
	is.Equal(ask(c), "0 true")
	is.Equal(opened.Load(), int64(1))
	is.Equal(ask(newClient(t, "second", address)), "0 false")
	c.SetProcess(grants.Process{})
	is.Equal(ask(c), "0 false")
}

func (p *process) setCold(text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cold = text
}
