package hold

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/grant"
	"verbenabank/core/state/table"
)

// DueCalls returns the calls to send to the target at now, and counts them as in flight. At most one
// call per range is in flight. With delivery by heartbeats there are none, and ranges whose grants
// have ended count as released.
func (t *Tracker) DueCalls(now clock.Millis) []Call {
	if t.ended {
		return nil
	}
	switch t.delivery.(type) {
	case grant.ByCall:
		return t.callsDue(now)
	case grant.ByHeartbeat:
		t.expire(now)
	}
	return nil
}

func (t *Tracker) callsDue(now clock.Millis) []Call {
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
	if _, ok := r.(Ended); ok {
		t.targetEnded()
		return
	}
	t.splitAtCall(c.call)
	switch o := c.call.(type) {
	case Grant:
		t.onGrantResult(o, c.sent, r, now)
	case Release:
		t.onReleaseResult(o, r, now)
	}
}

// targetEnded reports all keys as released, since the only process that was granted them has ended.
func (t *Tracker) targetEnded() {
	t.ended = true
	for _, p := range t.ranges {
		p.heldUntil, p.mayHoldUntil, p.unansweredUntil = 0, 0, 0
		p.state = laterState(p.state, released{handover: p.handover})
	}
}

// splitAtCall splits the ranges at the bounds of a call. The table may have merged or split them while
// the call was in flight, and its result is known for its own keys only.
func (t *Tracker) splitAtCall(c Call) {
	first, last := c.Keys()
	t.splitRanges([]table.Key{first, last + 1}, func(*trackedRange) bool { return true })
}

// rangesOf returns the tracked ranges within the keys of a call, at any epoch. None lies partly within
// them after splitAtCall.
func (t *Tracker) rangesOf(c Call) []*trackedRange {
	first, last := c.Keys()
	var list []*trackedRange
	for _, p := range t.ranges {
		if first <= p.first && p.last <= last {
			list = append(list, p)
		}
	}
	return list
}

// onGrantResult updates the ranges of a grant. That the target may hold the keys follows from a grant at any
// epoch, that it does hold them only from one at their epoch.
func (t *Tracker) onGrantResult(g Grant, sent clock.Millis, r Result, now clock.Millis) {
	for _, p := range t.rangesOf(g) {
		same := p.epoch == g.epoch
		switch r.(type) {
		case Done:
			p.mayHoldUntil = max(p.mayHoldUntil, latestEnd(now, g.ttl))
			if same {
				p.heldUntil = max(p.heldUntil, sent+g.ttl)
				p.handover = ""
			}
		case Stale:
			if same {
				p.state = laterState(p.state, releasing{})
			}
		case Unanswered:
			p.mayHoldUntil = max(p.mayHoldUntil, latestEnd(now, g.ttl))
			p.unansweredUntil = max(p.unansweredUntil, latestEnd(now, g.ttl))
			p.retryAt = now + retryDelay
		case Unreached:
			p.retryAt = now + retryDelay
		case Ended:
		}
	}
}

// onReleaseResult updates the ranges of a release. A grant without an answer may still take
// effect, so the keys are reported as released only after that grant would have ended.
func (t *Tracker) onReleaseResult(rel Release, r Result, now clock.Millis) {
	for _, p := range t.rangesOf(rel) {
		if p.epoch != rel.epoch {
			continue
		}
		p.heldUntil = 0
		switch r := r.(type) {
		case Done:
			p.handover, p.mayHoldUntil = r.handover, p.unansweredUntil
			if p.mayHoldUntil <= now {
				p.state = released(r)
			}
		case Stale, Unanswered, Unreached:
			p.retryAt = now + retryDelay
		case Ended:
		}
	}
}
