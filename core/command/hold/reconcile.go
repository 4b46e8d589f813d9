package hold

import (
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/state/table"
)

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
	first := !t.synced
	t.ranges, t.synced = next, true
	t.revision++
	if first {
		t.recognize()
	}
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
		p.offered = p.offered || o.offered
		if o.epoch != e {
			if d, ok := o.state.(released); ok && p.handover == "" {
				p.handover = d.handover
			}
			continue
		}
		if covered == 0 || o.heldUntil < p.heldUntil {
			p.heldUntil = o.heldUntil
		}
		p.taken = o.taken && (covered == 0 || p.taken)
		p.omitted, p.oldFreed = p.omitted || o.omitted, p.oldFreed || o.oldFreed
		p.appliesAt, p.refusals = max(p.appliesAt, o.appliesAt), max(p.refusals, o.refusals)
		covered += int(min(o.last, p.last)-max(o.first, p.first)) + 1
		p.retryAt = max(p.retryAt, o.retryAt)
		p.state = laterState(p.state, o.state)
	}
	if covered < s.Size() {
		p.heldUntil, p.taken = 0, false
		if !t.synced {
			p.mayHoldUntil = latestEnd(now, t.maxTTL)
			p.unansweredUntil, p.offered = p.mayHoldUntil, true
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
