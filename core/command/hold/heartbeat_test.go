package hold_test

import (
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/command/hold"
	"verbenabank/core/state/grant"
	"verbenabank/core/state/table"
)

// leaseEnd is the end of the daemon's lease in these tests.
const leaseEnd = 6000

// beat reports rows and freed rows at now and returns the offer in the answer, which is sent at once.
func beat(t *testing.T, tr *hold.Tracker, now clock.Millis, held []grant.Row, freed ...grant.FreedRow) grant.Offer {
	t.Helper()
	tr.HandleReport(grant.NewReport(held, freed))
	return offer(t, tr, now, now)
}

func offer(t *testing.T, tr *hold.Tracker, arrived, now clock.Millis) grant.Offer {
	t.Helper()
	o, ok := tr.Offer(arrived, now).(grant.Offer)
	if !ok {
		t.Fatalf("the answer at %d says nothing", now)
	}
	return o
}

func rows(r ...grant.Row) []grant.Row { return r }

// newHeartbeatTracker returns a tracker that saw an empty table at 900, so that it knows all grants.
func newHeartbeatTracker() *hold.Tracker {
	tr := hold.New(maxTTL, 0, hold.WithDelivery(grant.ByHeartbeat{}))
	tr.Reconcile(nil, self, 900)
	tr.SetLeaseEnd(leaseEnd)
	return tr
}

// newOffered returns a tracker whose target took the keys 0 to 99 at epoch 5.
func newOffered(t *testing.T) *hold.Tracker {
	tr := newHeartbeatTracker()
	tr.Reconcile([]table.Span{owned(0, 99, 5)}, self, 1000)
	beat(t, tr, 1000, nil)
	beat(t, tr, 1900, rows(grant.NewRow(0, 99, 5)))
	return tr
}

// TestOfferCountsFromTheArrival guards against an offer that outlives the lease: the target counts from
// the sending of its heartbeat, of which the daemon only knows that it was before the arrival.
func TestOfferCountsFromTheArrival(t *testing.T) {
	is := is.New(t)
	tr := newHeartbeatTracker()
	tr.Reconcile([]table.Span{owned(0, 99, 5)}, self, 1000)
	tr.HandleReport(grant.NewReport(nil, nil))
	o := offer(t, tr, 1000, 1500)
	is.Equal(o.Rows(), rows(grant.NewRow(0, 99, 5)))
	is.True(1000+o.TTL()+o.TTL()*2/100 <= leaseEnd)
	is.Equal(len(tr.HeldRanges()), 0) // the target still has to apply it
	tr.DueCalls(1520)
	until := tr.HeldRanges()[0].Until()
	is.True(until <= 1500+o.TTL()-1000) // the heartbeat may have been sent a second before
	is.True(until > 1520)
}

// TestDaemonThatDoesNotKnowTakesNothingAway covers a daemon without a table and one without a lease: an
// empty list would make the target release everything.
func TestDaemonThatDoesNotKnowTakesNothingAway(t *testing.T) {
	is := is.New(t)
	tr := hold.New(maxTTL, 0, hold.WithDelivery(grant.ByHeartbeat{}))
	tr.SetLeaseEnd(leaseEnd)
	tr.HandleReport(grant.NewReport(rows(grant.NewRow(0, 99, 5)), nil))
	is.Equal(tr.Offer(1000, 1000), grant.Nothing{})
	tr.Reconcile([]table.Span{owned(0, 99, 5)}, self, 1100)
	tr.SetLeaseEnd(0)
	is.Equal(tr.Offer(1100, 1100), grant.Nothing{})
	is.True(!tr.HasNews(1100, 1100))
	tr.SetLeaseEnd(1500) // too near to renew
	is.Equal(tr.Offer(1300, 1300), grant.Nothing{})
}

func TestMemberWithoutKeysTakesEverythingAway(t *testing.T) {
	is := is.New(t)
	tr := newHeartbeatTracker()
	tr.HandleReport(grant.NewReport(rows(grant.NewRow(0, 99, 5)), nil))
	is.True(tr.HasNews(1000, 1000))
	is.Equal(len(offer(t, tr, 1000, 1000).Rows()), 0)
}

func TestKeysAreReleasedByOmissionWithTheirToken(t *testing.T) {
	is := is.New(t)
	tr := newOffered(t)
	tr.Reconcile([]table.Span{owned(0, 49, 5), moving(50, 99, 5)}, self, 2000)
	is.Equal(len(tr.HeldRanges()), 2) // the target serves the keys until it is told
	is.True(tr.HasNews(2000, 2000))
	o := offer(t, tr, 2000, 2000)
	is.Equal(o.Rows(), rows(grant.NewRow(0, 49, 5)))
	is.Equal(len(tr.HeldRanges()), 1)
	beat(t, tr, 2100, rows(grant.NewRow(0, 49, 5), grant.NewRow(50, 99, 5))) // still at work
	is.Equal(len(tr.Releases("s")), 0)
	beat(t, tr, 2200, rows(grant.NewRow(0, 49, 5)), grant.NewFreedRow(50, 99, "token"))
	is.Equal(len(tr.Releases("s")), 1)
	is.Equal(tr.Releases("s")[0].Handover(), "token")
}

