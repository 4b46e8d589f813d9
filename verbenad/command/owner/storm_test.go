package owner_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
	"verbenabank/verbenad/command/owner"
)

const (
	stormSlots    = 4
	stormService  = 5 * time.Millisecond // so 800 requests a second
	stormDeadline = 100 * time.Millisecond
)

// worker is a target that runs stormSlots requests at once, keeps the others in an endless
// queue, and goes on with requests whose callers left.
type worker struct {
	slots chan struct{}
	group sync.WaitGroup
}

func (w *worker) Send(ctx context.Context, x call.Attempt) call.Reply {
	defer x.Done()
	if _, reason := x.Prepare(); reason != "" {
		return call.Refuse(reason)
	}
	done := make(chan struct{})
	w.group.Go(func() {
		w.slots <- struct{}{}
		time.Sleep(stormService)
		<-w.slots
		close(done)
	})
	select {
	case <-done:
		return whole(200)
	case <-ctx.Done():
		return call.Unknown(result.TimedOut)
	}
}

// storm runs callers that repeat every failure three times at once. It returns the share of
// answered requests in the last second, which is at 3/4 of the capacity, after a second
// at three times the capacity. It is for a bubble of synctest, whose time is not that of the
// machine: a busy machine would take capacity from the worker.
func storm(opts ...rules.Option) float64 {
	cell := snap.NewStore()
	bubble := clock.New(clock.WithSource(func() clock.Millis { return clock.Millis(time.Now().UnixMilli()) }))
	now := bubble.Now()
	cell.Publish(snap.New(table.Empty().With(1,
		table.NewRulesSet(rules.New(1, "", rules.NewService(service, opts...))),
		table.NewMemberSet(table.NewMember(7, "i", "z", "", service, table.Serving{}))), 7, now+60_000, now+60_000))
	w := &worker{slots: make(chan struct{}, stormSlots)}
	o := owner.New(owner.WithClock(bubble), owner.WithStore(cell), owner.WithTarget(w))
	var wg sync.WaitGroup
	var all, good atomic.Int64
	phase := func(rate int, span time.Duration, counted bool) {
		tick := time.NewTicker(10 * time.Millisecond)
		defer tick.Stop()
		for end := time.Now().Add(span); time.Now().Before(end); <-tick.C {
			for range rate / 100 {
				wg.Go(func() {
					answered := false
					for i := 0; i < 4 && !answered; i++ {
						ctx, cancel := context.WithTimeout(context.Background(), stormDeadline)
						answered = text(o.Serve(ctx, call.NewRequest(service, "POST", "/", call.WithMember(7)))) == "answered"
						cancel()
					}
					if counted {
						all.Add(1)
						if answered {
							good.Add(1)
						}
					}
				})
			}
		}
	}
	phase(2400, time.Second, false)
	phase(600, 500*time.Millisecond, false)
	phase(600, time.Second, true)
	wg.Wait()
	w.group.Wait()
	return float64(good.Load()) / float64(all.Load())
}

func TestServiceRecoversByItselfAfterAnOverload(t *testing.T) {
	is := is.New(t)
	var guarded, open float64
	synctest.Test(t, func(*testing.T) { guarded = storm(rules.WithSlots(stormSlots), rules.WithQueue(64, 50)) })
	synctest.Test(t, func(*testing.T) { open = storm(rules.WithSlots(100_000), rules.WithConnections(100_000)) })
	t.Logf("answered after the overload: %.1f%% with the limit, %.1f%% without", 100*guarded, 100*open)
	is.True(guarded > 0.97)
}
