package apply

import (
	"fmt"

	"verbenabank/core/state/fleet"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/table"
)

func (t *transition) grant(c logcmd.Grant) {
	h, ok := t.table().Ownership(c.Service(), c.Shard()).(table.Vacant)
	if !ok {
		t.reject("grant", UnexpectedOwnership)
		return
	}
	if h.Epoch() != c.Epoch() {
		t.reject("grant", StaleEpoch)
		return
	}
	if !t.checkOwner("grant", c.Service(), c.Owner()) {
		return
	}
	t.setOwnership(c.Service(), c.Shard(), table.NewOwned(c.Owner(), h.Epoch()+1))
	t.recordShard(c.Service(), c.Shard(), "", t.instanceOf(c.Owner()), "granted", h.Epoch()+1)
}

func (t *transition) move(c logcmd.Move) {
	h, ok := t.table().Ownership(c.Service(), c.Shard()).(table.Owned)
	if !ok || h.Owner() == c.Successor() {
		t.reject("move", UnexpectedOwnership)
		return
	}
	if h.Epoch() != c.Epoch() {
		t.reject("move", StaleEpoch)
		return
	}
	if !t.checkOwner("move", c.Service(), c.Successor()) {
		return
	}
	t.setOwnership(c.Service(), c.Shard(), table.NewMoving(h.Owner(), c.Successor(), h.Epoch()))
}

// release makes the successor the owner of a moving shard, or leaves the shard vacant if the
// successor is gone or leaving, or its zone is drained.
func (t *transition) release(c logcmd.Release) {
	h, ok := t.table().Ownership(c.Service(), c.Shard()).(table.Moving)
	if !ok {
		t.reject("release", UnexpectedOwnership)
		return
	}
	if h.Epoch() != c.Epoch() {
		t.reject("release", StaleEpoch)
		return
	}
	m, ok := t.table().Member(h.To())
	if !ok || !t.mayOwn(m) {
		t.setOwnership(c.Service(), c.Shard(), table.NewVacant(h.Epoch()))
		return
	}
	t.setOwnership(c.Service(), c.Shard(), table.NewOwned(h.To(), h.Epoch()+1))
	t.recordShard(c.Service(), c.Shard(), t.instanceOf(h.From()), m.Instance(), "moved", h.Epoch()+1)
}

// addOverride gives a key a dedicated shard, which the owner of its hash range owns at first.
func (t *transition) addOverride(c logcmd.AddOverride) {
	count, ok := t.shardCount(c.Service())
	if !ok {
		t.reject("place", NotKeyed)
		return
	}
	base := table.HashShard(c.Key(), count)
	if t.table().ShardOf(c.Service(), c.Key(), count) != base {
		t.reject("place", AlreadyPlaced)
		return
	}
	h, ok := t.table().Ownership(c.Service(), base).(table.Owned)
	if !ok {
		t.reject("place", UnexpectedOwnership)
		return
	}
	dedicated := t.fleet.NextOverride()
	t.change(table.NewOverrideSet(c.Service(), c.Key(), dedicated))
	t.setOwnership(c.Service(), dedicated, table.NewOwned(h.Owner(), 1))
	t.options = append(t.options, withNextOverride(dedicated+1))
	t.record(fleet.Control, "key "+c.Service()+"/"+c.Key(), "", fmt.Sprint(dedicated), "placed alone")
}

// removeOverride returns a key to its hash range. Both must have the same owner, or two members could
// serve the key at the same time.
func (t *transition) removeOverride(c logcmd.RemoveOverride) {
	count, ok := t.shardCount(c.Service())
	if !ok {
		t.reject("unplace", NotKeyed)
		return
	}
	base := table.HashShard(c.Key(), count)
	dedicated := t.table().ShardOf(c.Service(), c.Key(), count)
	if dedicated == base {
		t.reject("unplace", NotPlaced)
		return
	}
	a, ok := t.table().Ownership(c.Service(), dedicated).(table.Owned)
	b, same := t.table().Ownership(c.Service(), base).(table.Owned)
	if !ok || !same || a.Owner() != b.Owner() {
		t.reject("unplace", DifferentOwners)
		return
	}
	t.change(table.NewOverrideRemoved(c.Service(), c.Key()))
	t.record(fleet.Control, "key "+c.Service()+"/"+c.Key(), fmt.Sprint(dedicated), "", "returned to its range")
}

// checkOwner reports whether a member may own shards of the service, and rejects the command if
// not.
func (t *transition) checkOwner(op, service string, i table.Incarnation) bool {
	m, ok := t.table().Member(i)
	if !ok {
		t.reject(op, UnknownMember)
		return false
	}
	if m.Service() != service {
		t.reject(op, WrongService)
		return false
	}
	if _, leaving := m.Phase().(table.Leaving); leaving {
		t.reject(op, MemberLeaving)
		return false
	}
	if t.table().ZoneDrained(m.Zone()) {
		t.reject(op, ZoneDrained)
		return false
	}
	return true
}

func (t *transition) instanceOf(i table.Incarnation) string {
	m, _ := t.table().Member(i)
	return m.Instance()
}

func (t *transition) recordShard(service string, sh table.Shard, from, to, outcome string, e table.Epoch) {
	t.record(fleet.Control, fmt.Sprintf("shard %s/%d", service, sh), from, to, fmt.Sprintf("%s at epoch %d", outcome, e))
}
