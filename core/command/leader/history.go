package leader

import (
	"cmp"
	"slices"

	"verbenabank/core/state/table"
)

// historyLimit is how many changes are kept for daemons that were away. A daemon
// that missed more gets the whole table.
const historyLimit = 4096

// history is the recent past of the table.
type history struct {
	first uint64
	steps []step
	size  int
	base  step // the way from the empty table to a version

	recent stretch // most sessions ask for the same one
}

// stretch is the way between two versions that are several steps apart.
type stretch struct {
	from uint64
	step
}

// step is the way from the version of the last step to the version to.
type step struct {
	to      uint64
	changes []table.Change
}

// newHistory returns a history that knows nothing before version.
func newHistory(version uint64) *history { return &history{first: version} }

func (h *history) add(to uint64, changes []table.Change) {
	h.steps = append(h.steps, step{to: to, changes: changes})
	h.size += len(changes)
	for h.size > historyLimit && len(h.steps) > 1 {
		h.size -= len(h.steps[0].changes)
		h.first = h.steps[0].to
		h.steps = h.steps[1:]
	}
}

// since returns the changes after version, and whether they are all known. They
// must not be changed.
func (h *history) since(version uint64) ([]table.Change, bool) {
	next := 0
	if version != h.first {
		i, known := slices.BinarySearchFunc(h.steps, version, func(s step, v uint64) int { return cmp.Compare(s.to, v) })
		if !known {
			return nil, false
		}
		next = i + 1
	}
	if next+1 == len(h.steps) {
		return h.steps[next].changes, true
	}
	last := uint64(0)
	if len(h.steps) > 0 {
		last = h.steps[len(h.steps)-1].to
	}
	if h.recent.from != version || h.recent.to != last {
		var changes []table.Change
		for _, s := range h.steps[next:] {
			changes = append(changes, s.changes...)
		}
		h.recent = stretch{from: version, step: step{to: last, changes: changes}}
	}
	return h.recent.changes, true
}

// whole returns the changes from the empty table to t: those to an earlier
// version, which many daemons are sent, and what came after it.
func (h *history) whole(t *table.Table) []table.Change {
	later, known := h.since(h.base.to)
	if h.base.to == 0 || !known {
		h.base = step{to: t.Version(), changes: t.Changes()}
		return h.base.changes
	}
	return slices.Concat(h.base.changes, later)
}

// update sends a session what it lacks.
func (l *Leader) update(id SessionID, s *session) {
	t := l.fleet.Table()
	if s.version == t.Version() {
		return
	}
	u := Update{from: s.version, to: t.Version()}
	changes, known := l.history.since(s.version)
	if known && s.version > 0 {
		u.changes = changes
	} else {
		u.full, u.from, u.changes = true, 0, l.history.whole(t)
	}
	s.version = t.Version()
	l.emit(SendUpdate{session: id, update: u})
}
