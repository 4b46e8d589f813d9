// Package hold decides what a daemon tells its target to hold of an ordered service.
//
// A target runs requests only for keys that it was granted, for a span of time that counts
// from the arrival of the grant. Only the daemon beside it can reach it, so that daemon
// grants, renews and releases, and never for longer than the leader has promised it. A
// grant without an answer counts as taken, and may take effect late.
package hold

import (
	"math"
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/table"
)

// Spans of a hold in milliseconds.
const (
	// Slack is how long before the end of the lease the target's hold ends, for the way
	// of a grant to the target.
	Slack = 300 * clock.Millisecond
	// least is the shortest hold that is worth a call.
	least = 300 * clock.Millisecond
	// callAgain is the pause after a call that failed.
	callAgain = 100 * clock.Millisecond

	never = clock.Millis(math.MaxInt64)
)

// driftPercent is by how much a target's clock may be slow.
const driftPercent = 2

// renewShare is the part of a hold that a renewal must add.
const renewShare = 4

// Tracker is what the target holds and is to hold. It is for the control goroutine only.
type Tracker struct {
	most   clock.Millis // the longest hold that a target takes
	lease  clock.Millis // end of what the leader promised
	pieces []*piece
	calls  map[uint64]call
	id     uint64
	knows  bool // it has seen all that was granted since
}

// piece is a run of keys with one epoch.
type piece struct {
	first    table.Key
	last     table.Key
	epoch    table.Epoch
	handover string
	aim      aim
	sure     clock.Millis // the target holds the keys at least until then, 0 if it need not
	doubt    clock.Millis // the target may hold the keys until then
	late     clock.Millis // a grant without an answer may take effect until then
	retry    clock.Millis // no call before then
}

// aim is what is to become of a piece: keep, part or parted.
type aim interface{ aim() }

// keep pieces are to be held by the target.
type keep struct{}

// part pieces are to be released.
type part struct{}

// parted pieces are held by the target no more; the leader is being told.
type parted struct{ handover string }

func (keep) aim()   {}
func (part) aim()   {}
func (parted) aim() {}

// call is an order to the target that is not answered yet.
type call struct {
	order Call
	sent  clock.Millis
}

// New returns an empty book of a target that takes holds of at most the span. Its orders
// are numbered after last.
func New(most clock.Millis, last uint64) *Tracker {
	return &Tracker{most: most, calls: map[uint64]call{}, id: last}
}

// LastCallID returns the number of the last order.
func (b *Tracker) LastCallID() uint64 { return b.id }

// Reconcile takes over what the table says of the target's daemon: its owned spans, and those
// that it is to hand over.
func (b *Tracker) Reconcile(spans []table.Span, self table.Incarnation, now clock.Millis) {
	var next []*piece
	for _, s := range spans {
		switch h := s.Ownership().(type) {
		case table.Vacant:
		case table.Owned:
			if h.Owner() == self {
				next = append(next, b.split(s, h.Epoch(), h.Handover(), keep{}, now)...)
			}
		case table.Moving:
			if h.From() == self {
				next = append(next, b.split(s, h.Epoch(), "", part{}, now)...)
			}
		}
	}
	b.pieces, b.knows = next, true
}

// split returns the pieces of a span: one, unless the book knows parts of it that are not
// equally far. The table joins neighbors that were asked for one after the other.
func (b *Tracker) split(s table.Span, e table.Epoch, handover string, a aim, now clock.Millis) []*piece {
	var cuts []table.Key // first keys of pieces after the first one
	ranks := map[int]bool{}
	for _, o := range b.pieces {
		if o.epoch != e || o.last < s.First() || o.first > s.Last() {
			continue
		}
		ranks[rank(further(a, o.aim))] = true
		if o.first > s.First() {
			cuts = append(cuts, o.first)
		}
		if o.last < s.Last() {
			cuts = append(cuts, o.last+1)
		}
	}
	if len(ranks) < 2 {
		return []*piece{b.piece(s, e, handover, a, now)}
	}
	slices.Sort(cuts)
	var list []*piece
	first := s.First()
	for _, c := range append(slices.Compact(cuts), s.Last()+1) {
		list = append(list, b.piece(table.NewSpan(first, c-1, s.Ownership()), e, handover, a, now))
		first = c
	}
	return list
}

