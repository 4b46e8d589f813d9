package owner_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/command/cold"
	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
	"verbenabank/verbenad/command/owner"
)

// prober answers questions about cold starts at once, or not at all.
type prober struct {
	left   clock.Millis
	silent bool
	held   chan struct{} // if set, holds back each answer until it can be received from
	asked  atomic.Int64
}

func (p *prober) AskCold(done func(left clock.Millis, ok bool)) {
	p.asked.Add(1)
	go func() {
		if p.held != nil {
			<-p.held
		}
		done(p.left, !p.silent)
	}()
}

// newColdFixture returns an owner whose target responds at once, of a service whose cold targets take 13 requests per
// second, or any number.
func newColdFixture(rate float64, p *prober) *fixture {
	f := newFixture(rules.WithColdStart(rate, 3000), rules.WithSlots(1000), rules.WithConnections(1000))
	f.owner = owner.New(owner.WithClock(clock.New(clock.WithSource(f.clock.Now))), owner.WithStore(f.store), owner.WithTarget(f.target),
		owner.WithColdBound(cold.NewBound(1.5, 8), p))
	f.owner.SetTarget("t", 1000)
	for range cap(f.target.proceed) {
		f.target.proceed <- struct{}{}
	}
	return f
}

// serveMany serves n requests and returns how many were answered.
func (f *fixture) serveMany(n int) int {
	answered := 0
	for range n {
		if f.serve(context.Background()) == "answered" {
			answered++
		}
	}
	return answered
}

// TestDaemonRestartedBesideAColdTarget starts a daemon beside a target that its predecessor may have sent requests to.
// It sends none for a second, then as many as the bound allows, and refuses the others with a time after which one is taken.
func TestDaemonRestartedBesideAColdTarget(t *testing.T) {
	is := is.New(t)
	f := newColdFixture(13, &prober{left: 3000})
	is.Equal(f.serveMany(40), 0)
	is.Equal(f.owner.Backlog().Cold().Left(), clock.Millis(3000))
	f.clock.Advance(1200 * clock.Millisecond)
	f.publish(table.NewOwned(7, 3), 700)
	is.Equal(f.serveMany(40), 26)
	r := f.owner.Serve(context.Background(), call.NewRequest(service, "POST", "/catalogue/k", call.WithKey("k", 0), call.WithMember(7)))
	o := r.(call.Failure).Outcome().(result.Refused)
	is.Equal(o.Reason(), result.Overloaded)
	is.True(!o.Sent())
	f.clock.Advance(o.RetryAfter())
	f.publish(table.NewOwned(7, 3), 700)
	is.Equal(f.serveMany(1), 1)
}

// TestSilentTargetIsLimitedButServed has a target that never says whether it is cold: it gets what a cold one may get.
func TestSilentTargetIsLimitedButServed(t *testing.T) {
	is := is.New(t)
	f := newColdFixture(13, &prober{silent: true})
	f.clock.Advance(2 * clock.Second)
	f.publish(table.NewOwned(7, 3), 700)
	is.Equal(f.serveMany(1), 0) // the daemon starts to count
	f.clock.Advance(1200 * clock.Millisecond)
	f.publish(table.NewOwned(7, 3), 700)
	is.True(f.serveMany(40) >= 20)
	is.Equal(f.owner.Backlog().Cold().Left(), clock.Millis(0))
}

// TestWarmTargetIsServedAtOnce starts a daemon beside a warm target: a request waits for the answer to its question only.
func TestWarmTargetIsServedAtOnce(t *testing.T) {
	is := is.New(t)
	f := newColdFixture(13, &prober{})
	is.Equal(f.serveMany(1), 1)
	f.owner.ReportCold(1500)
	is.True(f.serveMany(100) < 27)
	is.Equal(f.owner.Backlog().Cold().Left(), clock.Millis(1500))
	f.owner.SetTarget("u", 1000) // another process
	is.Equal(f.owner.Backlog().Cold().Left(), clock.Millis(0))
	is.Equal(f.serveMany(10), 10)
}

// TestRequestsInTheQueueOfAWarmTargetWaitForItsAnswer sends more requests to a warm target than a cold one takes. They
// enter at once and reach the bound when they get their slots, while the question to the target is open.
func TestRequestsInTheQueueOfAWarmTargetWaitForItsAnswer(t *testing.T) {
	is := is.New(t)
	p := &prober{held: make(chan struct{})}
	f := newColdFixture(13, p)
	first := f.serveAsync(context.Background())
	p.held <- struct{}{} // the target is warm when the daemon starts
	is.Equal(<-first, "answered")
	f.clock.Advance(50 * clock.Millisecond)
	queued := make(chan struct{})
	var entered atomic.Int64
	f.target.onDial = func() {
		entered.Add(1)
		<-queued
	}
	var answers []<-chan string
	for range 40 {
		answers = append(answers, f.serveAsync(context.Background()))
	}
	for entered.Load() < 40 {
		time.Sleep(time.Millisecond)
	}
	close(queued)
	for p.asked.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	f.clock.Advance(50 * clock.Millisecond)
	close(p.held)
	for _, a := range answers {
		is.Equal(<-a, "answered")
	}
}

// TestServicesWithoutColdRateAreServedAsBefore sends 200 requests at once to a target of a service whose rules have no
// rate for cold targets, and which says that it is cold: all are served, and the target is asked nothing.
func TestServicesWithoutColdRateAreServedAsBefore(t *testing.T) {
	is := is.New(t)
	p := &prober{}
	f := newColdFixture(0, p)
	f.owner.ReportCold(3000)
	is.Equal(f.serveMany(200), 200)
	is.Equal(p.asked.Load(), int64(0))
	is.Equal(f.owner.Backlog().Cold().Left(), clock.Millis(0))
}
