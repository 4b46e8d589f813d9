package serve

import (
	"context"
	"sync"
	"sync/atomic"

	"verbenabank/core/clock"
	"verbenabank/core/state/call"
	"verbenabank/verbenad/adapt/extend"
	"verbenabank/verbenad/adapt/probe"
	"verbenabank/verbenad/adapt/target"
)

// sidecar is the target beside the daemon: traffic sends requests to it and the
// control goroutine says which one it is. Safe for concurrent use, but for Use and
// Drop, which are for the control goroutine.
type sidecar struct {
	clock    *clock.Clock
	target   *target.Target
	extender *extend.Extender
	probe    *probe.Probe
	answered atomic.Int64

	mu     sync.Mutex
	life   context.Context
	cancel context.CancelFunc
}

// newSidecar returns a sidecar without a target.
func newSidecar(c *clock.Clock, t *target.Target, e *extend.Extender) *sidecar {
	b := &sidecar{clock: c, target: t, extender: e}
	b.life, b.cancel = context.WithCancel(context.Background())
	return b
}

// Use sends requests to the target at address.
func (b *sidecar) Use(_, address string) {
	b.mu.Lock()
	b.life, b.cancel = context.WithCancel(context.Background())
	b.mu.Unlock()
	b.answered.Store(0)
	b.target.Point(address)
	b.extender.Point(address)
	b.probe.Watch(address)
}

// Drop sends no more requests and ends those in flight.
func (b *sidecar) Drop() {
	b.probe.Drop()
	b.target.Point("")
	b.extender.Point("")
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cancel()
}

// Send exchanges one request with the target, unless the target is dropped first.
func (b *sidecar) Send(ctx context.Context, w call.Work) call.Reply {
	b.mu.Lock()
	life := b.life
	b.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(life, cancel)
	context.AfterFunc(ctx, func() { stop() })
	reply := b.target.Send(ctx, w)
	if _, ok := reply.(call.Answer); ok {
		b.answered.Store(int64(b.clock.Now()))
	} else {
		cancel()
	}
	return reply
}

// Answered returns when the target last answered a request, 0 if never.
func (b *sidecar) Answered() clock.Millis { return clock.Millis(b.answered.Load()) }
