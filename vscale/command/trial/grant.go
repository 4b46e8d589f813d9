package trial

import (
	"context"
	"time"

	"verbenabank/core/clock"
	"verbenabank/vscale/command/fake"
	"verbenabank/vscale/state/figure"
)

// MeasureGrants starts count stand-in daemons and measures the cost of the grants of all
// shards. The size of its points is the number of shards.
func (t *Trial) MeasureGrants(count int) error {
	leader, err := t.group.Leader()
	if err != nil {
		return err
	}
	before, err := t.usage(leader)
	if err != nil {
		return err
	}
	begin := t.clock.Now()
	if err := t.GrowTo(count); err != nil {
		return err
	}
	after, err := t.usage(leader)
	if err != nil {
		return err
	}
	granted, err := t.awaitAll(func(ctx context.Context, d *fake.Daemon) (clock.Millis, error) { return d.AwaitOwners(ctx, t.shards) })
	if err != nil {
		return err
	}
	for name, value := range map[string]float64{
		"fill: ms until the shards are granted and all is quiet": float64(granted.Sub(begin)),
		"fill: leader processor ms for each shard":               1000 * (after.leader - before.leader) / float64(t.shards),
		"fill: follower processor ms for each shard":             1000 * (after.followers - before.followers) / float64(t.shards),
		"fill: daemon processor ms for each shard":               1000 * (after.ownProcess - before.ownProcess) / float64(t.shards) / float64(count),
		"fill: daemon bytes down for each shard":                 float64(after.in-before.in) / float64(t.shards) / float64(count),
	} {
		t.points = append(t.points, figure.NewPoint(name, float64(t.shards), value))
	}
	return nil
}

// MeasureChangeIntervals proposes two configurations at each interval and measures the time
// until all stand-in daemons have them. The size of its points is the interval in
// milliseconds.
func (t *Trial) MeasureChangeIntervals(intervals []time.Duration) error {
	for _, i := range intervals {
		ticker := time.NewTicker(i)
		for range 2 {
			begin := t.clock.Now()
			if _, err := t.proposeRules(); err != nil {
				ticker.Stop()
				return err
			}
			inForce, err := t.awaitAll(func(ctx context.Context, d *fake.Daemon) (clock.Millis, error) { return d.AwaitRules(ctx, t.version) })
			if err != nil {
				ticker.Stop()
				return err
			}
			t.points = append(t.points, figure.NewPoint("pace: ms until in force at all, by ms between changes",
				float64(i.Milliseconds()), float64(inForce.Sub(begin))))
			<-ticker.C
		}
		ticker.Stop()
	}
	return nil
}
