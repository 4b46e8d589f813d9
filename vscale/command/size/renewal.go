package size

import (
	"time"

	"verbenabank/core/clock"
	"verbenabank/core/command/leader"
	"verbenabank/core/command/lease"
	"verbenabank/core/state/fleet"
	"verbenabank/core/state/load"
	"verbenabank/core/state/table"
	"verbenabank/vscale/state/figure"
)

// renewals is how many renewals are timed together.
const renewals = 20_000

// Decide measures what the decisions of a leader with so many members cost for
// each renewal, without messages: its arrival, the next wake-up and its answer.
func Decide(members int) []figure.Point {
	f := fleet.New(fleet.WithTable(table.Empty().With(1, daemons(members)...)))
	l := leader.New(0, 1, f)
	for i := range members {
		l.Step(0, leader.NewSessionOpened(leader.SessionID(i)))
	}
	begin, token := time.Now(), uint64(0)
	for i := range renewals {
		now := clock.Millis(int64(i) * int64(lease.RenewInterval) / int64(members))
		member := table.Incarnation(1<<63 + uint64(i%members))
		asked := leader.NewRenewRequested(leader.SessionID(i%members), member, uint64(i), 1, nil, load.Report{})
		for _, e := range l.Step(now, asked) {
			if c, ok := e.(leader.Confirm); ok {
				token = c.Token()
			}
		}
		l.Step(now, leader.NewConfirmed(token))
		l.NextTick()
	}
	spent := 1000 * millis(time.Since(begin)) / renewals
	return []figure.Point{figure.NewPoint("decide: µs of a renewal, by members", float64(members), spent)}
}
