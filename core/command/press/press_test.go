package press_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/command/press"
	"verbenabank/core/state/table"
)

const owner table.Incarnation = 7

// TestSaturatedOwnerIsRelieved replays 280 daemons that pass 1,500 requests a second for popular keys on to an owner, which
// has processor time for 500. It guards against an owner that answers none of its leader's messages, and against
// one that gets fewer requests than its target can serve (33 a second).
func TestSaturatedOwnerIsRelieved(t *testing.T) {
	is := is.New(t)
	const daemons, interval, capacity, perSecond, target = 280, 200 * clock.Millisecond, 500, 1500, 33
	random := rand.New(rand.NewPCG(1, 1))
	var throttles []*press.Throttle
	for range daemons {
		throttles = append(throttles, press.NewThrottle(func(limit clock.Millis) clock.Millis { return clock.Millis(random.Int64N(int64(limit))) }))
	}
	controller, holdOff, passed := press.Controller{}, clock.Millis(0), 0
	saturated, intervals, least := 0, 0, perSecond
	inSecond := 0
	for now := clock.Millis(0); now < 20*clock.Second; now++ {
		for range perSecond / int(clock.Second) {
			passed += pass(throttles[random.IntN(daemons)], random.IntN(10) == 0, holdOff, now)
		}
		if random.IntN(2) == 0 { // half a request in each millisecond
			passed += pass(throttles[random.IntN(daemons)], random.IntN(10) == 0, holdOff, now)
		}
		if now%interval == interval-1 {
			latency := clock.Millis(5)
			if now > 3*clock.Second {
				intervals++
			}
			if passed > capacity*int(interval)/int(clock.Second) {
				latency = 500
				if now > 3*clock.Second {
					saturated++
				}
			}
			inSecond += passed
			passed, holdOff = 0, controller.Record(latency)
		}
		if now%clock.Second == clock.Second-1 {
			least = min(least, inSecond)
			inSecond = 0
		}
	}
	is.True(least >= 3*target)
	is.True(saturated <= intervals/4)
}

// pass returns 1 if a request passes to the owner, which serves one in ten and refuses the others with its hold-off.
func pass(v *press.Throttle, served bool, holdOff, now clock.Millis) int {
	if _, kept := v.Check(owner, now).(press.HeldOff); kept {
		return 0
	}
	if served {
		holdOff = 0
	}
	v.Record(owner, holdOff, now)
	return 1
}

// TestHoldOffEndsWithTheNextReply guards against an owner that gets no requests for as long as it was once saturated.
func TestHoldOffEndsWithTheNextReply(t *testing.T) {
	is := is.New(t)
	v := press.NewThrottle(func(clock.Millis) clock.Millis { return 0 })
	is.Equal(v.Check(owner, 0), press.Admitted{})
	v.Record(owner, 400, 0)
	k, kept := v.Check(owner, 50).(press.HeldOff)
	is.True(kept)
	is.Equal(k.Left(), 150*clock.Millisecond)
	is.Equal(v.Check(owner+1, 50), press.Admitted{})
	is.Equal(v.Check(owner, 200), press.Admitted{})
	_, kept = v.Check(owner, 201).(press.HeldOff)
	is.True(kept) // until the one that passed is answered
	v.Record(owner, 0, 210)
	is.Equal(v.Check(owner, 211), press.Admitted{})
}

// TestOwnersThatAreGoneAreForgotten guards against a throttle that is full of owners that were restarted long ago.
func TestOwnersThatAreGoneAreForgotten(t *testing.T) {
	is := is.New(t)
	v := press.NewThrottle(func(clock.Millis) clock.Millis { return 0 })
	const many = 5000
	for i := range table.Incarnation(many) {
		v.Record(i+1, 100, 0)
	}
	v.Record(many+1, 100, clock.Minute)
	_, kept := v.Check(many+1, clock.Minute).(press.HeldOff)
	is.True(kept)
}

// TestHoldOffOfAnotherProcessIsBounded guards against an owner whose reply asks for years: it would get no requests any
// more.
func TestHoldOffOfAnotherProcessIsBounded(t *testing.T) {
	is := is.New(t)
	throttle := press.NewThrottle(func(limit clock.Millis) clock.Millis { return limit - 1 })
	throttle.Record(owner, 1<<50, 0)
	_, held := throttle.Check(owner, press.MaxHoldOff).(press.HeldOff)
	is.True(held)
	_, admitted := throttle.Check(owner, 2*press.MaxHoldOff).(press.Admitted)
	is.True(admitted)
	throttle.Record(owner, -5, 0)
	_, admitted = throttle.Check(owner, 0).(press.Admitted)
	is.True(admitted)
}
