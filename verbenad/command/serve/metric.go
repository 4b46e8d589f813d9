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

// shown is the daemon whose gauges the process publishes.
var shown atomic.Pointer[Daemon]

// publish shows the gauges of the daemon under verbenad.* in expvar.
func publish(d *Daemon) {
	if shown.Swap(d) != nil {
		return
	}
	gauges := map[string]func(*Daemon) int64{
		"verbenad.lease_left_ms":     func(d *Daemon) int64 { return int64(max(0, d.cell.Load().LeaseEnd().Sub(d.clock.Now()))) },
		"verbenad.rules_left_ms":     func(d *Daemon) int64 { return int64(max(0, d.cell.Load().RulesEnd().Sub(d.clock.Now()))) },
		"verbenad.rules_version":     func(d *Daemon) int64 { return int64(d.cell.Load().Table().Rules().Version()) },
		"verbenad.table_version":     func(d *Daemon) int64 { return int64(d.cell.Load().Table().Version()) },
		"verbenad.shards_owned":      func(d *Daemon) int64 { return int64(owned(d)) },
		"verbenad.epoch_highest":     func(d *Daemon) int64 { return int64(highest(d)) },
		"verbenad.target_flight":     func(d *Daemon) int64 { return int64(d.owner.InFlight().Total()) },
		"verbenad.target_queue":      func(d *Daemon) int64 { return int64(d.owner.Waiting()) },
		"verbenad.control_term":      func(d *Daemon) int64 { s, _ := d.loop.View().Status(); return int64(s.Term()) },
		"verbenad.control_commit":    func(d *Daemon) int64 { s, _ := d.loop.View().Status(); return int64(s.Commit()) },
		"verbenad.control_members":   func(d *Daemon) int64 { s, _ := d.loop.View().Status(); return int64(s.Members().VoterCount()) },
		"verbenad.control_role":      func(d *Daemon) int64 { return role(d.loop.View()) },
		"verbenad.members":           func(d *Daemon) int64 { return int64(len(d.cell.Load().Table().Members())) },
		"verbenad.keys_held":         func(d *Daemon) int64 { return int64(d.cell.Load().HeldKeys()) },
		"verbenad.heap_bytes":        func(*Daemon) int64 { var m runtime.MemStats; runtime.ReadMemStats(&m); return int64(m.HeapAlloc) },
		"verbenad.log_lines_dropped": func(d *Daemon) int64 { return d.dropped() },
		"verbenad.sessions":          func(d *Daemon) int64 { return int64(d.loop.View().Sessions()) },
	}
	for name, read := range gauges {
		expvar.Publish(name, expvar.Func(func() any { return read(shown.Load()) }))
		metrics.NewGauge(strings.ReplaceAll(name, ".", "_"), func() float64 { return float64(read(shown.Load())) })
	}
}

// Roles of a control replica as numbers.
const (
	noReplica = iota
	blank
	learner
	follower
	candidate
	leading
)

func role(v *view.View) int64 {
	s, ok := v.Status()
	if !ok {
		return noReplica
	}
	switch s.Role().(type) {
	case raft.Blank:
		return blank
	case raft.Learner:
		return learner
	case raft.Follower:
		return follower
	case raft.PreCandidate, raft.Candidate:
		return candidate
	case raft.Elected, raft.Leader:
		return leading
	}
	return noReplica
}

// owned counts the shards that this daemon owns.
func owned(d *Daemon) int { return len(epochs(d)) }

// highest returns the greatest epoch of a shard that this daemon owns, 0 if it owns
// none.
func highest(d *Daemon) table.Epoch {
	greatest := table.Epoch(0)
	for _, e := range epochs(d) {
		greatest = max(greatest, e)
	}
	return greatest
}

// epochs returns the epochs of the shards that this daemon owns.
func epochs(d *Daemon) []table.Epoch {
	var list []table.Epoch
	s := d.cell.Load()
	m, _ := s.Table().Member(s.Self())
	for _, sh := range s.Table().Shards(m.Service()) {
		if o, ok := s.Table().Ownership(m.Service(), sh).(table.Owned); ok && o.Owner() == s.Self() {
			list = append(list, o.Epoch())
		}
	}
	return list
}

// syncMs is how long the last sync of the log took, in milliseconds.
var syncMs = expvar.NewInt("verbenad.log_sync_ms")
