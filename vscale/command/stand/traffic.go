package stand

import (
	"verbenabank/core/clock"
	"verbenabank/core/command/agent"
	"verbenabank/core/command/hold"
	"verbenabank/core/state/table"
)

// idle is the traffic side of a daemon without traffic.
type idle struct{}

// Use takes a target that is never asked.
func (idle) Use(agent.UseTarget) {}

// Drain has nothing to shut.
func (idle) Drain() {}

// Drop closes nothing.
func (idle) Drop() {}

// OnQuiesced calls notify, since no request is in flight.
func (idle) OnQuiesced(_ string, _ table.Shard, _, _ clock.Millis, notify func()) { notify() }

// OnCurrentDrained calls notify, since no request is in flight.
func (idle) OnCurrentDrained(_ string, _ func(table.Shard) bool, notify func()) { notify() }

// OnDrained calls notify, since no request is in flight.
func (idle) OnDrained(_ string, _ table.Shard, notify func()) { notify() }

// OnAllDrained calls notify, since no request is in flight.
func (idle) OnAllDrained(notify func()) { notify() }

// TargetReleased needs no answer.
func (idle) TargetReleased() {}

// Stopped needs no answer.
func (idle) Stopped() {}

// Failed needs no answer; a stand-in without leases shows it.
func (idle) Failed(error) {}

// SendCall answers that it is done, since the target holds nothing.
func (idle) SendCall(_ hold.Call, done func(hold.Result)) { done(hold.Done{}) }
