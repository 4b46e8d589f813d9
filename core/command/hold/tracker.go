// Package hold decides which keys of an ordered service a daemon grants to its target, and
// when it renews and releases those grants.
//
// A target executes requests only for keys that it was granted, and only until the grant's
// TTL runs out. Only the local daemon can reach the target, so that daemon grants, renews and
// releases, never beyond the end of its own lease from the leader. A grant that gets no answer
// counts as accepted, and may take effect late.
//
// Grants reach the target in one of two ways: by calls, or in the answers to its heartbeats. Both
// keep the same record of each range; they differ in what is sent and in what is learned from it.
package hold

import (
	"math"
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/state/grant"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/table"
)

// Durations in milliseconds.
const (
	// DeliveryMargin is how long before the end of the daemon's lease a grant ends. It covers
	// the delivery of the grant to the target, since the target counts from its arrival.
	DeliveryMargin = 300 * clock.Millisecond
	// minTTL is the shortest grant that is worth a call.
	minTTL = 300 * clock.Millisecond
	// retryDelay is the pause after a failed call.
	retryDelay = 100 * clock.Millisecond

	never = clock.Millis(math.MaxInt64)
)

// clockDriftPercent is by how much a target's clock may run slow.
const clockDriftPercent = 2

// renewFraction is the divisor for the least gain of a renewal: the end of the grant must
// move by at least 1/renewFraction of its TTL.
const renewFraction = 4

// Tracker keeps the key ranges that the target holds and those that it should hold, with the bounds
// of each grant. It is for the control goroutine only.
type Tracker struct {
	delivery grant.Delivery
	maxTTL   clock.Millis // the longest grant that the target accepts
	leaseEnd clock.Millis // end of the daemon's own lease
	ranges   []*trackedRange
	pending  map[uint64]pendingCall
	lastID   uint64
	synced   bool         // the table was seen before, so all later grants were made by this process
	ended    bool         // the target has ended, so it holds nothing
	report   grant.Report // of the last heartbeat
	revision uint64       // increases whenever the held ranges change
}

// trackedRange is a range of consecutive keys with one epoch.
type trackedRange struct {
	first           table.Key
	last            table.Key
	epoch           table.Epoch
	handover        string
	state           rangeState
	heldUntil       clock.Millis // the target holds the keys at least until then, 0 if that is not certain
	mayHoldUntil    clock.Millis // the target may hold the keys until then
	unansweredUntil clock.Millis // a grant without an answer may be in effect until then
	retryAt         clock.Millis // no call before then

	// For delivery by heartbeats only.
	taken     bool         // the target reported the keys at this epoch
	appliesAt clock.Millis // the target has not applied the first offer before then, 0 once it has
	offered   bool         // an answer has listed the keys, or one of an earlier process may have
	refusals  int          // heartbeats in a row that showed an offer not taken
	omitted   bool         // an answer has left the keys out
	oldFreed  bool         // while the target held the keys it reported them as freed, from an earlier time
}

// rangeState is the state of a range: holding, releasing or released.
type rangeState interface{ rangeState() }

// holding ranges are granted to the target and renewed.
type holding struct{}

// releasing ranges are to be released by the target.
type releasing struct{}

// released ranges are no longer held by the target; each renewal reports them to the leader.
type released struct{ handover string }

func (holding) rangeState()   {}
func (releasing) rangeState() {}
func (released) rangeState()  {}

// pendingCall is a call to the target that is still in flight.
type pendingCall struct {
	call Call
	sent clock.Millis
}

// Option sets one property of a Tracker.
type Option func(*Tracker)

// WithDelivery sets how grants reach the target; the default is grant.ByCall.
func WithDelivery(d grant.Delivery) Option { return func(t *Tracker) { t.delivery = d } }

// New returns an empty tracker for a target that accepts grants of at most maxTTL. IDs of its
// calls start after lastID.
func New(maxTTL clock.Millis, lastID uint64, opts ...Option) *Tracker {
	t := &Tracker{delivery: grant.ByCall{}, maxTTL: maxTTL, pending: map[uint64]pendingCall{}, lastID: lastID}
	for _, o := range opts {
		o(t)
	}
	return t
}

