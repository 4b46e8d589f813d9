package admit

import (
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
)

// fullLimiter returns a limiter whose only slot is taken and whose mean service time is about 100 ms.
func fullLimiter() (*Limiter, Limits) {
	l := NewLimits(1, 10, clock.Second)
	lm := New(l, WithOrder(CostAware{}))
	for range 40 {
		lm.Submit(0, NewRequest(10*clock.Second, clock.Second), l)
		lm.Release(0, 100)
	}
	lm.Submit(0, NewRequest(10*clock.Second, clock.Second), l)
	return lm, l
}

func submit(lm *Limiter, l Limits, now clock.Millis, priority int, softDeadline clock.Millis) *Ticket {
	return lm.Submit(now, NewRequest(now+5*clock.Second, 5*clock.Second).WithPriority(priority, softDeadline, 5*clock.Second), l)
}

func admitted(t *Ticket) bool {
	select {
	case d := <-t.Ready():
		_, ok := d.(Admitted)
		return ok
	default:
		return false
	}
}

func TestRequestWithShortestTimeBudgetGoesFirst(t *testing.T) {
	is := is.New(t)
	lm, l := fullLimiter()
	slow, fast := submit(lm, l, 0, 1, 600), submit(lm, l, 480, 1, 630)
	lm.Release(490, 100)
	is.True(admitted(fast) && !admitted(slow))
}

// TestLateRequestsDoNotDelayTimelyOnes guards against uploads past their soft deadline going
// before calls that could still meet theirs (seen at depot-desk, mflha-mesh, scale 2).
func TestLateRequestsDoNotDelayTimelyOnes(t *testing.T) {
	is := is.New(t)
	lm, l := fullLimiter()
	late, fresh := submit(lm, l, 0, 1, 550), submit(lm, l, 500, 1, 700)
	lm.Release(501, 100)
	is.True(admitted(fresh) && !admitted(late))
	lm.Release(600, 100)
	is.True(admitted(late))
}

// submitClass submits a request of a class.
func submitClass(lm *Limiter, l Limits, now clock.Millis, class string, softDeadline clock.Millis) *Ticket {
	return lm.Submit(now, NewRequest(now+5*clock.Second, 5*clock.Second).WithPriority(1, softDeadline, 5*clock.Second).WithClass(class), l)
}

// TestLateCallsGoBeforeLongRequests guards against short calls being queued behind long requests:
// calls of 55 ms that had waited for 150 ms went after requests of 290 ms or were refused, and the
// requests that depended on them failed after they had held a slot (seen at certifier,
// tb-appraisal-grown, scale 2).
func TestLateCallsGoBeforeLongRequests(t *testing.T) {
	is := is.New(t)
	lm, l := fullLimiter()
	for range 40 {
		lm.inFlight += 2
		lm.ReleaseClass("call", 0, 50)
		lm.ReleaseClass("long", 0, 300)
	}
	var long []*Ticket
	for range 4 {
		long = append(long, submitClass(lm, l, 0, "long", 1000))
	}
	call := submitClass(lm, l, 0, "call", 200)
	lm.shedLate(300)
	lm.Release(300, 100)
	is.True(admitted(call))
	is.True(!admitted(long[0]))
}

func TestLowerPriorityIsNotStarved(t *testing.T) {
	is := is.New(t)
	lm, l := fullLimiter()
	low := submit(lm, l, 0, 2, 400)
	turns := 0
	for !admitted(low) {
		submit(lm, l, 1, 1, 300)
		lm.Release(2, 100)
		turns++
	}
	is.Equal(turns, lowPriorityInterval)
}

// TestTimelyRequestsCountOnceAgainstLateOnes has two late requests. Shedding the first must not
// change the number of requests that are counted as ahead of the second.
func TestTimelyRequestsCountOnceAgainstLateOnes(t *testing.T) {
	is := is.New(t)
	lm, l := fullLimiter()
	first := submit(lm, l, 0, 2, 300)
	lower := submit(lm, l, 0, 2, 900)
	timely := []*Ticket{submit(lm, l, 0, 1, 900), submit(lm, l, 0, 1, 900)}
	second := submit(lm, l, 0, 1, 300)
	lm.shedLate(250)
	select {
	case d := <-first.Ready(): // three timely requests are of the same or a higher priority
		_, ok := d.(Refused)
		is.True(ok)
	default:
		is.Fail()
	}
	is.Equal(lm.waiting, []*Ticket{lower, timely[0], timely[1], second}) // only two are ahead of the second
}

// TestLowestPriorityIsNotStarvedByCalls guards against patient requests that never get a turn while calls and urgent requests
// wait too: each has waiting requests all the time.
func TestLowestPriorityIsNotStarvedByCalls(t *testing.T) {
	is := is.New(t)
	lm, l := fullLimiter()
	const call, urgent, patient = -1, 0, 1
	turns := map[int]int{}
	waiting := map[int]*Ticket{}
	for range 100 {
		for _, p := range []int{call, urgent, patient} {
			if waiting[p] == nil {
				r := NewRequest(5*clock.Second, 5*clock.Second).WithPriority(p, 4*clock.Second, 5*clock.Second)
				if p == call {
					r = r.Firm(0)
				}
				waiting[p] = lm.Submit(0, r, l)
			}
		}
		lm.Release(0, 100)
		for p, w := range waiting {
			if admitted(w) {
				turns[p]++
				waiting[p] = nil
			}
		}
	}
	t.Logf("turns: calls %d, urgent %d, patient %d", turns[call], turns[urgent], turns[patient])
	is.Equal(turns[call], 80)
	is.Equal(turns[urgent], 16)
	is.Equal(turns[patient], 4)
}
