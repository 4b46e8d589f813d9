package serve

import (
	"expvar"
	"runtime"
	"strings"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"verbenabank/core/command/raft"
	"verbenabank/core/state/table"
	"verbenabank/verbenad/state/view"
)

// published is the daemon whose state the gauges read, the last one built in this process.
var published atomic.Pointer[Daemon]

// publishGauges publishes the gauges of a daemon as verbenad.* in expvar and as verbenad_* for Prometheus.
// They are registered once per process; a later daemon takes the place of the first.
func publishGauges(d *Daemon) {
	if published.Swap(d) != nil {
		return
	}
	gauges := map[string]func(*Daemon) int64{
		"verbenad.lease_left_ms":        func(d *Daemon) int64 { return int64(max(0, d.snapshots.Load().LeaseEnd().Sub(d.clock.Now()))) },
		"verbenad.rules_left_ms":        func(d *Daemon) int64 { return int64(max(0, d.snapshots.Load().RulesEnd().Sub(d.clock.Now()))) },
		"verbenad.rules_unconfirmed_ms": func(d *Daemon) int64 { return int64(d.snapshots.Load().RulesAge(d.clock.Now())) },
		"verbenad.rules_version":        func(d *Daemon) int64 { return int64(d.snapshots.Load().Table().Rules().Version()) },
		"verbenad.table_version":        func(d *Daemon) int64 { return int64(d.snapshots.Load().Table().Version()) },
		"verbenad.shards_owned":         func(d *Daemon) int64 { return int64(ownedShards(d)) },
		"verbenad.epoch_highest":        func(d *Daemon) int64 { return int64(highestEpoch(d)) },
		"verbenad.target_flight":        func(d *Daemon) int64 { return int64(d.owner.InFlight().Total()) },
		"verbenad.target_queue":         func(d *Daemon) int64 { return int64(d.owner.Waiting()) },
		"verbenad.control_term":         func(d *Daemon) int64 { s, _ := d.loop.View().Status(); return int64(s.Term()) },
		"verbenad.control_commit":       func(d *Daemon) int64 { s, _ := d.loop.View().Status(); return int64(s.Commit()) },
		"verbenad.control_members":      func(d *Daemon) int64 { s, _ := d.loop.View().Status(); return int64(s.Members().VoterCount()) },
		"verbenad.control_role":         func(d *Daemon) int64 { return roleNumber(d.loop.View()) },
		"verbenad.members":              func(d *Daemon) int64 { return int64(len(d.snapshots.Load().Table().Members())) },
		"verbenad.zones_drained":        func(d *Daemon) int64 { return int64(len(d.snapshots.Load().Table().DrainedZones())) },
		"verbenad.keys_held":            func(d *Daemon) int64 { return int64(d.snapshots.Load().HeldKeys()) },
		"verbenad.heap_bytes":           func(*Daemon) int64 { var m runtime.MemStats; runtime.ReadMemStats(&m); return int64(m.HeapAlloc) },
		"verbenad.memory_held_bytes":    func(d *Daemon) int64 { return d.memory.Held() },
		"verbenad.memory_budget_bytes":  func(d *Daemon) int64 { return d.memory.Limit() },
		"verbenad.log_lines_dropped":    func(d *Daemon) int64 { return d.droppedLogLines() },
		"verbenad.sessions":             func(d *Daemon) int64 { return int64(d.loop.View().Sessions()) },
	}
	for name, read := range gauges {
		expvar.Publish(name, expvar.Func(func() any { return read(published.Load()) }))
		metrics.NewGauge(strings.ReplaceAll(name, ".", "_"), func() float64 { return float64(read(published.Load())) })
	}
}

// Values of the gauge verbenad.control_role.
const (
	roleNone = iota
	roleBlank
	roleLearner
	roleFollower
	roleCandidate
	roleLeader
)

func roleNumber(v *view.View) int64 {
	s, ok := v.Status()
	if !ok {
		return roleNone
	}
	switch s.Role().(type) {
	case raft.Blank:
		return roleBlank
	case raft.Learner:
		return roleLearner
	case raft.Follower:
		return roleFollower
	case raft.PreCandidate, raft.Candidate:
		return roleCandidate
	case raft.Elected, raft.Leader:
		return roleLeader
	}
	return roleNone
}

// ownedShards returns the number of shards that this daemon owns.
func ownedShards(d *Daemon) int { return len(ownedEpochs(d)) }

// highestEpoch returns the highest epoch among the shards that this daemon owns, 0 if it owns
// none.
func highestEpoch(d *Daemon) table.Epoch {
	highest := table.Epoch(0)
	for _, e := range ownedEpochs(d) {
		highest = max(highest, e)
	}
	return highest
}

// ownedEpochs returns the epochs of the shards that this daemon owns.
func ownedEpochs(d *Daemon) []table.Epoch {
	var list []table.Epoch
	s := d.snapshots.Load()
	m, _ := s.Table().Member(s.Self())
	for _, sh := range s.Table().Shards(m.Service()) {
		if o, ok := s.Table().Ownership(m.Service(), sh).(table.Owned); ok && o.Owner() == s.Self() {
			list = append(list, o.Epoch())
		}
	}
	return list
}

// logSyncMs is the duration of the last sync of the replicated log to disk, in milliseconds.
var logSyncMs = expvar.NewInt("verbenad.log_sync_ms")
