package agent

import (
	"fmt"

	"verbenabank/core/state/table"
)

// broken says which invariant the next table would break, "" if none: versions of
// table and rules and epochs of shards never fall.
func (a *Agent) broken(next *table.Table, changes []table.Change) string {
	if next.Version() < a.table.Version() {
		return fmt.Sprintf("an update would take the table from version %d back to %d", a.table.Version(), next.Version())
	}
	if next.Rules().Version() < a.table.Rules().Version() {
		return fmt.Sprintf("an update would take the rules from version %d back to %d", a.table.Rules().Version(), next.Rules().Version())
	}
	for _, c := range changes {
		h, ok := c.(table.OwnershipSet)
		if !ok {
			continue
		}
		last := a.table.Ownership(h.Service(), h.Shard()).Epoch()
		e := next.Ownership(h.Service(), h.Shard()).Epoch()
		if e < last && !removed(h.Shard(), e) {
			return fmt.Sprintf("an update would take shard %s/%d from epoch %d back to %d", h.Service(), h.Shard(), last, e)
		}
	}
	return ""
}

// distrust refuses an update that breaks an invariant: the daemon owns nothing any
// more, and its rules lapse unless a later update is sound.
func (a *Agent) distrust(problem string) {
	a.emit(InvariantViolated{problem: problem})
	a.holder.Relinquish()
	a.publish()
	a.emit(Reconnect{})
}

// removed reports whether a shard was that of a key placed alone, and is gone.
// Its number is not used again.
func removed(s table.Shard, e table.Epoch) bool { return s >= table.FirstOverride && e == 0 }
