package room_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/command/room"
)

// TestClassFromOneServiceIsACall guards against calls that compete like new requests: only a class whose requests come
// from one service alone is a call, and only if requests of callers come from several.
func TestClassFromOneServiceIsACall(t *testing.T) {
	is := is.New(t)
	o := room.NewOrigins()
	for range 200 {
		o.Record("lookup", "menu")
	}
	is.True(!o.IsCall("lookup")) // callers may be at the instances of one service only
	for i := range 200 {
		o.Record("order", []string{"menu", "stock"}[i%2])
	}
	is.True(o.IsCall("lookup"))
	is.True(!o.IsCall("order"))
	is.True(!o.IsCall("never seen"))
	o.Record("rare", "menu")
	is.True(!o.IsCall("rare")) // too few to tell
	for range 20 {
		o.Record("lookup", "stock")
	}
	is.True(!o.IsCall("lookup"))
}

// TestGateFollowsLostCalls guards against a gate that starves new requests, or stays closed after the calls have room.
func TestGateFollowsLostCalls(t *testing.T) {
	is := is.New(t)
	g := room.NewGate()
	now := clock.Millis(1)
	for range 200 {
		g.RecordCall(true, now)
		now += 50
	}
	low := g.Share(0, now)
	is.True(low >= 25 && low < 40)
	for range 200 {
		g.RecordCall(false, now)
		now += 50
	}
	is.Equal(g.Share(0, now), room.Full)
	g.RecordCall(true, now)
	is.Equal(g.Share(0, now+clock.Minute), room.Full) // it opens without calls too
}

// TestGateYieldsToUrgentRequests guards against patient requests whose calls displace urgent ones at the called target.
func TestGateYieldsToUrgentRequests(t *testing.T) {
	is := is.New(t)
	g := room.NewGate()
	now := clock.Millis(1)
	for range 200 {
		g.RecordCall(false, now)
		g.RecordShare(1, 60, now)
		now += 50
	}
	is.Equal(g.Share(0, now), room.Full) // more urgent than the requests without room
	is.True(g.Share(1, now) >= 55 && g.Share(1, now) <= 70)
	admitted := 0
	for i := range 1000 {
		if g.Admits(fmt.Sprint("request ", i), 2, now) {
			admitted++
		}
	}
	is.True(admitted > 500 && admitted < 750)
}

// TestLevelsRefuseWhatGatesRefuse guards against trips of requests that the gates of all targets refuse.
func TestLevelsRefuseWhatGatesRefuse(t *testing.T) {
	is := is.New(t)
	l := room.NewLevels()
	for range 20 {
		l.Record("order", 50, 1)
	}
	admitted := 0
	for i := range 1000 {
		if l.Admits("order", fmt.Sprint("request ", i), 2) {
			admitted++
		}
	}
	is.True(admitted > 400 && admitted < 600)
	is.True(l.Share("order", 2) <= 52)
	is.Equal(l.Share("order", 10_000), room.Full)
}

// TestThrottleLetsProbesPass guards against an entry that stops asking, and so never learns that there is room again.
func TestThrottleLetsProbesPass(t *testing.T) {
	is := is.New(t)
	r := room.NewThrottle()
	for now := range clock.Millis(1000) {
		r.Record("order", false, now)
	}
	is.True(r.Refuses("order", 0.89, 1000))
	is.True(!r.Refuses("order", 0.91, 1000))
	is.True(!r.Refuses("order", 0.5, 3000))
	for now := clock.Millis(1000); now < 2000; now++ {
		r.Record("order", now%2 == 0, now)
	}
	is.True(!r.Refuses("order", 0.01, 2000)) // half of the attempts find room
}

// TestPlaceWithoutArrivalStays guards the switch: without Rooms, requests queue as before.
func TestPlaceWithoutArrivalStays(t *testing.T) {
	is := is.New(t)
	p := room.NewPlace(2, 100, 900)
	is.Equal(p.For(nil, 1000), p)
	outer := p.WithGoal(300, 180).For(room.Outer{}, 1000)
	is.Equal(outer.Rank(), 2)
	is.Equal(outer.Wait(), clock.Millis(100))
	is.Equal(outer.Stay(), clock.Millis(120))
	call := p.WithGoal(150, 40).For(room.Call{}, 1000)
	is.Equal(call.Wait(), clock.Millis(500))
	is.Equal(call.Patience(), clock.Millis(35))
	is.True(call.Firm() && !outer.Firm())
}

// TestRequestsWithoutIDAreAdmittedByShare guards against callers that send no ID: drawn by their common ID, all of their
// requests would be refused as long as a gate is not open, or none.
func TestRequestsWithoutIDAreAdmittedByShare(t *testing.T) {
	is := is.New(t)
	g, l := room.NewGate(), room.NewLevels()
	now := clock.Millis(1)
	for range 200 {
		g.RecordCall(true, now)
		l.Record("order", 30, now)
		now += 50
	}
	share, admitted := g.Share(0, now), 0
	for range 1000 {
		is.True(l.Admits("order", "", now))
		if g.Admits("", 0, now) {
			admitted++
		}
	}
	t.Logf("share %d%%, admitted %d of 1000", share, admitted)
	is.True(admitted >= 10*share-10 && admitted <= 10*share+10)
}
