package trial

import (
	"context"
	"sync"

	"github.com/sourcegraph/conc"

	"verbenabank/core/clock"
	"verbenabank/core/command/agent"
	"verbenabank/vscale/command/fake"
)

// registry finds stand-in daemons by their addresses, so that they can ask each other. It is safe for concurrent use.
type registry struct {
	mu      sync.Mutex
	daemons map[string]*fake.Daemon
}

func newRegistry() *registry { return &registry{daemons: map[string]*fake.Daemon{}} }

func (r *registry) add(address string, d *fake.Daemon) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.daemons[address] = d
}

// AskRules answers at once, without a network.
func (r *registry) AskRules(q agent.AskRules, answered func(agent.RulesAnswered)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range q.Addresses() {
		if d, ok := r.daemons[a]; ok {
			go func() { answered(d.AnswerRules(q)) }()
		}
	}
}

// MeasureDelivery proposes count configurations, one after the other, in a calm fleet, and then one at the next leader
// after the leader was killed. It records for each daemon how long after the acknowledgement it uses them.
func (t *Trial) MeasureDelivery(count int) error {
	for range count {
		if err := t.measureDelivery("delivery"); err != nil {
			return err
		}
	}
	leader, err := t.group.Leader()
	if err != nil {
		return err
	}
	t.group.Kill(leader)
	if err := t.measureDelivery("delivery without a leader"); err != nil {
		return err
	}
	if err := t.group.Restart(leader); err != nil {
		return err
	}
	return t.awaitQuiescence()
}

// measureDelivery proposes the next configuration, and records the parts of its delivery to each daemon.
func (t *Trial) measureDelivery(name string) error {
	verdict, err := t.proposeRules()
	if err != nil {
		return err
	}
	acknowledged := t.clock.Now()
	used, err := t.awaitEach(func(ctx context.Context, d *fake.Daemon) (clock.Millis, error) { return d.AwaitRules(ctx, t.version) })
	if err != nil {
		return err
	}
	t.record(name+": ms from the proposal to the acknowledgement", float64(verdict))
	for _, at := range used {
		t.record(name+": ms from the acknowledgement to the use, by daemon", float64(max(0, at.Sub(acknowledged))))
	}
	return nil
}

// awaitEach calls wait for each stand-in daemon, all at the same time and under one timeout, and returns their times.
func (t *Trial) awaitEach(wait func(context.Context, *fake.Daemon) (clock.Millis, error)) ([]clock.Millis, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	times, errs := make([]clock.Millis, len(t.daemons)), make([]error, len(t.daemons))
	var group conc.WaitGroup
	for i, d := range t.daemons {
		group.Go(func() { times[i], errs[i] = wait(ctx, d) })
	}
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return times, nil
}
