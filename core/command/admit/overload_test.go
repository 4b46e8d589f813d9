package admit

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
)

// overload sends a request of 200 ms to a limiter of 9 slots every interval for 20 s. It returns how
// many requests were served, how many of them by their soft deadline, and the longest time that a
// refused request had waited.
func overload(interval, softDeadline, deadline clock.Millis) (served, timely int, longestRefused clock.Millis) {
	const slots, serviceTime = 9, 200
	lm := New(NewLimits(slots, 64, deadline), WithOrder(CostAware{}))
	l := NewLimits(slots, 64, deadline)
	var waiting []*Ticket
	var ends []clock.Millis
	for now := clock.Millis(1); now < 20*clock.Second; now++ {
		for len(ends) > 0 && ends[0] == now {
			ends = ends[1:]
			lm.ReleaseClass("c", now, serviceTime)
		}
		if now%interval == 0 {
			r := NewRequest(now+deadline, deadline).WithPriority(1, now+softDeadline, deadline-serviceTime).WithClass("c")
			waiting = append(waiting, lm.Submit(now, r, l))
		}
		remaining := waiting[:0]
		for _, t := range waiting {
			select {
			case d := <-t.Ready():
				if _, ok := d.(Refused); ok {
					longestRefused = max(longestRefused, now-t.arrived)
					continue
				}
				served++
				if now+serviceTime <= t.request.softDeadline {
					timely++
				}
				ends = append(ends, now+serviceTime)
			default:
				remaining = append(remaining, t)
			}
		}
		waiting = remaining
	}
	return served, timely, longestRefused
}

func TestOverloadIsRefusedEarlyAndTheTargetStaysBusy(t *testing.T) {
	is := is.New(t)
	served, timely, longestRefused := overload(10, 600, 4000) // 100 requests/s, capacity 45
	is.True(served >= 45*20*95/100)
	is.True(timely >= served*9/10)
	is.True(longestRefused <= 600) // no request is refused after it was kept past its soft deadline
}

// TestQueueingTimeStaysShortUnderOverload has a hot key: 250 requests/s with a capacity of 45, and a
// longest wait of 300 ms, half of the soft deadline. A standing queue must not make all requests that
// are served late.
func TestQueueingTimeStaysShortUnderOverload(t *testing.T) {
	is := is.New(t)
	lm := New(NewLimits(9, 64, 300), WithOrder(CostAware{}))
	l := NewLimits(9, 64, 300)
	var waiting []*Ticket
	var ends, waits []clock.Millis
	for now := clock.Millis(1); now < 10*clock.Second; now++ {
		ends = slices.DeleteFunc(ends, func(end clock.Millis) bool {
			if end == now {
				lm.ReleaseClass("c", now, 200)
			}
			return end == now
		})
		if now%4 == 0 {
			waiting = append(waiting, lm.Submit(now, NewRequest(now+1200, 300).WithPriority(1, now+600, 1000).WithClass("c"), l))
		}
		waiting = slices.DeleteFunc(waiting, func(x *Ticket) bool {
			select {
			case d := <-x.Ready():
				if _, ok := d.(Admitted); ok {
					ends, waits = append(ends, now+150+now*37%101), append(waits, now-x.arrived)
				}
				return true
			default:
				return false
			}
		})
	}
	slices.Sort(waits)
	is.True(len(waits) >= 45*10*95/100)
	is.True(waits[len(waits)*9/10] <= 150)
}

func TestLoadBelowCapacityIsServed(t *testing.T) {
	is := is.New(t)
	served, _, _ := overload(25, 600, 4000) // 40 requests/s, capacity 45
	is.True(served >= 40*20*98/100)
}
