package trial

import (
	"context"
	"errors"
	"fmt"
	"time"

	"verbenabank/core/clock"
	"verbenabank/core/state/fleet"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/wire/confjs"
	"verbenabank/vscale/command/fake"
)

// proposeRules proposes the next configuration and returns the time until its verdict.
func (t *Trial) proposeRules() (clock.Millis, error) {
	t.version++
	content := []byte(fmt.Sprintf(
		`{"version":%d,"services":{%q:{"keyed":{"key":{"path_segment":2},"shards":%d},"warm_up_ms":0}}}`,
		t.version, service, t.shards))
	r, err := confjs.Decode("rules", content)
	if err != nil {
		return 0, fail("offer", Refused, err)
	}
	begin := t.clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	v, err := t.client.Propose(ctx, logcmd.NewSetRules(r.WithContent(content), "vscale", "conf.d"))
	if err != nil {
		return 0, fail("offer", Refused, err)
	}
	switch v := v.(type) {
	case fleet.Accepted, fleet.Repeated:
		return t.clock.Now().Sub(begin), nil
	case fleet.Conflict:
		return 0, fail("offer", Refused, fmt.Errorf("version %d was accepted before with different content", t.version))
	case fleet.Older:
		return 0, fail("offer", Refused, fmt.Errorf("version %d is in force", v.Version()))
	case fleet.Invalid:
		return 0, fail("offer", Refused, errors.New(v.Problem()))
	}
	return 0, fail("offer", Refused, fmt.Errorf("unknown verdict %T", v))
}

// MeasureChanges proposes count configurations, one each interval. It measures the time
// until all stand-in daemons have each, and its cost in CPU time beyond the idle rates.
func (t *Trial) MeasureChanges(count int, interval time.Duration, idle IdleRates) error {
	leader, err := t.group.Leader()
	if err != nil {
		return err
	}
	before, err := t.usage(leader)
	if err != nil {
		return err
	}
	stored, err := leader.StoredBytes()
	if err != nil {
		return err
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for range count {
		if err := t.measureChange(leader.Metrics); err != nil {
			return err
		}
		<-ticker.C
	}
	after, err := t.usage(leader)
	if err != nil {
		return err
	}
	grown, err := leader.StoredBytes()
	if err != nil {
		return err
	}
	seconds, changes := after.at.Sub(before.at).Seconds(), float64(count)
	t.record("change: leader processor ms", 1000*(after.leader-before.leader-idle.leader*seconds)/changes)
	t.record("change: follower processor ms", 1000*(after.followers-before.followers-idle.follower*seconds)/changes)
	t.record("change: log bytes", (grown-stored)/changes)
	return nil
}

func (t *Trial) measureChange(metrics metricsReader) error {
	begin := t.clock.Now()
	verdict, err := t.proposeRules()
	if err != nil {
		return err
	}
	inForce, err := t.awaitAll(func(ctx context.Context, d *fake.Daemon) (clock.Millis, error) { return d.AwaitRules(ctx, t.version) })
	if err != nil {
		return err
	}
	t.record("change: ms to the verdict", float64(verdict))
	t.record("change: ms until in force at all", float64(inForce.Sub(begin)))
	m, err := metrics()
	if err != nil {
		return err
	}
	t.record("change: ms of the last sync", m.LogSyncMillis())
	return nil
}