// Revision returns a number that increases whenever the result of HeldRanges changes because of a
// heartbeat.
func (t *Tracker) Revision() uint64 { return t.revision }

// LastCallID returns the ID of the last call, so that IDs stay unique across trackers.
func (t *Tracker) LastCallID() uint64 { return t.lastID }

// SetLeaseEnd sets the end of the daemon's lease, which bounds all grants from now on.
func (t *Tracker) SetLeaseEnd(end clock.Millis) { t.leaseEnd = end }

// ReleaseAll starts to release all keys that the target holds.
func (t *Tracker) ReleaseAll() {
	for _, p := range t.ranges {
		p.state = laterState(p.state, releasing{})
	}
}

// TargetEnded reports whether the result of a call has shown that the target has ended.
func (t *Tracker) TargetEnded() bool { return t.ended }

// LastEnd returns when the last grant that the target may hold ends, as known at now.
func (t *Tracker) LastEnd(now clock.Millis) clock.Millis {
	end := clock.Millis(0)
	if t.ended {
		return end
	}
	for _, p := range t.ranges {
		if t.hasPending(p) {
			end = max(end, now+retryDelay)
		}
		if _, ok := p.state.(released); !ok {
			end = max(end, p.mayHoldUntil)
		}
	}
	return end
}

// HoldsNothing reports whether the target is certain to hold no keys at now.
func (t *Tracker) HoldsNothing(now clock.Millis) bool { return t.LastEnd(now) <= now }

// NextDue returns when to call DueCalls again, a far future instant if there is nothing to do.
func (t *Tracker) NextDue(now clock.Millis) clock.Millis {
	if t.ended {
		return never
	}
	switch t.delivery.(type) {
	case grant.ByCall:
		return t.nextCall(now)
	case grant.ByHeartbeat:
		return t.nextExpiry()
	}
	return never
}

// nextCall returns when the next call is due.
func (t *Tracker) nextCall(now clock.Millis) clock.Millis {
	due := never
	for _, p := range t.ranges {
		if t.hasPending(p) {
			continue
		}
		switch p.state.(type) {
		case holding:
			if ttl, gain := t.grantLimits(now); ttl >= minTTL {
				due = min(due, max(p.retryAt, now+max(0, p.heldUntil+gain-now-ttl), now+1))
			}
		case releasing:
			due = min(due, max(p.retryAt, min(p.mayHoldUntil, max(p.unansweredUntil, now+1))))
		case released:
		}
	}
	return due
}

// usable reports whether the target is certain to run requests for the keys. By heartbeats it does so until
// an answer leaves them out, also after they began to move.
func (p *trackedRange) usable() bool {
	switch p.state.(type) {
	case holding:
		return p.heldUntil > 0 && p.appliesAt == 0
	case releasing:
		return p.heldUntil > 0 && p.taken && !p.omitted
	case released:
	}
	return false
}

// HeldRanges returns the ranges that the target is certain to hold, ordered by key.
func (t *Tracker) HeldRanges() []HeldRange {
	var list []HeldRange
	for _, p := range t.ranges {
		if p.usable() {
			list = append(list, HeldRange{first: p.first, last: p.last, until: p.heldUntil})
		}
	}
	slices.SortFunc(list, func(a, b HeldRange) int { return int(a.first) - int(b.first) })
	return list
}

// splitRanges splits the ranges that match at the keys, so that each key is the first of a range.
func (t *Tracker) splitRanges(keys []table.Key, match func(*trackedRange) bool) {
	slices.Sort(keys)
	var next []*trackedRange
	for _, p := range t.ranges {
		if match(p) {
			for _, k := range keys {
				if p.first < k && k <= p.last {
					left := *p
					left.last, p.first = k-1, k
					next = append(next, &left)
				}
			}
		}
		next = append(next, p)
	}
	t.ranges = next
}

// Releases returns the commands that tell the leader which keys of the service the target no
// longer holds. They are returned until the table stops assigning the keys to this daemon.
func (t *Tracker) Releases(service string) []logcmd.ReleaseSpan {
	var list []logcmd.ReleaseSpan
	for _, p := range t.ranges {
		if d, ok := p.state.(released); ok {
			list = append(list, logcmd.NewReleaseSpan(service, p.first, p.last, p.epoch, d.handover))
		}
	}
	return list
}