// TestKeysThatEndEarlyAreReleasedFirst releases a range of which the target frees one half before the other.
func TestKeysThatEndEarlyAreReleasedFirst(t *testing.T) {
	is := is.New(t)
	tr := newOffered(t)
	tr.Reconcile([]table.Span{moving(0, 99, 5)}, self, 2000)
	offer(t, tr, 2000, 2000)
	beat(t, tr, 2100, rows(grant.NewRow(0, 9, 5)), grant.NewFreedRow(10, 99, "b"))
	is.Equal(len(tr.Releases("s")), 1)
	is.Equal(tr.Releases("s")[0].First(), table.Key(10))
	beat(t, tr, 2200, nil, grant.NewFreedRow(0, 9, "a"))
	is.Equal(len(tr.Releases("s")), 2)
	is.Equal(tr.Releases("s")[0].Handover(), "a")
}

// TestRepeatedFreedRowIsHandledOnce covers an acknowledgement that was lost: the target repeats what it
// has freed, although the keys came back to it in between.
func TestRepeatedFreedRowIsHandledOnce(t *testing.T) {
	is := is.New(t)
	tr := newOffered(t)
	tr.Reconcile([]table.Span{moving(0, 99, 5)}, self, 2000)
	offer(t, tr, 2000, 2000)
	freed := grant.NewFreedRow(0, 99, "token")
	beat(t, tr, 2100, nil, freed)
	beat(t, tr, 2200, nil, freed)
	is.Equal(len(tr.Releases("s")), 1)
	tr.Reconcile([]table.Span{table.NewSpan(0, 99, table.NewOwned(other, 6))}, self, 2300)
	tr.Reconcile([]table.Span{table.NewSpan(0, 99, table.NewOwned(self, 7).WithHandover("newer"))}, self, 2400)
	o := beat(t, tr, 2500, nil, freed)
	is.Equal(o.Rows()[0].Handover(), "newer")
	beat(t, tr, 2600, rows(grant.NewRow(0, 99, 7)))
	is.Equal(beat(t, tr, 2700, rows(grant.NewRow(0, 99, 7))).Rows()[0].Handover(), "")
	is.Equal(len(tr.Releases("s")), 0)
}

// TestRepeatedFreedRowSaysNothingOfALaterOffer repeats a freed row of an earlier ownership after the keys
// were offered anew: neither its token nor the release belongs to that offer.
func TestRepeatedFreedRowSaysNothingOfALaterOffer(t *testing.T) {
	is := is.New(t)
	tr := newHeartbeatTracker()
	freed := grant.NewFreedRow(0, 99, "old")
	tr.Reconcile([]table.Span{table.NewSpan(0, 99, table.NewOwned(self, 7).WithHandover("new"))}, self, 1000)
	beat(t, tr, 1000, nil, freed)
	is.Equal(beat(t, tr, 1100, nil, freed).Rows()[0].Handover(), "new")
	tr.Reconcile([]table.Span{moving(0, 99, 7)}, self, 1150)
	beat(t, tr, 1200, nil, freed)
	is.Equal(len(tr.Releases("s")), 0) // the offer may still be applied
}

// TestRepeatedFreedRowOfRangeThatIsHeldAgain repeats a freed row while the target holds the keys anew. It is no word
// about the present ownership when the keys are not reported any more: their hold may have expired, with a renewal
// on its way. Found by model/offer.pml.
func TestRepeatedFreedRowOfRangeThatIsHeldAgain(t *testing.T) {
	is := is.New(t)
	tr := newHeartbeatTracker()
	freed := grant.NewFreedRow(0, 99, "old")
	tr.Reconcile([]table.Span{owned(0, 99, 7)}, self, 1000)
	beat(t, tr, 1000, nil, freed)
	beat(t, tr, 1100, rows(grant.NewRow(0, 99, 7)), freed)
	tr.Reconcile([]table.Span{moving(0, 99, 7)}, self, 1150)
	beat(t, tr, 1200, nil, freed)
	is.Equal(len(tr.Releases("s")), 0)
	tr.DueCalls(leaseEnd)
	is.Equal(len(tr.Releases("s")), 1)
	is.Equal(tr.Releases("s")[0].Handover(), "")
}

