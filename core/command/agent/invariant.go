package agent

import (
	"fmt"

	"verbenabank/core/state/table"
)

// violation describes the invariant that the next table would violate, "" if none: the versions
// of table and rules and the epochs of shards never decrease.
func (a *Agent) violation(next *table.Table, e TableUpdated) string {
	if next.Version() < a.table.Version() {
		return fmt.Sprintf("an update would take the table from version %d back to %d", a.table.Version(), next.Version())
	}
	if v, ok := updatedRules(e); ok && v < a.freshness.fromLeader {
		return fmt.Sprintf("an update would take the rules from version %d back to %d", a.freshness.fromLeader, v)
	}
	for _, c := range e.changes {
		h, ok := c.(table.OwnershipSet)
		if !ok {
			continue
		}
		last := a.table.Ownership(h.Service(), h.Shard()).Epoch()
		e := next.Ownership(h.Service(), h.Shard()).Epoch()
		if e < last && !overrideRemoved(h.Shard(), e) {
			return fmt.Sprintf("an update would take shard %s/%d from epoch %d back to %d", h.Service(), h.Shard(), last, e)
		}
	}
	return ""
}

// rejectUpdate handles an update that violates an invariant: the daemon gives up all ownership and
// starts a new session. Its rules expire unless a later update is valid.
func (a *Agent) rejectUpdate(problem string) {
	a.emit(InvariantViolated{problem: problem})
	a.holder.Relinquish()
	a.publish()
	a.emit(Reconnect{})
}

// overrideRemoved reports whether the shard belonged to a single key and has been removed, in
// which case its epoch is 0. The numbers of such shards are not reused.
func overrideRemoved(s table.Shard, e table.Epoch) bool { return s >= table.FirstOverride && e == 0 }
