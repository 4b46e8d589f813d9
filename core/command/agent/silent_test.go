package agent

import (
	"testing"

	"verbenabank/core/clock"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

// silentLeader lets a daemon that asked to join hear nothing for a span, and reports whether it gave the
// session up.
func silentLeader(b *harness, span clock.Millis) bool {
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
	b := newHarness(t)
	b.step(NewAnnounced(service, "t", "boot"))
	b.step(Connected{})
	b.is.True(!silentLeader(b, minJoinTimeout))
	b.is.True(silentLeader(b, minJoinTimeout))
	b.step(Disconnected{})
	b.step(Connected{})
	_, ok := find[SendJoin](b)
	b.is.True(ok)
	b.is.True(!silentLeader(b, minJoinTimeout/2))
	b.update(table.NewRulesSet(rules.New(3, "d", rules.NewService(service)))) // the leader lives
	b.is.True(!silentLeader(b, minJoinTimeout*3/4))
}
