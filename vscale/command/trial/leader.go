package trial

import (
	"context"

	"verbenabank/core/clock"
	"verbenabank/core/state/table"
	"verbenabank/vscale/adapt/stat"
	"verbenabank/vscale/command/fake"
)

// metricsReader requests the metrics of a replica.
type metricsReader func() (stat.Metrics, error)

// MeasureLeaderLoss kills the leader, measures the time until all stand-in daemons have
// renewed their leases with the next leader and how many had to rejoin, and restarts the
// replica.
func (t *Trial) MeasureLeaderLoss() error {
	leader, err := t.group.Leader()
	if err != nil {
		return err
	}
	before := t.incarnations()
	begin := t.clock.Now()
	t.group.Kill(leader)
	leased, err := t.awaitAll(func(ctx context.Context, d *fake.Daemon) (clock.Millis, error) { return d.AwaitLease(ctx, begin) })
	if err != nil {
		return err
	}
	t.record("loss of the leader: ms until all have a new lease", float64(leased.Sub(begin)))
	rejoined := 0
	for i, id := range t.incarnations() {
		if id != before[i] {
			rejoined++
		}
	}
	t.record("loss of the leader: daemons that had to join anew", float64(rejoined))
	if err := t.group.Restart(leader); err != nil {
		return err
	}
	return t.awaitQuiescence()
}

func (t *Trial) incarnations() []table.Incarnation {
	list := make([]table.Incarnation, 0, len(t.daemons))
	for _, d := range t.daemons {
		list = append(list, d.Incarnation())
	}
	return list
}
