package table

import (
	"cmp"
	"maps"
	"slices"
	"sync"
)

// memberSet holds the members of one or more tables. It is immutable once its table is
// complete, apart from the sorted list, which is built on demand.
type memberSet struct {
	byIncarnation map[Incarnation]Member
	once          sync.Once
	sorted        []Member
}

// list returns the members sorted by incarnation. It sorts them on the first call and is safe
// for concurrent use.
func (s *memberSet) list() []Member {
	s.once.Do(func() {
		s.sorted = slices.SortedFunc(maps.Values(s.byIncarnation), func(a, b Member) int {
			return cmp.Compare(a.incarnation, b.incarnation)
		})
	})
	return s.sorted
}

// SharesMembers reports whether both tables share one set of members, since no change between
// them touched a member. False does not mean that the members differ.
func (t *Table) SharesMembers(other *Table) bool { return t.members == other.members }
