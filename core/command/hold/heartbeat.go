package hold

import (
	"cmp"
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/state/grant"
	"verbenabank/core/state/table"
)

const (
	// answerTimeout is how long after sending a heartbeat a target accepts the answer, by the
	// slowest clock that the drift allows.
	answerTimeout = clock.Second * (100 + clockDriftPercent) / 100
	// applyDelay is how long a target may take to apply an answer. No request for newly granted keys
	// is sent to it before.
	applyDelay = 20 * clock.Millisecond
	// offerMargin is how long before the end of the daemon's lease an offer ends.
	offerMargin = 50 * clock.Millisecond
	// renewLead is how long before a grant is no longer certain a heartbeat is answered without
	// waiting for news.
	renewLead = 1200 * clock.Millisecond
)

// maxRefusals is how many heartbeats in a row may show that the target has not taken an offer, before
// the daemon gives the keys back: the target has seen a later epoch, and the keys need a new one.
const maxRefusals = 3

// maxRows is the number of ranges in an answer. Targets accept answers of 4 KiB.
const maxRows = 56

// HandleReport updates the ranges with what the target reported in a heartbeat. It must be newer than those
// before, and the answers to those must have been sent.
func (t *Tracker) HandleReport(r grant.Report) {
	t.report = r
	t.splitReleasing(r)
	for _, p := range t.ranges {
		switch p.state.(type) {
		case holding:
			t.reportHolding(p)
		case releasing:
			t.reportReleasing(p)
		case released:
		}
	}
	t.revision++
}

// recognize marks the ranges that the target already holds when the first table arrives. An earlier
// process of the daemon granted them.
func (t *Tracker) recognize() {
	for _, p := range t.ranges {
		t.reportHeld(p)
	}
}

func (t *Tracker) reportHolding(p *trackedRange) {
	if t.reportHeld(p) {
		p.appliesAt, p.refusals, p.handover = 0, 0, ""
		return
	}
	if !p.offered || !t.synced {
		return
	}
	if token, ok := t.report.FreedToken(p.first, p.last); ok && p.taken && !p.oldFreed {
		p.handover = token
	}
	p.taken, p.appliesAt, p.heldUntil = false, 0, 0
	p.refusals++
	if p.refusals >= maxRefusals {
		p.state = releasing{}
		t.reportReleasing(p)
	}
}

// reportHeld reports whether the target holds the keys at their epoch, and records it if so. What it reports as
// freed at the same time is a repeat from before.
func (t *Tracker) reportHeld(p *trackedRange) bool {
	if !t.report.HoldsAll(p.first, p.last, p.epoch) {
		return false
	}
	_, freed := t.report.FreedToken(p.first, p.last)
	p.taken, p.oldFreed = true, freed
	return true
}

// reportReleasing recognizes that the target no longer holds the keys. Without a word that it has
// released them, an offer of them may still be applied, since the heartbeat may have been sent before:
// they count as held until that offer ends.
func (t *Tracker) reportReleasing(p *trackedRange) {
	if t.reportHeld(p) || t.report.HoldsAny(p.first, p.last) {
		return
	}
	p.heldUntil = 0
	token, freed := t.report.FreedToken(p.first, p.last)
	switch {
	case freed && p.taken && !p.oldFreed:
		p.state = released{handover: token}
	case !p.offered:
		p.state = released{handover: p.handover}
	}
}

// splitReleasing splits the ranges that are being released at the bounds of the report, so that keys
// whose requests end early do not wait for the others.
func (t *Tracker) splitReleasing(r grant.Report) {
	t.splitRanges(r.Bounds(), func(p *trackedRange) bool {
		_, ok := p.state.(releasing)
		return ok
	})
}

// expire lets the ends of grants and of apply delays take effect.
func (t *Tracker) expire(now clock.Millis) {
	for _, p := range t.ranges {
		if _, ok := p.state.(releasing); ok && p.mayHoldUntil <= now {
			p.state = released{handover: p.handover}
		}
		if p.appliesAt != 0 && p.appliesAt <= now {
			p.appliesAt = 0
			t.revision++
		}
	}
}

