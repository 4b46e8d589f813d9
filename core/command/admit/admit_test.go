package admit_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenabank/core/clock"
	"verbenabank/core/command/admit"
)

// TestGateKeepsItsBounds drives a gate with random arrivals, ends and cancellations. A
// request gets one grant at most, slots and queue are never exceeded, and nobody is
// left waiting beside a free slot.
func TestGateKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots, queue := rapid.IntRange(1, 4).Draw(t, "slots"), rapid.IntRange(0, 5).Draw(t, "queue")
		l := admit.NewLimits(slots, queue, 50)
		g := admit.New(l)
		now := clock.Millis(1000)
		var inside, waiting []*admit.Ticket
		look := func() {
			var left []*admit.Ticket
			for _, x := range waiting {
				select {
				case o := <-x.Ready():
					if _, ok := o.(admit.Admitted); ok {
						inside = append(inside, x)
					}
				default:
					left = append(left, x)
				}
			}
			waiting = left
		}
		for range 100 {
			now += clock.Millis(rapid.IntRange(0, 20).Draw(t, "span"))
			switch k := rapid.IntRange(0, 3).Draw(t, "kind"); {
			case k <= 1:
				waiting = append(waiting, g.Arrive(now, now+clock.Millis(rapid.IntRange(1, 200).Draw(t, "left")), l))
			case k == 2 && len(inside) > 0:
				inside = inside[1:]
				g.Release(now, clock.Millis(rapid.IntRange(0, 30).Draw(t, "held")))
			case k == 3 && len(waiting) > 0:
				if g.Cancel(waiting[0]) {
					t.Fatal("a request that was looked at holds a slot unseen")
				}
				waiting = waiting[1:]
			}
			look()
			if len(inside) != g.TargetLoad().Running() || len(waiting) != g.Waiting() || g.TargetLoad().Running() > slots || g.Waiting() > queue {
				t.Fatalf("busy %d of %d, waiting %d of %d", g.TargetLoad().Running(), len(inside), g.Waiting(), len(waiting))
			}
		}
		for len(inside) > 0 {
			inside = inside[1:]
			g.Release(now, 1)
			look()
		}
		if g.Waiting() > 0 {
			t.Fatal("a request waits beside free slots")
		}
	})
}

func TestNewestFirstOnceTheQueueStands(t *testing.T) {
	is := is.New(t)
	l := admit.NewLimits(1, 3, 10*clock.Second)
	g := admit.New(l)
	g.Arrive(0, clock.Minute, l)
	older, newer := g.Arrive(1, clock.Minute, l), g.Arrive(2, clock.Minute, l)
	g.Release(50, 50)
	is.Equal(<-older.Ready(), admit.Decision(admit.Admitted{})) // oldest first at first
	last := g.Arrive(60, clock.Minute, l)
	g.Release(60+admit.Interval, 50)
	is.Equal(<-last.Ready(), admit.Decision(admit.Admitted{}))
	is.Equal(len(newer.Ready()), 0)
}

func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	l := admit.NewLimits(1, 100, 10*clock.Second)
	g := admit.New(l)
	for range 50 {
		g.Arrive(0, clock.Minute, l)
		g.Release(0, 100)
	}
	g.Arrive(0, clock.Minute, l)
	x := g.Arrive(0, 150, l) // 100 ms of wait and 100 ms of service
	r, ok := (<-x.Ready()).(admit.Refused)
	is.True(ok)
	is.True(r.RetryAfter() > 50)
}
