// Package lease keeps the expiry times of leases on both sides: the leader tracks when each
// member's lease has certainly expired, and a daemon tracks its own lease.
//
// The leader counts from the arrival of a renewal and the daemon from its sending, so the
// daemon's lease expires first, however long the message took. Each uses its own clock;
// Margin covers the difference in clock rate over one lease. The scheme is that of Gray and
// Cheriton, "Leases", 1989.
package lease

import (
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/state/table"
)

// Defaults in milliseconds.
const (
	// TTL is how long ownership lasts from the sending of a renewal.
	TTL = 700 * clock.Millisecond
	// RulesTTL is how long the routing rules may be used from the sending of a renewal.
	RulesTTL = 3 * clock.Second
	// Margin is by how much a daemon stops early and the leader waits longer. With both, the
	// rates of their clocks may differ by 15 percent.
	Margin = 50 * clock.Millisecond
	// RenewInterval is the renewal interval of a daemon.
	RenewInterval = 200 * clock.Millisecond
)

// Tracker keeps the expiry times of all members' leases on the leader. It is for the control
// goroutine only.
type Tracker struct {
	params    Params
	ends      map[table.Incarnation]clock.Millis
	denied    map[table.Incarnation]clock.Millis // when the member's removal was last proposed
	nextCheck clock.Millis                       // no lease expires earlier
}

// NewTracker returns the tracker of a leader that was elected at now. It counts a full lease for
// each member, since the previous leader may have granted one just before.
func NewTracker(now clock.Millis, members []table.Member, opts ...Option) *Tracker {
	t := &Tracker{params: applyOptions(opts), ends: map[table.Incarnation]clock.Millis{}, denied: map[table.Incarnation]clock.Millis{}}
	t.nextCheck = now.Add(t.leaderTTL())
	for _, m := range members {
		t.ends[m.Incarnation()] = now.Add(t.leaderTTL())
	}
	return t
}

// RecordRenewal extends the lease of a member from a renewal that arrived at now, whether or not the
// renewal will be answered. It does nothing for a member whose renewals are denied.
func (t *Tracker) RecordRenewal(i table.Incarnation, now clock.Millis) {
	if _, denied := t.denied[i]; !denied {
		t.ends[i] = max(t.ends[i], now.Add(t.leaderTTL()))
		t.nextCheck = min(t.nextCheck, t.ends[i])
	}
}

// leaderTTL is the lease duration as the leader counts it.
func (t *Tracker) leaderTTL() clock.Millis { return t.params.ttl + t.params.margin }

// DenyRenewal denies all further renewals of a member that is to be removed. It can't be undone.
func (t *Tracker) DenyRenewal(i table.Incarnation, now clock.Millis) { t.denied[i] = now }

// StalledRemovals returns the members whose removal was proposed at least a timeout ago and has not
// been applied, and restarts their timeout.
func (t *Tracker) StalledRemovals(timeout, now clock.Millis) []table.Incarnation {
	var list []table.Incarnation
	for i, since := range t.denied {
		if now.Sub(since) >= timeout {
			t.denied[i] = now
			list = append(list, i)
		}
	}
	slices.Sort(list)
	return list
}

// Remove drops a member that was removed from the table.
func (t *Tracker) Remove(i table.Incarnation) {
	delete(t.ends, i)
	delete(t.denied, i)
}

// MayRenew reports whether the member is known and its renewals are not denied.
func (t *Tracker) MayRenew(i table.Incarnation) bool {
	_, known := t.ends[i]
	_, denied := t.denied[i]
	return known && !denied
}

// Lapsed returns the members whose lease has certainly expired at now and whose renewals are
// not denied yet.
func (t *Tracker) Lapsed(now clock.Millis) []table.Incarnation {
	if now < t.nextCheck {
		return nil
	}
	var lapsed []table.Incarnation
	t.nextCheck = now.Add(t.leaderTTL())
	for i, end := range t.ends {
		_, denied := t.denied[i]
		switch {
		case denied:
		case end <= now:
			lapsed = append(lapsed, i)
			t.nextCheck = now
		default:
			t.nextCheck = min(t.nextCheck, end)
		}
	}
	slices.Sort(lapsed)
	return lapsed
}

// NextCheck returns when to call Lapsed again, and whether there are leases. No lease expires
// earlier. Lapsed may find none then, since a renewal doesn't postpone the check.
func (t *Tracker) NextCheck() (clock.Millis, bool) { return t.nextCheck, len(t.ends) > 0 }
