package leader

import "verbenabank/core/state/table"

// historyLimit is how many changes are kept for daemons that were away. A daemon
// that missed more gets the whole table.
const historyLimit = 4096

// history is the recent past of the table.
type history struct {
	first uint64
	steps []step
	size  int
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

// since returns the changes after version, and whether they are all known.
func (h *history) since(version uint64) ([]table.Change, bool) {
	at := version == h.first
	var changes []table.Change
	for _, s := range h.steps {
		if at {
			changes = append(changes, s.changes...)
		}
		at = at || s.to == version
	}
	return changes, at
}

// update sends a session what it lacks.
func (l *Leader) update(id Session, s *session) {
	t := l.fleet.Table()
	if s.version == t.Version() {
		return
	}
	u := Update{from: s.version, to: t.Version()}
	changes, known := l.history.since(s.version)
	if known && s.version > 0 {
		u.changes = changes
	} else {
		u.full, u.from, u.changes = true, 0, t.Changes()
	}
	s.version = t.Version()
	l.emit(SendUpdate{session: id, update: u})
}
