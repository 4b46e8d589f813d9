package owner

import (
	"context"
	"strconv"
	"time"

	"verbenabank/core/clock"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
)

// HeaderRequestID is the header field that carries the identifier of an attempt.
const HeaderRequestID = "Verbena-Request-Id"

// minExtendAge is the age from which the target is told of lease renewals for a request. With a
// renewal every 200 ms, a lease of 650 ms has at least 100 ms left at the first extension.
const minExtendAge = 100 * clock.Millisecond

// Extender tells the target the new lease end of running requests, given by the identifiers of
// their attempts. Extend reports whether the target confirmed it.
type Extender interface {
	Extend(ctx context.Context, leaseEnd clock.Millis, requests []string) bool
}

// attemptID returns an identifier of one attempt of the request: an extension must not reach an
// earlier attempt that was abandoned. The numbers start at a random value, so that other processes
// don't use the same ones and callers can't guess them.
func (o *Owner) attemptID(id string) string {
	return id + "." + strconv.FormatUint(o.attempts.Add(1), 36)
}

// ExtendLeases tells the target of each lease renewal for the requests that it still runs. At most one
// call is in progress, and the next one sends the newest lease end. It returns when ctx ends.
func (o *Owner) ExtendLeases(ctx context.Context) {
	for ctx.Err() == nil {
		s := o.store.Load()
		if requests := o.dueExtensions(s); len(requests) > 0 {
			if o.extender.Extend(ctx, s.LeaseEnd(), requests) {
				o.meter.Add("extended", int64(len(requests)))
			} else {
				o.meter.Add("extensions_failed", 1)
			}
		}
		select {
		case <-s.Superseded():
		case <-ctx.Done():
		}
	}
}

// dueExtensions returns the attempts whose lease is to be extended to that of s, and records the
// new end as announced: even a call that fails may have reached the target.
func (o *Owner) dueExtensions(s *snap.Snapshot) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	var ids []string
	for x := range o.extendOnRenewal {
		notDue := now-x.sentAt < minExtendAge || x.announcedLeaseEnd >= s.LeaseEnd()
		if notDue || now >= x.deadline || !o.stillOwns(x.request, x.admission.epoch) {
			continue
		}
		x.announcedLeaseEnd = s.LeaseEnd()
		ids = append(ids, x.id)
	}
	return ids
}

// targetChecksLease reports whether the target compares the lease of the request with its own clock.
func (x *exchange) targetChecksLease() bool {
	_, ok := x.admission.service.Fencing().(rules.Checked)
	return ok && x.request.Key() != ""
}

// recordDispatch records when the request is sent, and under which ownership and lease. From then
// on its lease is extended if the target checks it.
func (x *exchange) recordDispatch(a admission) {
	x.owner.mu.Lock()
	defer x.owner.mu.Unlock()
	x.admission, x.announcedLeaseEnd, x.sentAt = a, a.leaseEnd, x.owner.clock.Now()
	x.owner.work.Start(x.work, x.sentAt)
	if x.targetChecksLease() {
		x.owner.extendOnRenewal[x] = struct{}{}
	}
}

// assignID gives this attempt its identifier, which starts with the Verbena-Request-Id of the
// request.
func (x *exchange) assignID() {
	id := ""
	for _, f := range x.request.Fields() {
		if f.Name() == HeaderRequestID {
			id = f.Value()
		}
	}
	x.id = x.owner.attemptID(id)
}

// releaseAfterLease gives back the slot of an abandoned request that the target may still run. If
// the target checks leases, the request counts as in flight until the last announced lease has
// lapsed.
func (x *exchange) releaseAfterLease() {
	x.releaseSlot()
	x.owner.mu.Lock()
	remaining := x.announcedLeaseEnd - x.owner.clock.Now()
	x.owner.mu.Unlock()
	if remaining <= 0 || !x.targetChecksLease() {
		x.leave()
		return
	}
	time.AfterFunc(remaining.Duration(), x.leave)
}
