package owner

import (
	"context"
	"time"

	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
)

// WatchLeases cancels requests at targets that do not check epochs as soon as the
// daemon's ownership of their shards lapses. It returns when ctx ends.
func (o *Owner) WatchLeases(ctx context.Context) {
	for ctx.Err() == nil {
		s := o.cell.Load()
		o.cancelLapsed()
		o.rest(ctx, s)
	}
}

// rest waits until the lease of s ends, if it did not yet, or a newer snapshot is
// there.
func (o *Owner) rest(ctx context.Context, s *snap.Snapshot) {
	left := s.LeaseEnd() - o.clock.Now()
	if left <= 0 {
		select {
		case <-s.Superseded():
		case <-ctx.Done():
		}
		return
	}
	timer := time.NewTimer(left.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.Superseded():
	case <-ctx.Done():
	}
}

// cancelLapsed cancels what runs without ownership.
func (o *Owner) cancelLapsed() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for g := range o.running {
		if !o.holds(g.request, g.pass.epoch) {
			g.lapsed.Store(true)
			g.cancel()
		}
	}
}

// enlist bounds the request by its deadline, and makes it one that a lapse of ownership
// cancels if only the daemon guards its target.
func (g *guard) enlist(ctx context.Context) context.Context {
	ctx, g.cancel = context.WithTimeout(ctx, (g.deadline - g.owner.clock.Now()).Duration())
	if _, ok := g.pass.service.Fencing().(rules.Unchecked); !ok || g.request.Key() == "" || g.held() {
		return ctx
	}
	g.owner.mu.Lock()
	defer g.owner.mu.Unlock()
	g.owner.running[g] = struct{}{}
	return ctx
}

func (g *guard) delist() {
	if g.cancel == nil {
		return
	}
	g.cancel()
	g.owner.mu.Lock()
	defer g.owner.mu.Unlock()
	delete(g.owner.running, g)
	delete(g.owner.lasting, g)
}

// explain names the reason of a failure that the caller did not cause by going away.
func (g *guard) explain(ctx context.Context, f call.Failure) call.Failure {
	u, ok := f.Outcome().(result.Unknown)
	switch {
	case ok && g.lapsed.Load():
		return call.Unknown(result.LeaseLapsed)
	case ok && u.Reason() == result.Cancelled && ctx.Err() == nil:
		return call.Unknown(result.Interrupted) // the target was dropped
	default:
		return f
	}
}
