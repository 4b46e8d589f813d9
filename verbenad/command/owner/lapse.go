package owner

import (
	"context"
	"time"

	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
)

// WatchLeases cancels running requests as soon as the daemon's ownership of their shards lapses, at
// targets that don't check epochs themselves. It returns when ctx ends.
func (o *Owner) WatchLeases(ctx context.Context) {
	for ctx.Err() == nil {
		s := o.store.Load()
		o.cancelLapsed()
		o.awaitLeaseChange(ctx, s)
	}
}

// awaitLeaseChange waits until the lease of s ends or a newer snapshot is published. If the lease
// has ended already, it waits for the snapshot only.
func (o *Owner) awaitLeaseChange(ctx context.Context, s *snap.Snapshot) {
	remaining := s.LeaseEnd() - o.clock.Now()
	if remaining <= 0 {
		select {
		case <-s.Superseded():
		case <-ctx.Done():
		}
		return
	}
	timer := time.NewTimer(remaining.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.Superseded():
	case <-ctx.Done():
	}
}

// cancelLapsed cancels the tracked requests whose shards the daemon no longer owns.
func (o *Owner) cancelLapsed() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for x := range o.cancelOnLapse {
		if !o.stillOwns(x.request, x.admission.epoch) {
			x.lapsed.Store(true)
			x.cancel()
		}
	}
}

// trackOwnership returns a context that ends at the deadline of the request. If the target doesn't
// check ownership itself, the request is also cancelled when ownership lapses.
func (x *exchange) trackOwnership(ctx context.Context) context.Context {
	ctx, x.cancel = context.WithTimeout(ctx, (x.deadline - x.owner.clock.Now()).Duration())
	if _, ok := x.admission.service.Fencing().(rules.Unchecked); !ok || x.request.Key() == "" || x.targetTracksKeys() {
		return ctx
	}
	x.owner.mu.Lock()
	defer x.owner.mu.Unlock()
	x.owner.cancelOnLapse[x] = struct{}{}
	return ctx
}

// untrack ends the context of the request and its lease extensions.
func (x *exchange) untrack() {
	if x.cancel == nil {
		return
	}
	x.cancel()
	x.owner.mu.Lock()
	defer x.owner.mu.Unlock()
	delete(x.owner.cancelOnLapse, x)
	delete(x.owner.extendOnRenewal, x)
}

// withReason replaces the reason of an unknown outcome that the daemon itself caused: the lease
// lapsed, or the target was dropped while the caller still waited.
func (x *exchange) withReason(ctx context.Context, f call.Failure) call.Failure {
	u, ok := f.Outcome().(result.Unknown)
	switch {
	case ok && x.lapsed.Load():
		return call.Unknown(result.LeaseLapsed)
	case ok && u.Reason() == result.Cancelled && ctx.Err() == nil:
		return call.Unknown(result.Interrupted) // the daemon dropped the target
	default:
		return f
	}
}
