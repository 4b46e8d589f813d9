package grant

import (
	"cmp"
	"fmt"
	"slices"

	"verbenabank/core/state/table"
)

// Report is what a target says about its keys in a heartbeat. The zero value reports no keys.
type Report struct {
	held  []Row
	freed []FreedRow
}

// NewReport returns a report of the ranges that the target holds or still works on, and of those that it
// has released since its last acknowledged heartbeat.
func NewReport(held []Row, freed []FreedRow) Report {
	held, freed = slices.Clone(held), slices.Clone(freed)
	slices.SortFunc(held, func(a, b Row) int { return cmp.Compare(a.first, b.first) })
	slices.SortFunc(freed, func(a, b FreedRow) int { return cmp.Compare(a.first, b.first) })
	return Report{held: held, freed: freed}
}

// Held returns the ranges that the target holds or still works on, ordered by key. The caller must not
// modify them.
func (r Report) Held() []Row { return r.held }

// Freed returns the ranges that the target has released, ordered by key. The caller must not modify them.
func (r Report) Freed() []FreedRow { return r.freed }

// Problem describes why the report cannot be used for a service with the given number of keys, "" if it
// can: a range is reversed or out of bounds. Ranges may overlap: a target that got keys back may still
// work on requests of its earlier ownership.
func (r Report) Problem(keys int) string {
	for _, h := range r.held {
		if h.first > h.last || int(h.last) >= keys {
			return fmt.Sprintf("the held range %d-%d is reversed or out of bounds", h.first, h.last)
		}
	}
	for _, f := range r.freed {
		if f.first > f.last || int(f.last) >= keys {
			return fmt.Sprintf("the freed range %d-%d is reversed or out of bounds", f.first, f.last)
		}
	}
	return ""
}

// HoldsAny reports whether the target holds or works on any key from first to last.
func (r Report) HoldsAny(first, last table.Key) bool {
	return slices.ContainsFunc(r.held, func(h Row) bool { return h.first <= last && first <= h.last })
}

// HoldsAll reports whether the target holds all keys from first to last at the epoch.
func (r Report) HoldsAll(first, last table.Key, e table.Epoch) bool {
	return table.CoverKeys(func(yield func(first, last table.Key) bool) {
		for _, h := range r.held {
			if h.epoch == e && !yield(h.first, h.last) {
				return
			}
		}
	}, first, last)
}

// FreedToken returns the token of the released range that contains all keys from first to last, and
// whether there is one.
func (r Report) FreedToken(first, last table.Key) (string, bool) {
	for _, f := range r.freed {
		if f.first <= first && last <= f.last {
			return f.handover, true
		}
	}
	return "", false
}

// Bounds returns the first key of each range and the key behind it, in no particular order.
func (r Report) Bounds() []table.Key {
	keys := make([]table.Key, 0, 2*(len(r.held)+len(r.freed)))
	for _, h := range r.held {
		keys = append(keys, h.first, h.last+1)
	}
	for _, f := range r.freed {
		keys = append(keys, f.first, f.last+1)
	}
	return keys
}
