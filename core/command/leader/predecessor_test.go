package leader_test

import (
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/command/apply"
	"verbenabank/core/command/leader"
	"verbenabank/core/command/lease"
	"verbenabank/core/state/fleet"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

// TestJoinWaitsForTheKeysOfAPredecessor guards against two owners: a restarted daemon joins with another target
// process, while the one before may still hold keys that an earlier process of the daemon granted to it. A member
// that owns nothing delays no join.
func TestJoinWaitsForTheKeysOfAPredecessor(t *testing.T) {
	for name, owns := range map[string]bool{"owns keys": true, "owns nothing": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, index := fleet.New(), uint64(0)
			l := leader.New(0, 1, f)
			var proposed []logcmd.Command
			step := func(now clock.Millis, e leader.Event) {
				for _, x := range l.Step(now, e) {
					if p, ok := x.(leader.Propose); ok {
						proposed = append(proposed, p.Command())
					}
				}
			}
			commit := func(now clock.Millis, c logcmd.Command) {
				index++
				var effects []apply.Effect
				f, effects = apply.Apply(f, index, 0, c)
				step(now, leader.NewApplied(f, c, effects))
			}
			joined := func(i table.Incarnation) bool {
				_, ok := f.Table().Member(i)
				return ok
			}
			member := func(i table.Incarnation, startTime uint64) table.Member {
				return table.NewMember(i, "depot", "shires", "127.0.0.1:1", "orders", table.Warming{}).WithTargetStartTime(startTime)
			}
			commit(50, logcmd.NewSetRules(rules.New(1, "d", rules.NewService("orders", rules.WithKind(rules.NewOrdered(rules.NewHeader("Key"), 100)))), "i", "o"))
			commit(60, logcmd.NewJoin(member(1, 50)))
			if owns {
				commit(70, logcmd.NewGrantSpan("orders", 0, 99, 1))
			}
			step(100, leader.NewSessionOpened(1))
			proposed = nil
			// commitProposed commits what was proposed, but for new grants.
			commitProposed := func(now clock.Millis) {
				list := proposed
				proposed = nil
				for _, c := range list {
					if _, ok := c.(logcmd.GrantSpan); !ok {
						commit(now, c)
					}
				}
			}
			for now := clock.Millis(100); now < 3*lease.TTL; now += 20 {
				step(now, leader.NewJoinRequested(1, member(2, 60), 0))
				commitProposed(now)
				if now < 60+lease.TTL {
					is.Equal(joined(1), owns)
					is.Equal(joined(2), !owns)
				}
				step(now+10, leader.Ticked{})
				commitProposed(now + 10)
			}
			is.True(!joined(1))
			is.True(joined(2))
		})
	}
}
