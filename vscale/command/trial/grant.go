package trial

import (
	"context"
	"time"

	"verbenabank/core/clock"
	"verbenabank/vscale/command/stand"
	"verbenabank/vscale/state/figure"
)

// Fill starts count stand-ins and measures what granting all shards costs; the
// size of its points is the count of shards.
func (t *Trial) Fill(count int) error {
	leader, err := t.group.Leader()
	if err != nil {
		return err
	}
	before, err := t.usage(leader)
	if err != nil {
		return err
	}
	begin := t.clock.Now()
	if err := t.Grow(count); err != nil {
		return err
	}
	after, err := t.usage(leader)
	if err != nil {
		return err
	}
	granted, err := t.last(func(ctx context.Context, s *stand.Stand) (clock.Millis, error) { return s.Granted(ctx, t.shards) })
	if err != nil {
		return err
	}
	for name, value := range map[string]float64{
		"fill: ms until the shards are granted and all is quiet": float64(granted.Sub(begin)),
		"fill: leader processor ms for each shard":               1000 * (after.leader - before.leader) / float64(t.shards),
		"fill: follower processor ms for each shard":             1000 * (after.followers - before.followers) / float64(t.shards),
		"fill: daemon processor ms for each shard":               1000 * (after.stands - before.stands) / float64(t.shards) / float64(count),
		"fill: daemon bytes down for each shard":                 float64(after.in-before.in) / float64(t.shards) / float64(count),
	} {
		t.points = append(t.points, figure.NewPoint(name, float64(t.shards), value))
	}
	return nil
}

// Pace offers two configurations at each interval; the size of its points is the
// interval in milliseconds.
func (t *Trial) Pace(intervals []time.Duration) error {
	for _, i := range intervals {
		ticker := time.NewTicker(i)
		for range 2 {
			begin := t.clock.Now()
			if _, err := t.offer(); err != nil {
				ticker.Stop()
				return err
			}
			force, err := t.last(func(ctx context.Context, s *stand.Stand) (clock.Millis, error) { return s.Ruled(ctx, t.version) })
			if err != nil {
				ticker.Stop()
				return err
			}
			t.points = append(t.points, figure.NewPoint("pace: ms until in force at all, by ms between changes",
				float64(i.Milliseconds()), float64(force.Sub(begin))))
			<-ticker.C
		}
		ticker.Stop()
	}
	return nil
}
