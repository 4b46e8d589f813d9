package leader

import (
	"cmp"
	"slices"

	"verbenabank/core/state/table"
)

// historyLimit is how many table changes are kept for daemons that reconnect. A daemon that
// missed more gets the full table.
const historyLimit = 4096

// history keeps the recent changes of the table.
type history struct {
	first    uint64
	deltas   []delta
	size     int
	snapshot delta // the changes from the empty table to a version

	merged mergedDelta // cache of the last merge, since most sessions ask for the same one
}

// mergedDelta holds the changes between two versions that are several deltas apart.
type mergedDelta struct {
	from uint64
	delta
}

// delta holds the changes from the version of the delta before it to the version to.
type delta struct {
	to      uint64
	changes []table.Change
}

// newHistory returns a history that starts at a version.
func newHistory(version uint64) *history { return &history{first: version} }

func (h *history) add(to uint64, changes []table.Change) {
	h.deltas = append(h.deltas, delta{to: to, changes: changes})
	h.size += len(changes)
	for h.size > historyLimit && len(h.deltas) > 1 {
		h.size -= len(h.deltas[0].changes)
		h.first = h.deltas[0].to
		h.deltas = h.deltas[1:]
	}
}

// since returns the changes after a version, and whether all of them are still kept. The slice is
// shared and must not be modified.
func (h *history) since(version uint64) ([]table.Change, bool) {
	next := 0
	if version != h.first {
		i, known := slices.BinarySearchFunc(h.deltas, version, func(s delta, v uint64) int { return cmp.Compare(s.to, v) })
		if !known {
			return nil, false
		}
		next = i + 1
	}
	if next+1 == len(h.deltas) {
		return h.deltas[next].changes, true
	}
	last := uint64(0)
	if len(h.deltas) > 0 {
		last = h.deltas[len(h.deltas)-1].to
	}
	if h.merged.from != version || h.merged.to != last {
		var changes []table.Change
		for _, s := range h.deltas[next:] {
			changes = append(changes, s.changes...)
		}
		h.merged = mergedDelta{from: version, delta: delta{to: last, changes: withoutSupersededRules(changes)}}
	}
	return h.merged.changes, true
}

// full returns the changes from the empty table to t. It reuses a snapshot of an earlier version,
// since many daemons need one at the same time, and appends the changes after it.
func (h *history) full(t *table.Table) []table.Change {
	later, known := h.since(h.snapshot.to)
	if h.snapshot.to == 0 || !known {
		h.snapshot = delta{to: t.Version(), changes: t.Changes()}
		return h.snapshot.changes
	}
	return withoutSupersededRules(slices.Concat(h.snapshot.changes, later))
}

// withoutSupersededRules returns the changes without all configurations but the last one. A daemon that lags behind a
// series of them needs only that, and its link may be slow.
func withoutSupersededRules(changes []table.Change) []table.Change {
	last := -1
	for i, c := range changes {
		if _, ok := c.(table.RulesSet); ok {
			last = i
		}
	}
	kept := make([]table.Change, 0, len(changes))
	for i, c := range changes {
		if _, ok := c.(table.RulesSet); !ok || i == last {
			kept = append(kept, c)
		}
	}
	return kept
}

// sendUpdate sends a session the changes that it lacks, or the full table if they are not kept.
func (l *Leader) sendUpdate(id SessionID, s *session) {
	t := l.fleet.Table()
	if s.version == t.Version() {
		return
	}
	u := Update{from: s.version, to: t.Version()}
	changes, known := l.history.since(s.version)
	if known && s.version > 0 {
		u.changes = changes
	} else {
		u.full, u.from, u.changes = true, 0, l.history.full(t)
	}
	s.version = t.Version()
	l.emit(SendUpdate{session: id, update: u})
}
