package serve

import (
	"context"
	"sync"
	"sync/atomic"

	"verbenabank/core/clock"
	"verbenabank/core/command/agent"
	"verbenabank/core/command/hold"
	"verbenabank/core/state/call"
	"verbenabank/verbenad/adapt/extend"
	"verbenabank/verbenad/adapt/keeper"
	"verbenabank/verbenad/adapt/target"
	"verbenabank/verbenad/command/owner"
)

// watch finds out that a target is gone.
type watch interface {
	Watch(address string)
	Drop()
}

// sidecar is the target beside the daemon with what watches and tells it. Sending is safe
// for concurrent use, the rest is for the control goroutine.
type sidecar struct {
	clock    *clock.Clock
	target   *target.Target
	extender *extend.Extender
	watch    watch
	keeper   *keeper.Keeper
	owner    *owner.Owner
	heard    func()
	answered atomic.Int64
	using    agent.UseTarget

	mu     sync.Mutex
	life   context.Context
	cancel context.CancelFunc
}

func newSidecar(c *clock.Clock, e *extend.Extender) *sidecar {
	b := &sidecar{clock: c, extender: e, heard: func() {}}
	b.life, b.cancel = context.WithCancel(context.Background())
	return b
}

// Heard takes note of a beat.
func (b *sidecar) Heard() { b.heard() }

// Use sends traffic to a target. One that is used already may only have other room.
func (b *sidecar) Use(t agent.UseTarget) {
	b.owner.SetTarget(t.Name(), t.Slots())
	same := t.Address() == b.using.Address() && t.Name() == b.using.Name() && t.Name() != ""
	b.using = t
	if same {
		return
	}
	b.mu.Lock()
	b.life, b.cancel = context.WithCancel(context.Background())
	b.mu.Unlock()
	b.answered.Store(0)
	b.target.Point(t.Address())
	b.extender.Point(t.Address())
	b.keeper.Point(t.Address())
	b.watch.Watch(t.Address())
}

// Drain begins no more exchanges with the target.
func (b *sidecar) Drain() {
	b.using = agent.UseTarget{}
	b.watch.Drop()
	b.target.Point("")
	b.extender.Point("")
	b.keeper.Point("")
}

// Drop ends all exchanges with the target.
func (b *sidecar) Drop() {
	b.Drain()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cancel()
}

// SendCall gives the target an order about keys.
func (b *sidecar) SendCall(o hold.Call, done func(hold.Result)) { b.keeper.Command(o, done) }

// Send carries one exchange until it ends or the target is dropped.
func (b *sidecar) Send(ctx context.Context, w call.Attempt) call.Reply {
	b.mu.Lock()
	life := b.life
	b.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(life, cancel)
	context.AfterFunc(ctx, func() { stop() })
	reply := b.target.Send(ctx, w)
	if _, ok := reply.(call.Response); ok {
		b.answered.Store(int64(b.clock.Now()))
	} else {
		cancel()
	}
	return reply
}

// Answered returns when the target last answered a request.
func (b *sidecar) Answered() clock.Millis { return clock.Millis(b.answered.Load()) }
