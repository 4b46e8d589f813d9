package leader_test

import (
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/command/apply"
	"verbenabank/core/command/leader"
	"verbenabank/core/state/fleet"
	"verbenabank/core/state/load"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/table"
)

// TestBurstOfChangesIsBatched joins many members at one instant: a session gets the first change
// at once and all others in one update. A session that opens later gets the full table.
func TestBurstOfChangesIsBatched(t *testing.T) {
	is := is.New(t)
	l, f, index := leader.New(0, 1, fleet.New()), fleet.New(), uint64(0)
	tables, updates := map[leader.SessionID]*table.Table{}, map[leader.SessionID]int{}
	step := func(now clock.Millis, e leader.Event) {
		for _, x := range l.Step(now, e) {
			u, ok := x.(leader.SendUpdate)
			if !ok {
				continue
			}
			base := tables[u.Session()]
			if u.Update().Full() {
				base = table.Empty()
			}
			is.Equal(base.Version(), u.Update().From())
			tables[u.Session()] = base.With(u.Update().To(), u.Update().Changes()...)
			updates[u.Session()]++
		}
	}
	join := func(now clock.Millis, i table.Incarnation) {
		index++
		c := logcmd.NewJoin(table.NewMember(i, "depot", "shires", "127.0.0.1:1", "", table.Warming{}))
		var effects []apply.Effect
		f, effects = apply.Apply(f, index, 0, c)
		step(now, leader.NewApplied(f, c, effects))
	}
	join(0, 1)
	step(100, leader.NewSessionOpened(1))
	step(100, leader.NewRenewRequested(1, 1, 1, 0, nil, load.Report{}))
	for i := range table.Incarnation(50) {
		join(200, i+2)
	}
	is.Equal(updates[1], 2) // the full table, then the first change
	is.Equal(l.NextTick(), clock.Millis(200))
	step(210, leader.Ticked{})
	is.Equal(updates[1], 3)
	is.Equal(tables[1].Changes(), f.Table().Changes())
	for s := range leader.SessionID(2) {
		step(300, leader.NewSessionOpened(s+2))
		step(300, leader.NewRenewRequested(s+2, table.Incarnation(s+2), 1, 0, nil, load.Report{}))
		is.Equal(tables[s+2].Changes(), f.Table().Changes())
		join(400+clock.Millis(s), 100+table.Incarnation(s))
	}
}