// TestLostAnswerMayStillBeApplied moves keys away whose offer the target has not shown: the answer may still be
// on its way, and so may the heartbeats that do not show it have been. Found by model/offer.pml.
func TestLostAnswerMayStillBeApplied(t *testing.T) {
	is := is.New(t)
	tr := newHeartbeatTracker()
	tr.Reconcile([]table.Span{owned(0, 99, 5)}, self, 1000)
	beat(t, tr, 1000, nil)
	tr.Reconcile([]table.Span{moving(0, 99, 5)}, self, 1050)
	beat(t, tr, 1500, nil)
	is.Equal(len(tr.Releases("s")), 0)
	is.True(!tr.HoldsNothing(1500))
	beat(t, tr, 3100, nil) // may have been sent before, too
	is.Equal(len(tr.Releases("s")), 0)
	is.True(!tr.HoldsNothing(3100))
	tr.DueCalls(leaseEnd)
	is.Equal(len(tr.Releases("s")), 1)
	is.True(tr.HoldsNothing(leaseEnd))
}

// TestKeysThatComeBackWhileTheirRequestsRun covers a report with both the range that the target still works on and
// the part of it that it holds again.
func TestKeysThatComeBackWhileTheirRequestsRun(t *testing.T) {
	is := is.New(t)
	tr := newOffered(t)
	tr.Reconcile([]table.Span{moving(0, 99, 5)}, self, 2000)
	offer(t, tr, 2000, 2000)
	back := []table.Span{moving(0, 49, 5), owned(50, 60, 7), moving(61, 99, 5)}
	tr.Reconcile(back, self, 2050)
	o := beat(t, tr, 2100, rows(grant.NewRow(0, 99, 5)))
	is.Equal(o.Rows(), rows(grant.NewRow(50, 60, 7)))
	beat(t, tr, 2200, rows(grant.NewRow(0, 99, 5), grant.NewRow(50, 60, 7)))
	is.Equal(len(tr.Releases("s")), 0)
	is.Equal(len(tr.HeldRanges()), 1)
	beat(t, tr, 2300, rows(grant.NewRow(50, 60, 7)), grant.NewFreedRow(0, 99, "token"))
	is.Equal(len(tr.Releases("s")), 2)
}

// TestExpiredKeysAreReleasedWithoutAWord covers keys that are neither held nor freed: their time was over.
func TestExpiredKeysAreReleasedWithoutAWord(t *testing.T) {
	is := is.New(t)
	tr := newOffered(t)
	tr.Reconcile([]table.Span{moving(0, 99, 5)}, self, 2000)
	tr.DueCalls(4000)
	is.Equal(len(tr.Releases("s")), 0) // no heartbeat and no end yet
	tr.DueCalls(7000)
	is.Equal(len(tr.Releases("s")), 1)
	is.Equal(tr.Releases("s")[0].Handover(), "")
}

// TestOfferThatIsNotTakenGivesTheKeysBack covers a target that has seen a later epoch on one of the keys.
func TestOfferThatIsNotTakenGivesTheKeysBack(t *testing.T) {
	is := is.New(t)
	tr := newHeartbeatTracker()
	tr.Reconcile([]table.Span{owned(0, 99, 5)}, self, 1000)
	now := clock.Millis(1000)
	for n := 0; n < 3; n++ {
		is.Equal(len(beat(t, tr, now, nil).Rows()), 1)
		is.Equal(len(tr.Releases("s")), 0)
		now += 900
	}
	is.Equal(len(beat(t, tr, now, nil).Rows()), 0)
	is.Equal(len(tr.Releases("s")), 0)
	tr.DueCalls(leaseEnd) // the offers have ended
	is.Equal(len(tr.Releases("s")), 1)
}

// TestRestartedDaemonGoesOnWhereTheTableAgrees covers the first heartbeat of a new process: rows that the
// table confirms are renewed with the first answer, others are never extended.
func TestRestartedDaemonGoesOnWhereTheTableAgrees(t *testing.T) {
	is := is.New(t)
	tr := hold.New(maxTTL, 0, hold.WithDelivery(grant.ByHeartbeat{}))
	tr.HandleReport(grant.NewReport(rows(grant.NewRow(0, 49, 5), grant.NewRow(50, 99, 4)), nil))
	tr.SetLeaseEnd(leaseEnd)
	tr.Reconcile([]table.Span{owned(0, 49, 5), table.NewSpan(50, 99, table.NewOwned(other, 6))}, self, 1100)
	is.True(tr.HasNews(1000, 1100))
	is.Equal(offer(t, tr, 1000, 1100).Rows(), rows(grant.NewRow(0, 49, 5)))
	is.Equal(len(tr.HeldRanges()), 1) // at once: the target already runs requests for them
}

// TestAnswerStaysWithinTheSizeThatTargetsAccept offers more ranges than an answer of 4 KiB can list.
func TestAnswerStaysWithinTheSizeThatTargetsAccept(t *testing.T) {
	is := is.New(t)
	tr := newHeartbeatTracker()
	var spans []table.Span
	for n := range table.Key(200) {
		spans = append(spans, owned(2*n, 2*n, table.Epoch(n+1)))
	}
	tr.Reconcile(spans, self, 1000)
	o := beat(t, tr, 1000, nil)
	is.Equal(len(o.Rows()), 56)
	is.Equal(len(beat(t, tr, 1900, o.Rows()).Rows()), 56)
}
