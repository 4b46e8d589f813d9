package agent

import (
	"testing"

	"verbenabank/core/clock"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

// silentLeader lets a daemon that asked to join receive nothing for the duration, and reports whether
// it started a new session.
func silentLeader(h *harness, duration clock.Millis) bool {
	for end := h.now + duration; h.now < end; h.now += 100 {
		h.step(Ticked{})
		if _, ok := find[Reconnect](h); ok {
			return true
		}
	}
	return false
}

// TestUnansweredJoinReconnects guards against a daemon waiting for ever on a dead connection that failed
// before its join was answered, and so before its first renewal (platform soak, seed 326).
func TestUnansweredJoinReconnects(t *testing.T) {
	h := newHarness(t)
	h.step(NewAnnounced(service, "t", "boot"))
	h.step(Connected{})
	h.is.True(!silentLeader(h, minJoinTimeout))
	h.is.True(silentLeader(h, minJoinTimeout))
	h.step(Disconnected{})
	h.step(Connected{})
	_, ok := find[SendJoin](h)
	h.is.True(ok)
	h.is.True(!silentLeader(h, minJoinTimeout/2))
	h.update(table.NewRulesSet(rules.New(3, "d", rules.NewService(service)))) // any update shows that the leader is alive
	h.is.True(!silentLeader(h, minJoinTimeout*3/4))
}
