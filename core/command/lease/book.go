// Package lease counts leases on both sides: the leader's book of when each
// member's lease surely ran out, and the daemon's own lease.
//
// The leader counts from the arrival of a renewal, the daemon from its sending,
// so the daemon's count ends first whatever the message took. Both count on
// their own clock; Margin covers the difference in rate over one lease. The
// scheme is that of Gray and Cheriton, "Leases", 1989.
package lease

import (
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/state/table"
)

// Spans of a lease in milliseconds.
const (
	// TTL is how long ownership lasts from the sending of a renewal.
	TTL = 700 * clock.Millisecond
	// RulesTTL is how long the rules may be used from the sending of a renewal.
	RulesTTL = 3 * clock.Second
	// Margin is by how much a daemon stops early and the leader waits longer, so
	// the rates of their clocks may differ by 15 in 100.
	Margin = 50 * clock.Millisecond
	// RenewInterval is the time between two renewals of a daemon.
	RenewInterval = 200 * clock.Millisecond
)

// Tracker is the leader's count of leases. It is for the control goroutine only.
type Tracker struct {
	terms  Params
	ends   map[table.Incarnation]clock.Millis
	barred map[table.Incarnation]clock.Millis // when its end was asked for last
	next   clock.Millis                       // no lease runs out before it
}

// NewTracker returns the book of a leader that was established at now. Each member may
// hold a lease that the last leader gave just before.
func NewTracker(now clock.Millis, members []table.Member, opts ...Option) *Tracker {
	b := &Tracker{terms: terms(opts), ends: map[table.Incarnation]clock.Millis{}, barred: map[table.Incarnation]clock.Millis{}}
	b.next = now.Add(b.whole())
	for _, m := range members {
		b.ends[m.Incarnation()] = now.Add(b.whole())
	}
	return b
}

// RecordRenewal counts a renewal that arrived at now, whether or not it is answered.
func (b *Tracker) RecordRenewal(i table.Incarnation, now clock.Millis) {
	if _, barred := b.barred[i]; !barred {
		b.ends[i] = max(b.ends[i], now.Add(b.whole()))
		b.next = min(b.next, b.ends[i])
	}
}

// whole is how long the leader counts a lease.
func (b *Tracker) whole() clock.Millis { return b.terms.span + b.terms.margin }

// DenyRenewal stops renewals of a member that is to be expired, for good.
func (b *Tracker) DenyRenewal(i table.Incarnation, now clock.Millis) { b.barred[i] = now }

// StalledRemovals returns the members that were barred longer than the span ago and are still there,
// and counts them as barred now.
func (b *Tracker) StalledRemovals(span, now clock.Millis) []table.Incarnation {
	var list []table.Incarnation
	for i, since := range b.barred {
		if now.Sub(since) >= span {
			b.barred[i] = now
			list = append(list, i)
		}
	}
	slices.Sort(list)
	return list
}

// Remove drops a member that is gone.
func (b *Tracker) Remove(i table.Incarnation) {
	delete(b.ends, i)
	delete(b.barred, i)
}

// MayRenew reports whether the member may get a longer lease.
func (b *Tracker) MayRenew(i table.Incarnation) bool {
	_, known := b.ends[i]
	_, barred := b.barred[i]
	return known && !barred
}

// Lapsed returns the members whose lease surely ran out before now and that are
// not barred yet.
func (b *Tracker) Lapsed(now clock.Millis) []table.Incarnation {
	if now < b.next {
		return nil
	}
	var lapsed []table.Incarnation
	b.next = now.Add(b.whole())
	for i, end := range b.ends {
		_, barred := b.barred[i]
		switch {
		case barred:
		case end <= now:
			lapsed = append(lapsed, i)
			b.next = now
		default:
			b.next = min(b.next, end)
		}
	}
	slices.Sort(lapsed)
	return lapsed
}

// NextCheck returns an instant before which no lease runs out, and whether there are
// leases. Lapsed is to be asked then; it need not find any, since a renewal does
// not put the instant off.
func (b *Tracker) NextCheck() (clock.Millis, bool) { return b.next, len(b.ends) > 0 }
