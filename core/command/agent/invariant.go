package agent

import (
	"fmt"

	"verbenabank/core/state/table"
)

// violation says which invariant the next table would break, "" if none: versions of
// table and rules and epochs of shards never fall.
func (a *Agent) violation(next *table.Table, changes []table.Change) string {
	if next.Version() < a.table.Version() {
		return fmt.Sprintf("an update would take the table from version %d back to %d", a.table.Version(), next.Version())
	}
	if next.Rules().Version() < a.table.Rules().Version() {
		return fmt.Sprintf("an update would take the rules from version %d back to %d", a.table.Rules().Version(), next.Rules().Version())
	}
	for _, c := range changes {
		h, ok := c.(table.HoldingSet)
		if !ok {
			continue
		}
		last := a.table.Holding(h.Service(), h.Shard()).Epoch()
		e := next.Holding(h.Service(), h.Shard()).Epoch()
		if e < last && !overrideRemoved(h.Shard(), e) {
			return fmt.Sprintf("an update would take shard %s/%d from epoch %d back to %d", h.Service(), h.Shard(), last, e)
		}
	}
	return ""
}

// rejectUpdate refuses an update that breaks an invariant: the daemon owns nothing any
// more, and its rules lapse unless a later update is sound.
func (a *Agent) rejectUpdate(problem string) {
	a.emit(Violated{problem: problem})
	a.holder.GiveUp()
	a.publish()
	a.emit(Reconnect{})
}

// overrideRemoved reports whether a shard was that of a key placed alone, and is gone.
// Its number is not used again.
func overrideRemoved(s table.Shard, e table.Epoch) bool { return s >= table.FirstOverride && e == 0 }
