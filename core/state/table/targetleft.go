package table

import (
	"cmp"
	"maps"
	"slices"
)

// maxTargetsLeft is how many targets that left a table remembers, those that started last.
const maxTargetsLeft = 4096

// TargetLeft records that a target process has said that it stops. It doesn't join again, also if a late
// message of it reaches a daemon that has been restarted. The last one of each instance is remembered.
type TargetLeft struct {
	instance  string
	startTime uint64
}

// NewTargetLeft returns the change for the target of the instance with the start time, which is not 0.
func NewTargetLeft(instance string, startTime uint64) TargetLeft {
	return TargetLeft{instance: instance, startTime: startTime}
}

// Instance returns the instance of the target.
func (c TargetLeft) Instance() string { return c.instance }

// StartTime returns the start time of the target process.
func (c TargetLeft) StartTime() uint64 { return c.startTime }

func (TargetLeft) change() {}

// HasLeft reports whether the target process of the instance has said that it stops. It is false for a start
// time of 0, which is not known. Start times come from wall clocks, so a lower one may be that of a later
// process.
func (t *Table) HasLeft(instance string, startTime uint64) bool {
	return startTime > 0 && t.targetsLeft[instance] == startTime
}

// TargetLeaves returns the change that records that the target of a member has said that it stops. It reports
// false if that is recorded already, or the start time of the target is not known.
func (t *Table) TargetLeaves(m Member) (TargetLeft, bool) {
	c := NewTargetLeft(m.instance, m.targetStartTime)
	return c, c.startTime > 0 && !t.HasLeft(c.instance, c.startTime)
}

// targetsLeftChanges returns the changes that record the targets that left, sorted by instance.
func (t *Table) targetsLeftChanges() []Change {
	list := make([]Change, 0, len(t.targetsLeft))
	for _, i := range slices.Sorted(maps.Keys(t.targetsLeft)) {
		list = append(list, NewTargetLeft(i, t.targetsLeft[i]))
	}
	return list
}

// setTargetLeft records a target that left, in place of the one that started first if there are too many.
func (e *editor) setTargetLeft(c TargetLeft) {
	left := maps.Clone(e.table.targetsLeft)
	if left == nil {
		left = map[string]uint64{}
	}
	left[c.instance] = c.startTime
	if len(left) > maxTargetsLeft {
		delete(left, slices.MinFunc(slices.Collect(maps.Keys(left)), func(a, b string) int {
			return cmp.Or(cmp.Compare(left[a], left[b]), cmp.Compare(a, b))
		}))
	}
	e.table.targetsLeft = left
}
