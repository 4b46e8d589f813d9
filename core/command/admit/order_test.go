package admit

import (
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
)

// full returns a gate of one slot that is taken, for requests of about 100 ms.
func full() (*Limiter, Limits) {
	l := NewLimits(1, 10, clock.Second)
	g := New(l, WithOrder(CostAware{}))
	for range 40 {
		g.Submit(0, NewRequest(10*clock.Second, clock.Second), l)
		g.Release(0, 100)
	}
	g.Submit(0, NewRequest(10*clock.Second, clock.Second), l)
	return g, l
}

func wait(g *Limiter, l Limits, now clock.Millis, priority int, aim clock.Millis) *Ticket {
	return g.Submit(now, NewRequest(now+5*clock.Second, 5*clock.Second).WithPriority(priority, aim, 5*clock.Second), l)
}

func admitted(t *Ticket) bool {
	select {
	case o := <-t.Ready():
		_, ok := o.(Admitted)
		return ok
	default:
		return false
	}
}

func TestRequestWithLittleTimeGoesFirst(t *testing.T) {
	is := is.New(t)
	g, l := full()
	slow, fast := wait(g, l, 0, 1, 600), wait(g, l, 480, 1, 630)
	g.Release(490, 100)
	is.True(admitted(fast) && !admitted(slow))
}

// TestLateRequestsDoNotHoldUpThoseThatAreInTime is the case of depot-desk on scale-2 of
// mflha-mesh: uploads that were late already went before calls with a nearer end.
func TestLateRequestsDoNotHoldUpThoseThatAreInTime(t *testing.T) {
	is := is.New(t)
	g, l := full()
	late, fresh := wait(g, l, 0, 1, 550), wait(g, l, 500, 1, 700)
	g.Release(501, 100)
	is.True(admitted(fresh) && !admitted(late))
	g.Release(600, 100)
	is.True(admitted(late))
}

// ask waits as a request of a class.
func ask(g *Limiter, l Limits, now clock.Millis, class string, aim clock.Millis) *Ticket {
	return g.Submit(now, NewRequest(now+5*clock.Second, 5*clock.Second).WithPriority(1, aim, 5*clock.Second).WithClass(class), l)
}

// TestLateCallsGoBeforeLongRequests is the case of certifier on scale-2 of tb-appraisal-grown:
// calls of 55 ms that had waited for 150 ms went after requests of 290 ms, or were refused, and
// the requests that needed them failed after they had held a slot.
func TestLateCallsGoBeforeLongRequests(t *testing.T) {
	is := is.New(t)
	g, l := full()
	for range 40 {
		g.busy += 2
		g.ReleaseClass("call", 0, 50)
		g.ReleaseClass("long", 0, 300)
	}
	var long []*Ticket
	for range 4 {
		long = append(long, ask(g, l, 0, "long", 1000))
	}
	call := ask(g, l, 0, "call", 200)
	g.giveUp(300)
	g.Release(300, 100)
	is.True(admitted(call))
	is.True(!admitted(long[0]))
}

func TestLowerPriorityHasItsTurn(t *testing.T) {
	is := is.New(t)
	g, l := full()
	low := wait(g, l, 0, 2, 400)
	turns := 0
	for !admitted(low) {
		wait(g, l, 1, 1, 300)
		g.Release(2, 100)
		turns++
	}
	is.Equal(turns, otherTurn)
}

// TestLateRequestsAreCountedAgainstThoseInTimeOnce has a late request that is given up before
// another one: those in time behind the first must not count twice for the second.
func TestLateRequestsAreCountedAgainstThoseInTimeOnce(t *testing.T) {
	is := is.New(t)
	g, l := full()
	first := wait(g, l, 0, 2, 300)
	lower := wait(g, l, 0, 2, 900)
	timely := []*Ticket{wait(g, l, 0, 1, 900), wait(g, l, 0, 1, 900)}
	second := wait(g, l, 0, 1, 300)
	g.giveUp(250)
	select {
	case o := <-first.Ready(): // three in time are of its priority or a higher one
		_, ok := o.(Refused)
		is.True(ok)
	default:
		is.Fail()
	}
	is.Equal(g.waiting, []*Ticket{lower, timely[0], timely[1], second}) // two are, for the second
}
