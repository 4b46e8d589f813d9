package trial

import (
	"context"

	"verbenabank/core/clock"
	"verbenabank/core/state/table"
	"verbenabank/vscale/adapt/stat"
	"verbenabank/vscale/command/stand"
)

// vars reads the metrics of a replica.
type vars func() (stat.Vars, error)

// Lose kills the leader, measures how long the stand-ins are without a newer
// lease, and starts the replica again.
func (t *Trial) Lose() error {
	leader, err := t.group.Leader()
	if err != nil {
		return err
	}
	before := t.selves()
	begin := t.clock.Now()
	t.group.Kill(leader)
	leased, err := t.last(func(ctx context.Context, s *stand.Stand) (clock.Millis, error) { return s.Leased(ctx, begin) })
	if err != nil {
		return err
	}
	t.note("loss of the leader: ms until all have a new lease", float64(leased.Sub(begin)))
	lost := 0
	for i, s := range t.selves() {
		if s != before[i] {
			lost++
		}
	}
	t.note("loss of the leader: daemons that had to join anew", float64(lost))
	if err := t.group.Restart(leader); err != nil {
		return err
	}
	return t.quiet()
}

func (t *Trial) selves() []table.Incarnation {
	list := make([]table.Incarnation, 0, len(t.stands))
	for _, s := range t.stands {
		list = append(list, s.Self())
	}
	return list
}