// piece returns what is known of the keys of a span, with the aim unless an earlier one
// goes further. Keys that the table shows at first may be held since an earlier process, whose
// last grants may have had no answer.
func (b *Tracker) piece(s table.Span, e table.Epoch, handover string, a aim, now clock.Millis) *piece {
	p := &piece{first: s.First(), last: s.Last(), epoch: e, handover: handover, aim: a}
	covered := 0
	for _, o := range b.pieces {
		if o.last < p.first || o.first > p.last {
			continue
		}
		p.doubt, p.late = max(p.doubt, o.doubt), max(p.late, o.late)
		if o.epoch != e {
			if d, ok := o.aim.(parted); ok && p.handover == "" {
				p.handover = d.handover
			}
			continue
		}
		if covered == 0 || o.sure < p.sure {
			p.sure = o.sure
		}
		covered += int(min(o.last, p.last)-max(o.first, p.first)) + 1
		p.retry = max(p.retry, o.retry)
		p.aim = further(p.aim, o.aim)
	}
	if covered < s.Size() {
		p.sure = 0
		if !b.knows {
			p.doubt = end(now, b.most)
			p.late = p.doubt
		}
	}
	return p
}

// further returns the aim that is nearer to the end of a hold.
func further(a, b aim) aim {
	if rank(b) > rank(a) {
		return b
	}
	return a
}

func rank(a aim) int {
	switch a.(type) {
	case keep:
		return 0
	case part:
		return 1
	case parted:
		return 2
	}
	return 0
}

// SetLeaseEnd sets the end of what the leader promised.
func (b *Tracker) SetLeaseEnd(end clock.Millis) { b.lease = end }

// ReleaseAll releases all that the target holds.
func (b *Tracker) ReleaseAll() {
	for _, p := range b.pieces {
		p.aim = further(p.aim, part{})
	}
}

// HoldsNothing reports whether the target surely holds nothing at now.
func (b *Tracker) HoldsNothing(now clock.Millis) bool {
	for _, p := range b.pieces {
		if _, ok := p.aim.(parted); !ok && (p.doubt > now || b.calling(p)) {
			return false
		}
	}
	return true
}

// DueCalls returns the orders to the target that are due at now.
func (b *Tracker) DueCalls(now clock.Millis) []Call {
	var orders []Call
	for _, p := range b.pieces {
		if now < p.retry || b.calling(p) {
			continue
		}
		switch p.aim.(type) {
		case keep:
			if span, ok := b.renewal(p, now); ok {
				orders = append(orders, b.grant(p, now, span))
			}
		case part:
			if p.doubt <= now {
				p.aim = parted{handover: p.handover}
				continue
			}
			if p.sure > 0 || p.late <= now {
				orders = append(orders, b.release(p, now))
			}
		case parted:
		}
	}
	return orders
}

// renewal returns the span of the hold to ask for, if one is worth asking.
func (b *Tracker) renewal(p *piece, now clock.Millis) (clock.Millis, bool) {
	span, gain := b.reach(now)
	return span, span >= least && now+span-p.sure >= gain
}

// reach returns the longest hold at now, and by how much it must go beyond the one before.
func (b *Tracker) reach(now clock.Millis) (span, gain clock.Millis) {
	span = min(b.most, (b.lease-now-Slack)*100/(100+driftPercent))
	return span, max(least, span/renewShare)
}

func (b *Tracker) grant(p *piece, now, span clock.Millis) Call {
	b.id++
	g := Grant{id: b.id, first: p.first, last: p.last, epoch: p.epoch, span: span, handover: p.handover}
	p.doubt = max(p.doubt, end(now, span))
	b.calls[b.id] = call{order: g, sent: now}
	return g
}

