package admit

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
)

// crowd sends a gate of 9 slots requests of 200 ms each, one every pause, for 20 s, and
// returns how many were served, how many of them in time, and how long the one that was refused
// last of all had waited.
func crowd(pause, aim, deadline clock.Millis) (served, timely int, held clock.Millis) {
	const slots, span = 9, 200
	g := New(NewLimits(slots, 64, deadline), WithOrder(CostAware{}))
	l := NewLimits(slots, 64, deadline)
	var waiting []*Ticket
	var ends []clock.Millis
	for now := clock.Millis(1); now < 20*clock.Second; now++ {
		for len(ends) > 0 && ends[0] == now {
			ends = ends[1:]
			g.ReleaseClass("c", now, span)
		}
		if now%pause == 0 {
			w := NewRequest(now+deadline, deadline).WithPriority(1, now+aim, deadline-span).WithClass("c")
			waiting = append(waiting, g.Submit(now, w, l))
		}
		kept := waiting[:0]
		for _, t := range waiting {
			select {
			case o := <-t.Ready():
				if _, ok := o.(Refused); ok {
					held = max(held, now-t.arrived)
					continue
				}
				served++
				if now+span <= t.aim {
					timely++
				}
				ends = append(ends, now+span)
			default:
				kept = append(kept, t)
			}
		}
		waiting = kept
	}
	return served, timely, held
}

func TestCrowdIsRefusedEarlyAndTheTargetStaysBusy(t *testing.T) {
	is := is.New(t)
	served, timely, held := crowd(10, 600, 4000) // 100 a second, 45 can be served
	is.True(served >= 45*20*95/100)
	is.True(timely >= served*9/10)
	is.True(held <= 600) // nobody is refused who was held past the instant of most worth
}

// TestCrowdWaitsShortly is a hot key: 250 requests a second where 45 can be served, with the patience of
// 300 ms that half of their aim gives. A queue that stands must not make all that are served late.
func TestCrowdWaitsShortly(t *testing.T) {
	is := is.New(t)
	g := New(NewLimits(9, 64, 300), WithOrder(CostAware{}))
	l := NewLimits(9, 64, 300)
	var waiting []*Ticket
	var ends, waits []clock.Millis
	for now := clock.Millis(1); now < 10*clock.Second; now++ {
		ends = slices.DeleteFunc(ends, func(end clock.Millis) bool {
			if end == now {
				g.ReleaseClass("c", now, 200)
			}
			return end == now
		})
		if now%4 == 0 {
			waiting = append(waiting, g.Submit(now, NewRequest(now+1200, 300).WithPriority(1, now+600, 1000).WithClass("c"), l))
		}
		waiting = slices.DeleteFunc(waiting, func(x *Ticket) bool {
			select {
			case o := <-x.Ready():
				if _, ok := o.(Admitted); ok {
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

func TestShortCrowdIsServedLate(t *testing.T) {
	is := is.New(t)
	served, _, _ := crowd(25, 600, 4000) // 40 a second, 45 can be served
	is.True(served >= 40*20*98/100)
}
