package micro

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

// renewalCount is the number of renewals that are timed together.
const renewalCount = 20_000

// MeasureRenewals measures the CPU time of a leader with the given number of members
// for each lease renewal, without encoding or sending: the request, its confirmation
// and the computation of the next tick.
func MeasureRenewals(members int) []figure.Point {
	f := fleet.New(fleet.WithTable(table.Empty().With(1, memberChanges(members)...)))
	l := leader.New(0, 1, f)
	for i := range members {
		l.Step(0, leader.NewSessionOpened(leader.SessionID(i)))
	}
	begin, token := time.Now(), uint64(0)
	for i := range renewalCount {
		now := clock.Millis(int64(i) * int64(lease.RenewInterval) / int64(members))
		member := table.Incarnation(1<<63 + uint64(i%members))
		request := leader.NewRenewRequested(leader.SessionID(i%members), member, uint64(i), 1, nil, load.Report{})
		for _, e := range l.Step(now, request) {
			if c, ok := e.(leader.Confirm); ok {
				token = c.Token()
			}
		}
		l.Step(now, leader.NewConfirmed(token))
		l.NextTick()
	}
	micros := 1000 * millis(time.Since(begin)) / renewalCount
	return []figure.Point{figure.NewPoint("decide: µs of a renewal, by members", float64(members), micros)}
}
