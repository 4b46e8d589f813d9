// Package hold decides which keys of an ordered service a daemon grants to its target, and
// when it renews and releases those grants.
//
// A target executes requests only for keys that it was granted, and only until the grant's
// TTL runs out, which it counts from the arrival of the grant. Only the local daemon can
// reach the target, so that daemon grants, renews and releases, never beyond the end of its
// own lease from the leader. A grant that gets no answer counts as accepted, and may take
// effect late.
package hold

import (
	"math"
	"slices"

	"verbenabank/core/clock"
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
	maxTTL   clock.Millis // the longest grant that the target accepts
	leaseEnd clock.Millis // end of the daemon's own lease
	ranges   []*trackedRange
	pending  map[uint64]pendingCall
	lastID   uint64
	synced   bool // the table was seen before, so all later grants were made by this process
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

// New returns an empty tracker for a target that accepts grants of at most maxTTL. IDs of its
// calls start after lastID.
func New(maxTTL clock.Millis, lastID uint64) *Tracker {
	return &Tracker{maxTTL: maxTTL, pending: map[uint64]pendingCall{}, lastID: lastID}
}

// LastCallID returns the ID of the last call, so that IDs stay unique across trackers.
func (t *Tracker) LastCallID() uint64 { return t.lastID }

// Reconcile brings the tracked ranges into line with the spans of the routing table: those that
// self owns are to be held, those that move away from it are to be released.
func (t *Tracker) Reconcile(spans []table.Span, self table.Incarnation, now clock.Millis) {
	var next []*trackedRange
	for _, s := range spans {
		switch h := s.Ownership().(type) {
		case table.Vacant:
		case table.Owned:
			if h.Owner() == self {
				next = append(next, t.splitSpan(s, h.Epoch(), h.Handover(), holding{}, now)...)
			}
		case table.Moving:
			if h.From() == self {
				next = append(next, t.splitSpan(s, h.Epoch(), "", releasing{}, now)...)
			}
		}
	}
	t.ranges, t.synced = next, true
}

// splitSpan returns the ranges of a span: one, unless parts of it are in different states.
// The table merges adjacent spans that were moved one after the other.
func (t *Tracker) splitSpan(s table.Span, e table.Epoch, handover string, state rangeState, now clock.Millis) []*trackedRange {
	var cuts []table.Key // first keys of the ranges after the first one
	ranks := map[int]bool{}
	for _, o := range t.ranges {
		if o.epoch != e || o.last < s.First() || o.first > s.Last() {
			continue
		}
		ranks[stateRank(laterState(state, o.state))] = true
		if o.first > s.First() {
			cuts = append(cuts, o.first)
		}
		if o.last < s.Last() {
			cuts = append(cuts, o.last+1)
		}
	}
	if len(ranks) < 2 {
		return []*trackedRange{t.trackSpan(s, e, handover, state, now)}
	}
	slices.Sort(cuts)
	var list []*trackedRange
	first := s.First()
	for _, c := range append(slices.Compact(cuts), s.Last()+1) {
		list = append(list, t.trackSpan(table.NewSpan(first, c-1, s.Ownership()), e, handover, state, now))
		first = c
	}
	return list
}

// trackSpan returns the range of a span with all that is known of its keys. Its state is the
// given one, or that of an earlier range if that is nearer to released. Keys in the first table
// that a process sees may still be held from an earlier process, whose last grants may have had
// no answer.
func (t *Tracker) trackSpan(s table.Span, e table.Epoch, handover string, state rangeState, now clock.Millis) *trackedRange {
	p := &trackedRange{first: s.First(), last: s.Last(), epoch: e, handover: handover, state: state}
	covered := 0
	for _, o := range t.ranges {
		if o.last < p.first || o.first > p.last {
			continue
		}
		p.mayHoldUntil, p.unansweredUntil = max(p.mayHoldUntil, o.mayHoldUntil), max(p.unansweredUntil, o.unansweredUntil)
		if o.epoch != e {
			if d, ok := o.state.(released); ok && p.handover == "" {
				p.handover = d.handover
			}
			continue
		}
		if covered == 0 || o.heldUntil < p.heldUntil {
			p.heldUntil = o.heldUntil
		}
		covered += int(min(o.last, p.last)-max(o.first, p.first)) + 1
		p.retryAt = max(p.retryAt, o.retryAt)
		p.state = laterState(p.state, o.state)
	}
	if covered < s.Size() {
		p.heldUntil = 0
		if !t.synced {
			p.mayHoldUntil = latestEnd(now, t.maxTTL)
			p.unansweredUntil = p.mayHoldUntil
		}
	}
	return p
}

// laterState returns the state that is nearer to released.
func laterState(a, b rangeState) rangeState {
	if stateRank(b) > stateRank(a) {
		return b
	}
	return a
}

func stateRank(s rangeState) int {
	switch s.(type) {
	case holding:
		return 0
	case releasing:
		return 1
	case released:
		return 2
	}
	return 0
}

// SetLeaseEnd sets the end of the daemon's lease, which bounds all grants from now on.
func (t *Tracker) SetLeaseEnd(end clock.Millis) { t.leaseEnd = end }

// ReleaseAll starts to release all keys that the target holds.
func (t *Tracker) ReleaseAll() {
	for _, p := range t.ranges {
		p.state = laterState(p.state, releasing{})
	}
}

// HoldsNothing reports whether the target is certain to hold no keys at now.
func (t *Tracker) HoldsNothing(now clock.Millis) bool {
	for _, p := range t.ranges {
		if _, ok := p.state.(released); !ok && (p.mayHoldUntil > now || t.hasPending(p)) {
			return false
		}
	}
	return true
}

// DueCalls returns the calls to send to the target at now, and counts them as in flight. At most one
// call per range is in flight.
func (t *Tracker) DueCalls(now clock.Millis) []Call {
	var calls []Call
	for _, p := range t.ranges {
		if now < p.retryAt || t.hasPending(p) {
			continue
		}
		switch p.state.(type) {
		case holding:
			if ttl, ok := t.renewalTTL(p, now); ok {
				calls = append(calls, t.grant(p, now, ttl))
			}
		case releasing:
			if p.mayHoldUntil <= now {
				p.state = released{handover: p.handover}
				continue
			}
			if p.heldUntil > 0 || p.unansweredUntil <= now {
				calls = append(calls, t.release(p, now))
			}
		case released:
		}
	}
	return calls
}

// renewalTTL returns the TTL to grant, and whether the grant is worth a call.
func (t *Tracker) renewalTTL(p *trackedRange, now clock.Millis) (clock.Millis, bool) {
	ttl, gain := t.grantLimits(now)
	return ttl, ttl >= minTTL && now+ttl-p.heldUntil >= gain
}

// grantLimits returns the longest TTL at now, and by how much a grant must extend the one
// before.
func (t *Tracker) grantLimits(now clock.Millis) (ttl, gain clock.Millis) {
	ttl = min(t.maxTTL, (t.leaseEnd-now-DeliveryMargin)*100/(100+clockDriftPercent))
	return ttl, max(minTTL, ttl/renewFraction)
}

func (t *Tracker) grant(p *trackedRange, now, ttl clock.Millis) Call {
	t.lastID++
	g := Grant{id: t.lastID, first: p.first, last: p.last, epoch: p.epoch, ttl: ttl, handover: p.handover}
	p.mayHoldUntil = max(p.mayHoldUntil, latestEnd(now, ttl))
	t.pending[t.lastID] = pendingCall{call: g, sent: now}
	return g
}

func (t *Tracker) release(p *trackedRange, now clock.Millis) Call {
	t.lastID++
	r := Release{id: t.lastID, first: p.first, last: p.last, epoch: p.epoch}
	t.pending[t.lastID] = pendingCall{call: r, sent: now}
	return r
}

// latestEnd returns when a grant that arrived at an instant has ended even on the slowest
// clock that the drift allows.
func latestEnd(arrived, ttl clock.Millis) clock.Millis {
	return arrived + ttl + ttl*clockDriftPercent/100 + 1
}

func (t *Tracker) hasPending(p *trackedRange) bool {
	for _, c := range t.pending {
		first, last := c.call.Keys()
		if first <= p.last && last >= p.first {
			return true
		}
	}
	return false
}

// HandleResult updates the ranges of a call with its result. An unknown ID is ignored.
func (t *Tracker) HandleResult(id uint64, r Result, now clock.Millis) {
	c, ok := t.pending[id]
	if !ok {
		return
	}
	delete(t.pending, id)
	switch o := c.call.(type) {
	case Grant:
		t.onGrantResult(o, c.sent, r, now)
	case Release:
		t.onReleaseResult(o, r, now)
	}
}

// rangesOf returns the tracked ranges within the keys of a call that still have its epoch.
func (t *Tracker) rangesOf(c Call, e table.Epoch) []*trackedRange {
	first, last := c.Keys()
	var list []*trackedRange
	for _, p := range t.ranges {
		if p.epoch == e && first <= p.first && p.last <= last {
			list = append(list, p)
		}
	}
	return list
}

func (t *Tracker) onGrantResult(g Grant, sent clock.Millis, r Result, now clock.Millis) {
	for _, p := range t.rangesOf(g, g.epoch) {
		switch r.(type) {
		case Done:
			p.heldUntil = max(p.heldUntil, sent+g.ttl)
			p.mayHoldUntil = max(p.mayHoldUntil, latestEnd(now, g.ttl))
			p.handover = ""
		case Stale:
			p.state = laterState(p.state, releasing{})
		case Unanswered:
			p.mayHoldUntil = max(p.mayHoldUntil, latestEnd(now, g.ttl))
			p.unansweredUntil = max(p.unansweredUntil, latestEnd(now, g.ttl))
			p.retryAt = now + retryDelay
		case Unreached:
			p.retryAt = now + retryDelay
		}
	}
}

// onReleaseResult updates the ranges of a release. A grant without an answer may still take
// effect, so the keys are reported as released only after that grant would have ended.
func (t *Tracker) onReleaseResult(rel Release, r Result, now clock.Millis) {
	for _, p := range t.rangesOf(rel, rel.epoch) {
		p.heldUntil = 0
		switch r := r.(type) {
		case Done:
			p.handover, p.mayHoldUntil = r.handover, p.unansweredUntil
			if p.mayHoldUntil <= now {
				p.state = released(r)
			}
		case Stale, Unanswered, Unreached:
			p.retryAt = now + retryDelay
		}
	}
}

// NextDue returns when to call DueCalls again, a far future instant if there is nothing to do.
func (t *Tracker) NextDue(now clock.Millis) clock.Millis {
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

// HeldRanges returns the ranges that the target is certain to hold, ordered by key.
func (t *Tracker) HeldRanges() []HeldRange {
	var list []HeldRange
	for _, p := range t.ranges {
		if _, ok := p.state.(holding); ok && p.heldUntil > 0 {
			list = append(list, HeldRange{first: p.first, last: p.last, until: p.heldUntil})
		}
	}
	slices.SortFunc(list, func(a, b HeldRange) int { return int(a.first) - int(b.first) })
	return list
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
