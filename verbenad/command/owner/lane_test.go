package owner_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/state/call"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
	"verbenabank/verbenad/command/owner"
)

// slowLink is the rate in Mbit/s of a link that one body fills.
const slowLink = 5.8

// reader is a body of another daemon that tells when it is first read.
type reader struct {
	io.Reader
	begun chan struct{}
	told  bool
}

func (r *reader) Read(p []byte) (int, error) {
	if !r.told {
		r.told = true
		r.begun <- struct{}{}
	}
	return r.Reader.Read(p)
}

// distant serves requests of which another daemon has the bodies, at a target with one slot.
func distant(rate float64) (*sender, func(body io.Reader) <-chan string) {
	c, cell, s := clock.New(), snap.NewStore(), newSender()
	o := owner.New(owner.WithClock(c), owner.WithStore(cell), owner.WithTarget(s), owner.WithLink(rate, 64<<10))
	cell.Publish(snap.New(table.Empty().With(1,
		table.NewRulesSet(rules.New(1, "", rules.NewService(service, rules.WithSlots(1)))),
		table.NewMemberSet(table.NewMember(7, "i", "z", "", service, table.Serving{}))), 7, c.Now()+60_000, c.Now()+60_000))
	return s, func(body io.Reader) <-chan string {
		done := make(chan string, 1)
		r := call.NewRequest(service, "POST", "/", call.WithMember(7), call.WithPolicy(1, 5*clock.Second, false),
			call.WithBody(body, -1), call.WithRemoteBody(true))
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			done <- text(o.Serve(ctx, r))
		}()
		return done
	}
}

func begins(c <-chan struct{}, within time.Duration) bool {
	select {
	case <-c:
		return true
	case <-time.After(within):
		return false
	}
}

// pair serves two requests on a slow link. The body of the first one stays open until it is closed.
func pair(t *testing.T) (s *sender, begun chan struct{}, first io.Closer, ends [2]<-chan string) {
	t.Helper()
	s, serve := distant(slowLink)
	begun = make(chan struct{}, 2)
	source, sink := io.Pipe()
	ends[0] = serve(&reader{Reader: source, begun: begun})
	if !begins(begun, time.Second) {
		t.Fatal("the first body is not read")
	}
	ends[1] = serve(&reader{Reader: strings.NewReader("photo"), begun: begun})
	return s, begun, sink, ends
}

// TestBodiesCrossASlowLinkOneByOne is the case of intake on scale-2 of tb-appraisal-grown: nine
// bodies at once filled its link for 0.75 s, and calls with 0.6 s waited behind them.
func TestBodiesCrossASlowLinkOneByOne(t *testing.T) {
	is := is.New(t)
	s, begun, first, ends := pair(t)
	is.True(!begins(begun, 50*time.Millisecond))
	is.Equal(s.count.Load(), int64(0)) // no slot is taken while the body is on its way
	is.NoErr(first.Close())
	is.True(begins(begun, time.Second))
	s.proceed <- struct{}{}
	s.proceed <- struct{}{}
	is.Equal(<-ends[0], "answered")
	is.Equal(<-ends[1], "answered")
}

func TestBodyThatStandsStillLetsOthersPass(t *testing.T) {
	is := is.New(t)
	s, _, first, ends := pair(t)
	s.proceed <- struct{}{}
	is.Equal(<-ends[1], "answered")
	is.NoErr(first.Close())
	s.proceed <- struct{}{}
	is.Equal(<-ends[0], "answered")
}

func TestBodiesCrossAWideLinkTogether(t *testing.T) {
	is := is.New(t)
	s, serve := distant(1000)
	first := serve(strings.NewReader("photo"))
	<-s.started
	s.proceed <- struct{}{}
	is.Equal(<-first, "answered")
}
