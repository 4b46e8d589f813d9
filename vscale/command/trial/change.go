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
	"verbenabank/vscale/command/stand"
)

// offer offers the next configuration and returns how long its verdict took.
func (t *Trial) offer() (clock.Millis, error) {
	t.version++
	content := []byte(fmt.Sprintf(
		`{"version":%d,"services":{%q:{"keyed":{"key":{"path_segment":2},"shards":%d},"warm_up_ms":0}}}`,
		t.version, service, t.shards))
	r, err := confjs.Decode("rules", content)
	if err != nil {
		return 0, fail("offer", Refused, err)
	}
	begin := t.clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	v, err := t.client.Propose(ctx, logcmd.NewSetRules(r.WithContent(content), "vscale", "conf.d"))
	if err != nil {
		return 0, fail("offer", Refused, err)
	}
	switch v := v.(type) {
	case fleet.Accepted, fleet.Repeated:
		return t.clock.Now().Sub(begin), nil
	case fleet.Conflict:
		return 0, fail("offer", Refused, fmt.Errorf("version %d has other content", t.version))
	case fleet.Older:
		return 0, fail("offer", Refused, fmt.Errorf("version %d is in force", v.Version()))
	case fleet.Invalid:
		return 0, fail("offer", Refused, errors.New(v.Problem()))
	}
	return 0, fail("offer", Refused, fmt.Errorf("unknown verdict %T", v))
}

// Change offers count configurations, one every interval, and measures when each
// is in force at all stand-ins and what that costs over the idle rates.
func (t *Trial) Change(count int, interval time.Duration, idle Rates) error {
	leader, err := t.group.Leader()
	if err != nil {
		return err
	}
	before, err := t.usage(leader)
	if err != nil {
		return err
	}
	stored, err := leader.Stored()
	if err != nil {
		return err
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for range count {
		if err := t.change(leader.Vars); err != nil {
			return err
		}
		<-ticker.C
	}
	after, err := t.usage(leader)
	if err != nil {
		return err
	}
	grown, err := leader.Stored()
	if err != nil {
		return err
	}
	seconds, changes := after.at.Sub(before.at).Seconds(), float64(count)
	t.note("change: leader processor ms", 1000*(after.leader-before.leader-idle.leader*seconds)/changes)
	t.note("change: follower processor ms", 1000*(after.followers-before.followers-idle.follower*seconds)/changes)
	t.note("change: log bytes", (grown-stored)/changes)
	return nil
}

func (t *Trial) change(vars vars) error {
	begin := t.clock.Now()
	verdict, err := t.offer()
	if err != nil {
		return err
	}
	force, err := t.last(func(ctx context.Context, s *stand.Stand) (clock.Millis, error) { return s.Ruled(ctx, t.version) })
	if err != nil {
		return err
	}
	t.note("change: ms to the verdict", float64(verdict))
	t.note("change: ms until in force at all", float64(force.Sub(begin)))
	v, err := vars()
	if err != nil {
		return err
	}
	t.note("change: ms of the last sync", v.Sync())
	return nil
}
