package admit

import (
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
)

// requestClass is one kind of requests of a load, in milliseconds.
type requestClass struct {
	name        string
	interval    clock.Millis // between requests
	serviceTime clock.Millis
	goal        clock.Millis
	deadline    clock.Millis
}

// mixedLoad sends requests of two classes to a limiter of 9 slots for 20 s, as an owner does, and returns
// the share of each that was served before its deadline, in percent.
func mixedLoad(classes ...requestClass) map[string]int {
	const slots, queue, goalWaitDivisor, minWait = 9, 64, 2, 50
	lm := New(NewLimits(slots, queue, clock.Second), WithOrder(CostAware{}))
	l := NewLimits(slots, queue, clock.Second)
	sent, served := map[string]int{}, map[string]int{}
	type running struct {
		class requestClass
		end   clock.Millis
	}
	var busy []running
	waiting := map[*Ticket]requestClass{}
	for now := clock.Millis(1); now < 20*clock.Second; now++ {
		var still []running
		for _, b := range busy {
			if b.end > now {
				still = append(still, b)
				continue
			}
			lm.ReleaseClass(b.class.name, now, b.class.serviceTime)
		}
		busy = still
		for _, c := range classes {
			if now%c.interval == 0 {
				sent[c.name]++
				r := NewRequest(now+c.deadline, max(minWait, c.goal/goalWaitDivisor)).WithClass(c.name)
				r = r.WithPriority(1, now+c.goal, lm.MaxQueueTime(c.name, now, now+c.deadline))
				waiting[lm.Submit(now, r, l)] = c
			}
		}
		for t, c := range waiting {
			select {
			case d := <-t.Ready():
				delete(waiting, t)
				if _, ok := d.(Admitted); !ok {
					continue
				}
				busy = append(busy, running{class: c, end: now + c.serviceTime})
				if now+c.serviceTime < t.request.deadline {
					served[c.name]++
				}
			default:
			}
		}
	}
	for name := range sent {
		served[name] = served[name] * 100 / sent[name]
	}
	return served
}

// TestShortCallsGetThroughAnOverloadOfLongRequests guards against calls of 30 ms that are refused because a target
// that is full of requests of 450 ms needs 50 ms to free a slot: a target whose call is refused fails the request
// that needed it, and its caller cannot repeat that.
func TestShortCallsGetThroughAnOverloadOfLongRequests(t *testing.T) {
	is := is.New(t)
	served := mixedLoad(
		requestClass{name: "report", interval: 40, serviceTime: 450, goal: 1200, deadline: 2480},
		requestClass{name: "call", interval: 20, serviceTime: 30, goal: 120, deadline: 380})
	is.True(served["call"] >= 99)
	is.True(served["report"] >= 60) // 25 a second, for which the calls leave 83% of the slots and a capacity of 16
}

// TestShortRequestIsQueuedUntilItsOwnServiceTimeIsLeft guards against a limit on the time in the queue that counts
// the mean service time of all requests.
func TestShortRequestIsQueuedUntilItsOwnServiceTimeIsLeft(t *testing.T) {
	is := is.New(t)
	lm, _ := fullLimiter()
	for range 60 {
		lm.Submit(0, NewRequest(10*clock.Second, clock.Second).WithClass("call"), NewLimits(2, 10, clock.Second))
		lm.ReleaseClass("call", 0, 10)
		lm.Submit(0, NewRequest(10*clock.Second, clock.Second), NewLimits(2, 10, clock.Second))
		lm.Release(0, 300)
	}
	is.True(lm.MaxQueueTime("call", 0, 300) >= 280)
}