func (b *Tracker) release(p *piece, now clock.Millis) Call {
	b.id++
	r := Release{id: b.id, first: p.first, last: p.last, epoch: p.epoch}
	b.calls[b.id] = call{order: r, sent: now}
	return r
}

// end returns when a hold of the span that arrived at an instant is surely over.
func end(arrived, span clock.Millis) clock.Millis {
	return arrived + span + span*driftPercent/100 + 1
}

func (b *Tracker) calling(p *piece) bool {
	for _, c := range b.calls {
		first, last := c.order.Keys()
		if first <= p.last && last >= p.first {
			return true
		}
	}
	return false
}

// HandleResult takes note of how an order ended.
func (b *Tracker) HandleResult(id uint64, r Result, now clock.Millis) {
	c, ok := b.calls[id]
	if !ok {
		return
	}
	delete(b.calls, id)
	switch o := c.order.(type) {
	case Grant:
		b.granted(o, c.sent, r, now)
	case Release:
		b.released(o, r, now)
	}
}

// of returns the pieces that an order was about, as they are now.
func (b *Tracker) of(o Call, e table.Epoch) []*piece {
	first, last := o.Keys()
	var list []*piece
	for _, p := range b.pieces {
		if p.epoch == e && first <= p.first && p.last <= last {
			list = append(list, p)
		}
	}
	return list
}

func (b *Tracker) granted(g Grant, sent clock.Millis, r Result, now clock.Millis) {
	for _, p := range b.of(g, g.epoch) {
		switch r.(type) {
		case Done:
			p.sure = max(p.sure, sent+g.span)
			p.doubt = max(p.doubt, end(now, g.span))
			p.handover = ""
		case Stale:
			p.aim = further(p.aim, part{})
		case Unanswered:
			p.doubt = max(p.doubt, end(now, g.span))
			p.late = max(p.late, end(now, g.span))
			p.retry = now + callAgain
		case Unreached:
			p.retry = now + callAgain
		}
	}
}

// released ends a hold. A grant without an answer may still take effect, so the keys are
// given away only after its end.
func (b *Tracker) released(o Release, r Result, now clock.Millis) {
	for _, p := range b.of(o, o.epoch) {
		p.sure = 0
		switch r := r.(type) {
		case Done:
			p.handover, p.doubt = r.handover, p.late
			if p.doubt <= now {
				p.aim = parted(r)
			}
		case Stale, Unanswered, Unreached:
			p.retry = now + callAgain
		}
	}
}

// NextDue returns when Due is to be asked again.
func (b *Tracker) NextDue(now clock.Millis) clock.Millis {
	wake := never
	for _, p := range b.pieces {
		if b.calling(p) {
			continue
		}
		switch p.aim.(type) {
		case keep:
			if span, gain := b.reach(now); span >= least {
				wake = min(wake, max(p.retry, now+max(0, p.sure+gain-now-span), now+1))
			}
		case part:
			wake = min(wake, max(p.retry, min(p.doubt, max(p.late, now+1))))
		case parted:
		}
	}
	return wake
}

// HeldRanges returns the runs of keys that the target surely holds, in order.
func (b *Tracker) HeldRanges() []Run {
	var list []Run
	for _, p := range b.pieces {
		if _, ok := p.aim.(keep); ok && p.sure > 0 {
			list = append(list, Run{first: p.first, last: p.last, until: p.sure})
		}
	}
	slices.SortFunc(list, func(a, b Run) int { return int(a.first) - int(b.first) })
	return list
}

// Releases returns the keys of the service that the target holds no more, for the leader.
func (b *Tracker) Releases(service string) []logcmd.ReleaseSpan {
	var list []logcmd.ReleaseSpan
	for _, p := range b.pieces {
		if d, ok := p.aim.(parted); ok {
			list = append(list, logcmd.NewReleaseSpan(service, p.first, p.last, p.epoch, d.handover))
		}
	}
	return list
}
