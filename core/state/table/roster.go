package table

import (
	"cmp"
	"maps"
	"slices"
	"sync"
)

// roster is the members of one or more tables. It is immutable once its table is
// made.
type roster struct {
	byIncarnation map[Incarnation]Member
	once          sync.Once
	sorted        []Member
}

// list returns the members in order, sorted on the first call.
func (r *roster) list() []Member {
	r.once.Do(func() {
		r.sorted = slices.SortedFunc(maps.Values(r.byIncarnation), func(a, b Member) int {
			return cmp.Compare(a.incarnation, b.incarnation)
		})
	})
	return r.sorted
}

// SharesMembers reports whether both tables surely have the same members, since no change
// between them touched any.
func (t *Table) SharesMembers(other *Table) bool { return t.members == other.members }
