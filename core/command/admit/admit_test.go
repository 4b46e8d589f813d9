package admit_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenabank/core/clock"
	"verbenabank/core/command/admit"
)

// TestLimiterKeepsItsBounds drives a limiter with random arrivals, completions and
// cancellations. A request gets at most one decision, slots and queue are never exceeded, and
// no request is left waiting while a slot is free.
func TestLimiterKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots, queue := rapid.IntRange(1, 4).Draw(t, "slots"), rapid.IntRange(0, 5).Draw(t, "queue")
		l := admit.NewLimits(slots, queue, 50)
		lm := admit.New(l)
		now := clock.Millis(1000)
		var running, waiting []*admit.Ticket
		collect := func() {
			var remaining []*admit.Ticket
			for _, x := range waiting {
				select {
				case d := <-x.Ready():
					if _, ok := d.(admit.Admitted); ok {
						running = append(running, x)
					}
				default:
					remaining = append(remaining, x)
				}
			}
			waiting = remaining
		}
		for range 100 {
			now += clock.Millis(rapid.IntRange(0, 20).Draw(t, "span"))
			switch k := rapid.IntRange(0, 3).Draw(t, "kind"); {
			case k <= 1:
				waiting = append(waiting, lm.SubmitDefault(now, now+clock.Millis(rapid.IntRange(1, 200).Draw(t, "left")), l))
			case k == 2 && len(running) > 0:
				running = running[1:]
				lm.Release(now, clock.Millis(rapid.IntRange(0, 30).Draw(t, "held")))
			case k == 3 && len(waiting) > 0:
				if lm.Cancel(waiting[0]) {
					t.Fatal("Cancel reports a slot for a request whose decision was not received")
				}
				waiting = waiting[1:]
			}
			collect()
			if len(running) != lm.TargetLoad().Running() || len(waiting) != lm.Waiting() || lm.TargetLoad().Running() > slots || lm.Waiting() > queue {
				t.Fatalf("running: %d reported, %d admitted; waiting: %d reported, %d undecided", lm.TargetLoad().Running(), len(running), lm.Waiting(), len(waiting))
			}
		}
		for len(running) > 0 {
			running = running[1:]
			lm.Release(now, 1)
			collect()
		}
		if lm.Waiting() > 0 {
			t.Fatal("a request is still waiting after all slots became free")
		}
	})
}

func TestNewestFirstOnceTheQueueIsStanding(t *testing.T) {
	is := is.New(t)
	l := admit.NewLimits(1, 3, 10*clock.Second)
	lm := admit.New(l)
	lm.SubmitDefault(0, clock.Minute, l)
	older, newer := lm.SubmitDefault(1, clock.Minute, l), lm.SubmitDefault(2, clock.Minute, l)
	lm.Release(50, 50)
	is.Equal(<-older.Ready(), admit.Decision(admit.Admitted{})) // FIFO before the queue is standing
	newest := lm.SubmitDefault(60, clock.Minute, l)
	lm.Release(60+admit.Interval, 50)
	is.Equal(<-newest.Ready(), admit.Decision(admit.Admitted{}))
	is.Equal(len(newer.Ready()), 0)
}

func TestRequestThatCannotMeetItsDeadlineIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	l := admit.NewLimits(1, 100, 10*clock.Second)
	lm := admit.New(l)
	for range 50 {
		lm.SubmitDefault(0, clock.Minute, l)
		lm.Release(0, 100)
	}
	lm.SubmitDefault(0, clock.Minute, l)
	x := lm.SubmitDefault(0, 150, l) // expects 100 ms of queueing and 100 ms of service
	r, ok := (<-x.Ready()).(admit.Refused)
	is.True(ok)
	is.True(r.RetryAfter() > 50)
}