// nextExpiry returns when expire must be called next.
func (t *Tracker) nextExpiry() clock.Millis {
	due := never
	for _, p := range t.ranges {
		if _, ok := p.state.(releasing); ok {
			due = min(due, p.mayHoldUntil)
		}
		if p.appliesAt != 0 {
			due = min(due, p.appliesAt)
		}
	}
	return due
}

// offerTTL returns the TTL of an offer at now in the answer to a heartbeat that arrived at an instant,
// and whether it is worth sending. The target counts from the sending of the heartbeat, which was
// earlier.
func (t *Tracker) offerTTL(arrived, now clock.Millis) (clock.Millis, bool) {
	ttl := min(t.maxTTL, (t.leaseEnd-arrived-offerMargin)*100/(100+clockDriftPercent))
	return ttl, t.synced && arrived+ttl-now >= minTTL
}

// Offer returns the answer to a heartbeat that arrived at an instant, and counts its rows as granted.
// Without a table or a lease the answer says nothing, so that the target keeps what it holds.
func (t *Tracker) Offer(arrived, now clock.Millis) grant.Answer {
	ttl, ok := t.offerTTL(arrived, now)
	if !ok {
		return grant.Nothing{}
	}
	var rows []grant.Row
	for _, p := range t.offered() {
		rows = append(rows, grant.NewRow(p.first, p.last, p.epoch).WithHandover(p.handover))
		if !p.taken && p.heldUntil == 0 {
			p.appliesAt = now + applyDelay
		}
		p.offered = true
		p.heldUntil = max(p.heldUntil, now+ttl-answerTimeout)
		p.mayHoldUntil = max(p.mayHoldUntil, latestEnd(arrived, ttl))
	}
	t.omitReleasing()
	t.revision++
	return grant.NewOffer(rows, ttl)
}

// omitReleasing records that an answer has left out the ranges that are being released.
func (t *Tracker) omitReleasing() {
	for _, p := range t.ranges {
		if _, ok := p.state.(releasing); ok {
			p.omitted, p.heldUntil = true, 0
		}
	}
}

// offered returns the ranges of an offer, ordered by key. If there are too many for an answer, those
// that the target already holds come first.
func (t *Tracker) offered() []*trackedRange {
	var list []*trackedRange
	for _, p := range t.ranges {
		if _, ok := p.state.(holding); ok {
			list = append(list, p)
		}
	}
	if len(list) > maxRows {
		slices.SortStableFunc(list, func(a, b *trackedRange) int { return cmp.Compare(takenRank(a), takenRank(b)) })
		list = list[:maxRows]
	}
	slices.SortFunc(list, func(a, b *trackedRange) int { return cmp.Compare(a.first, b.first) })
	return list
}

func takenRank(p *trackedRange) int {
	if p.taken {
		return 0
	}
	return 1
}

// HasNews reports whether an answer at now to a heartbeat that arrived at an instant would change what
// the target holds, or renew a grant that ends soon.
func (t *Tracker) HasNews(arrived, now clock.Millis) bool {
	ttl, ok := t.offerTTL(arrived, now)
	if !ok {
		return false
	}
	offered := t.offered()
	for _, p := range offered {
		soon := p.heldUntil < now+renewLead && now+ttl-answerTimeout > p.heldUntil+minTTL
		if !p.taken || soon {
			return true
		}
	}
	return slices.ContainsFunc(t.report.Held(), func(r grant.Row) bool { return !covers(offered, r.First(), r.Last()) })
}

// covers reports whether the ranges, ordered by key, contain all keys from first to last.
func covers(ranges []*trackedRange, first, last table.Key) bool {
	return table.CoverKeys(func(yield func(first, last table.Key) bool) {
		for _, p := range ranges {
			if !yield(p.first, p.last) {
				return
			}
		}
	}, first, last)
}
