package leader_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/command/apply"
	"verbenabank/core/command/leader"
	"verbenabank/core/command/lease"
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

// TestRenewalsShareConfirmationRounds has 300 daemons that renew every 500 ms, and confirmations after 3 ms. It guards
// against a round for each renewal, whose messages to all replicas took most of the leader's processor time in a
// large fleet, and against renewals that wait long for their round.
func TestRenewalsShareConfirmationRounds(t *testing.T) {
	is := is.New(t)
	const daemons, duration = 300, 5 * clock.Second
	params := lease.NewParams(5*clock.Second, 100, 500, clock.Second)
	f := fleet.New()
	for i := range table.Incarnation(daemons) {
		f, _ = apply.Apply(f, uint64(i+1), 0, logcmd.NewJoin(table.NewMember(i+1, fmt.Sprint(i), "z", "a", "", table.Serving{})))
	}
	l := leader.New(0, 1, f, leader.WithLeaseParams(params))
	rounds, answers, longest := 0, 0, clock.Millis(0)
	var confirmAt clock.Millis
	var token uint64
	step := func(now clock.Millis, e leader.Event) {
		for _, x := range l.Step(now, e) {
			switch x := x.(type) {
			case leader.Confirm:
				rounds++
				token, confirmAt = x.Token(), now+3
			case leader.SendLease:
				answers++
				longest = max(longest, now-clock.Millis(x.Sequence()))
			case leader.Propose, leader.SendUpdate, leader.SendRejoin:
			}
		}
	}
	for s := range leader.SessionID(daemons) {
		step(0, leader.NewSessionOpened(s+1))
	}
	for now := clock.Millis(1); now <= duration; now++ {
		if l.NextTick() <= now {
			step(now, leader.Ticked{})
		}
		if confirmAt == now {
			step(now, leader.NewConfirmed(token))
		}
		for s := leader.SessionID(1); s <= daemons; s++ {
			if (now+clock.Millis(s)*7)%500 == 0 {
				step(now, leader.NewRenewRequested(s, table.Incarnation(s), uint64(now), 0, nil, load.Report{}))
			}
		}
	}
	is.True(answers >= 9*daemons)
	is.True(rounds <= 40*5+1) // 40 a second, not one for each of 600 renewals a second
	is.True(longest <= 2*25+2*3)
}
