package leader_test

import (
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/command/apply"
	"verbenabank/core/command/leader"
	"verbenabank/core/state/fleet"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/table"
)

// TestTargetThatLeftIsRecordedOnce has a member leave whose target stops, and repeat it. A daemon that asks
// to join with that target is sent the table instead, which says why.
func TestTargetThatLeftIsRecordedOnce(t *testing.T) {
	is := is.New(t)
	l, f, index := leader.New(0, 1, fleet.New()), fleet.New(), uint64(0)
	var proposed []logcmd.Command
	updates := 0
	step := func(now clock.Millis, e leader.Event) {
		proposed, updates = nil, 0
		for _, x := range l.Step(now, e) {
			switch x := x.(type) {
			case leader.Propose:
				proposed = append(proposed, x.Command())
			case leader.SendUpdate:
				updates++
			}
		}
	}
	commit := func(now clock.Millis) {
		c := proposed[0]
		index++
		var effects []apply.Effect
		f, effects = apply.Apply(f, index, 0, c)
		step(now, leader.NewApplied(f, c, effects))
	}
	member := func(i table.Incarnation) table.Member {
		return table.NewMember(i, "depot", "shires", "127.0.0.1:1", "orders", table.Warming{}).WithTargetStartTime(50)
	}
	step(100, leader.NewSessionOpened(1))
	step(100, leader.NewJoinRequested(1, member(1), 0))
	commit(101)
	leave := leader.NewLeaveRequested(1).WithTargetLeft(true)
	step(102, leave)
	is.Equal(proposed, []logcmd.Command{logcmd.NewSetPhase(1, table.Leaving{}).WithTargetLeft(true)})
	commit(103)
	is.True(f.Table().HasLeft("depot", 50))
	step(104, leave)
	is.Equal(len(proposed), 0)
	step(105, leader.NewGoneReported(1))
	commit(106)
	step(200, leader.NewSessionOpened(2))
	step(200, leader.NewJoinRequested(2, member(2), 0))
	is.Equal(len(proposed), 0)
	is.Equal(updates, 1)
}
