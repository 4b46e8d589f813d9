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
	stormSlots       = 4
	stormServiceTime = 5 * time.Millisecond // a capacity of 800 requests per second
	stormDeadline    = 100 * time.Millisecond
)

// queueingTarget is a target that runs stormSlots requests at once, holds the others in an
// unbounded queue, and doesn't drop requests whose callers have gone.
type queueingTarget struct {
	slots chan struct{}
	group sync.WaitGroup
}

func (q *queueingTarget) Send(ctx context.Context, a call.Attempt) call.Reply {
	defer a.Done()
	if _, reason := a.Prepare(); reason != "" {
		return call.Refuse(reason)
	}
	done := make(chan struct{})
	q.group.Go(func() {
		q.slots <- struct{}{}
		time.Sleep(stormServiceTime)
		<-q.slots
		close(done)
	})
	select {
	case <-done:
		return response(200)
	case <-ctx.Done():
		return call.Unknown(result.TimedOut)
	}
}

// retryStorm runs callers that retry each failure up to three times without backoff: a second at
// three times the capacity, half a second to recover, and a second at 3/4 of the capacity. It
// returns the share of answered requests in that last second. It must run in a bubble of
// synctest, since in real time a busy machine would lower the capacity of the target.
func retryStorm(opts ...rules.Option) float64 {
	store := snap.NewStore()
	bubbleClock := clock.New(clock.WithSource(func() clock.Millis { return clock.Millis(time.Now().UnixMilli()) }))
	now := bubbleClock.Now()
	store.Publish(snap.New(table.Empty().With(1,
		table.NewRulesSet(rules.New(1, "", rules.NewService(service, opts...))),
		table.NewMemberSet(table.NewMember(7, "i", "z", "", service, table.Serving{}))), 7, now+60_000, now+60_000))
	q := &queueingTarget{slots: make(chan struct{}, stormSlots)}
	o := owner.New(owner.WithClock(bubbleClock), owner.WithStore(store), owner.WithTarget(q))
	var wg sync.WaitGroup
	var total, succeeded atomic.Int64
	runPhase := func(rate int, duration time.Duration, counted bool) {
		ticker := time.NewTicker(10 * time.Millisecond)
		defer ticker.Stop()
		for end := time.Now().Add(duration); time.Now().Before(end); <-ticker.C {
			for range rate / 100 {
				wg.Go(func() {
					answered := false
					for n := 0; n < 4 && !answered; n++ {
						ctx, cancel := context.WithTimeout(context.Background(), stormDeadline)
						answered = outcome(o.Serve(ctx, call.NewRequest(service, "POST", "/", call.WithMember(7)))) == "answered"
						cancel()
					}
					if counted {
						total.Add(1)
						if answered {
							succeeded.Add(1)
						}
					}
				})
			}
		}
	}
	runPhase(2400, time.Second, false)
	runPhase(600, 500*time.Millisecond, false)
	runPhase(600, time.Second, true)
	wg.Wait()
	q.group.Wait()
	return float64(succeeded.Load()) / float64(total.Load())
}

// TestGoodputRecoversAfterAnOverload guards against a retry storm that keeps the target overloaded
// after the load has dropped below its capacity.
func TestGoodputRecoversAfterAnOverload(t *testing.T) {
	is := is.New(t)
	var limited, unlimited float64
	synctest.Test(t, func(*testing.T) { limited = retryStorm(rules.WithSlots(stormSlots), rules.WithQueue(64, 50)) })
	synctest.Test(t, func(*testing.T) { unlimited = retryStorm(rules.WithSlots(100_000), rules.WithConnections(100_000)) })
	t.Logf("answered after the overload: %.1f%% with the limit, %.1f%% without", 100*limited, 100*unlimited)
	is.True(limited > 0.97)
}
