package agent

import (
	"testing"

	"verbenabank/core/clock"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

// silence lets a daemon that asked to join hear nothing for a span, and reports whether it gave the
// session up.
func silence(b *bench, span clock.Millis) bool {
	for end := b.now + span; b.now < end; b.now += 100 {
		b.step(Ticked{})
		if _, ok := find[Reconnect](b); ok {
			return true
		}
	}
	return false
}

// TestJoinThatIsNotAnsweredIsMadeAgainElsewhere is seed 326 of the soak of the platform: the line to a
// leader fell silent for good before the daemon had joined, and with that before its first renewal.
func TestJoinThatIsNotAnsweredIsMadeAgainElsewhere(t *testing.T) {
	b := newBench(t)
	b.step(NewAnnounced(service, "t", "boot"))
	b.step(Connected{})
	b.is.True(!silence(b, joinLeast))
	b.is.True(silence(b, joinLeast))
	b.step(Disconnected{})
	b.step(Connected{})
	_, ok := find[SendJoin](b)
	b.is.True(ok)
	b.is.True(!silence(b, joinLeast/2))
	b.update(table.NewRulesSet(rules.New(3, "d", rules.NewService(service)))) // the leader lives
	b.is.True(!silence(b, joinLeast*3/4))
}
