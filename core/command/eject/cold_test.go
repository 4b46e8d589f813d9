package eject_test

import (
	"math/rand/v2"
	"testing"

	"verbenabank/core/clock"
	"verbenabank/core/command/cold"
	"verbenabank/core/command/eject"
	"verbenabank/core/query/picker"
	"verbenabank/core/state/load"
	"verbenabank/core/state/table"
)

// crowd is many entries that send requests to a few targets, of which the first one is cold for some seconds.
type crowd struct {
	members  []table.Member
	entries  []*eject.Tracker
	limiters []*cold.Limiter
	random   *rand.Rand
	received []clock.Millis // by the cold target
	requests int
	refused  int // attempts
	unserved int
}

func newCrowd(entries, targets int, rate float64) *crowd {
	c := &crowd{members: fleet(targets), random: rand.New(rand.NewPCG(7, 7))}
	for range entries {
		t := eject.New()
		t.SetMembers(c.members, 0)
		c.entries = append(c.entries, t)
	}
	for range targets {
		c.limiters = append(c.limiters, cold.New(cold.NewBound(1.5, 8).Limit(rate), 3000, -clock.Minute))
	}
	return c
}

// send has one entry try up to four targets.
func (c *crowd) send(now clock.Millis) {
	e := c.entries[c.random.IntN(len(c.entries))]
	c.requests++
	tried := map[table.Incarnation]bool{}
	for range 4 {
		m, _ := picker.Pick(nil, c.members, func(m table.Member) picker.Stats {
			if tried[m.Incarnation()] {
				return picker.NewStats(0, 0, 0)
			}
			return e.View(m, 0, now)
		}, c.random.IntN)
		tried[m.Incarnation()] = true
		l := c.limiters[m.Incarnation()-1]
		_, ok := l.Send(now).(cold.Admitted)
		if ok && m.Incarnation() == 1 {
			c.received = append(c.received, now)
		}
		if ok {
			e.Record(m.Incarnation(), eject.NewSuccess(20), now)
		} else {
			c.refused++
			e.Record(m.Incarnation(), eject.NewRejected(500), now)
		}
		e.RecordCold(m.Incarnation(), l.State(now), now)
		if ok {
			return
		}
	}
	c.unserved++
}

// TestCrowdOfEntriesFindsWarmTargets has 80 entries send 300 requests per second to ten targets, of which one turns
// cold, which its daemon learns 870 ms later. No second has more than 27 requests at it while it is cold, every request is
// served, and few are refused before.
func TestCrowdOfEntriesFindsWarmTargets(t *testing.T) {
	c := newCrowd(80, 10, 13)
	for now := clock.Millis(0); now < 6000; now++ {
		for i, l := range c.limiters {
			left := clock.Millis(0)
			if i == 0 && now >= 1000 && now < 4000 {
				left = 4000 - now
			}
			if now%870 == 0 {
				l.Report(left, now)
			}
			if l.Ask(now) {
				l.Answered(now, left, now)
			}
		}
		if now%10 < 3 {
			c.send(now)
		}
	}
	highest, first := 0, 0
	for i, at := range c.received {
		if at < 1000 || at >= 4000 {
			first = i + 1
			continue
		}
		for c.received[first] <= at-clock.Second {
			first++
		}
		highest = max(highest, i-first+1)
	}
	t.Logf("%d requests, %d attempts refused, %d unserved, %d in a second at the cold target", c.requests, c.refused, c.unserved, highest)
	if highest > 27 || c.unserved > 0 || c.refused*20 > c.requests {
		t.Fatal("the cold target gets too many requests, or warm ones are not found")
	}
}

// TestWithoutColdStartsSharesAreThoseOfBefore records replies that name no cold start: no share changes.
func TestWithoutColdStartsSharesAreThoseOfBefore(t *testing.T) {
	tr := eject.New()
	members := fleet(1)
	tr.SetMembers(members, 0)
	tr.RecordCold(1, load.ColdStart{}, 5)
	if s := tr.View(members[0], 0, 5).Share(); s != 1 {
		t.Fatal(s)
	}
}
