package fake

import (
	"verbenabank/core/clock"
	"verbenabank/core/command/agent"
	"verbenabank/core/command/hold"
	"verbenabank/core/state/grant"
	"verbenabank/core/state/table"
)

// noTraffic stands in for the traffic side, the target and the lifecycle observer of a
// daemon. No request is ever in flight.
type noTraffic struct{}

// Use ignores the target, since no request is sent to it.
func (noTraffic) Use(agent.UseTarget) {}

// Drain does nothing, since no request is accepted.
func (noTraffic) Drain() {}

// Drop does nothing, since there are no connections.
func (noTraffic) Drop() {}

// OnQuiesced calls notify at once, since no request is in flight.
func (noTraffic) OnQuiesced(_ string, _ table.Shard, _, _ clock.Millis, notify func()) { notify() }

// OnCurrentDrained calls notify at once, since no request is in flight.
func (noTraffic) OnCurrentDrained(_ string, _ func(table.Shard) bool, notify func()) { notify() }

// OnDrained calls notify at once, since no request is in flight.
func (noTraffic) OnDrained(_ string, _ table.Shard, notify func()) { notify() }

// OnAllDrained calls notify at once, since no request is in flight.
func (noTraffic) OnAllDrained(notify func()) { notify() }

// HeartbeatAnswered does nothing, since no target sends heartbeats.
func (noTraffic) HeartbeatAnswered(uint64, grant.Answer) {}

// TargetReleased does nothing.
func (noTraffic) TargetReleased() {}

// Stopped does nothing.
func (noTraffic) Stopped() {}

// Failed ignores the error: a daemon that failed gets no lease, so the wait for one
// times out.
func (noTraffic) Failed(error) {}

// SendCall reports success at once, since there is no target that holds keys.
func (noTraffic) SendCall(_ hold.Call, done func(hold.Result)) { done(hold.Done{}) }

// Identify says that the process at the target's address is not known.
func (noTraffic) ReportCold(agent.ReportCold)             {}
func (noTraffic) Identify(done func(string, hold.Result)) { done("", hold.Unreached{}) }
