package leader_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/command/apply"
	"verbenabank/core/command/leader"
	"verbenabank/core/command/lease"
	"verbenabank/core/state/fleet"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

// zones are the zones of the simulated daemons, zoneDrainLimit for how long they serve keys after a drain. The check
// allows for their clocks.
var zones = []string{"even", "odd"}

const (
	zoneDrainLimit = clock.Second
	zoneDrainCheck = zoneDrainLimit * 105 / 100
)

// changeZones drains a zone or takes it back, and schedules itself.
func (sm *simulation) changeZones() {
	z := zones[sm.rand.IntN(len(zones))]
	drained := !sm.state.Table().ZoneDrained(z)
	sm.commit(logcmd.NewSetZoneDrain(z, drained, "i", uint64(len(sm.log))))
	if drained {
		sm.drainedSince[z] = sm.now
	} else {
		delete(sm.drainedSince, z)
	}
	sm.after(200+sm.randomUpTo(4000), sm.changeZones)
}

// checkDrained checks that a daemon that owns a shard accepts no requests for it any more if its zone has been drained
// for too long.
func (sm *simulation) checkDrained(s table.Shard, d *daemon) {
	since, drained := sm.drainedSince[d.zone()]
	switch {
	case !drained || sm.now.Sub(since) < zoneDrainCheck:
	case d.snap.KeysClosed(d.localTime()):
		sm.lateKeys++
	default:
		sm.fail("%s serves shard %d %d ms after its zone was drained", d.name, s, sm.now.Sub(since))
	}
}

// TestKeysOfADrainedZoneEndUnderFaults plays random faults while zones are drained and taken back: leaders are deposed,
// daemons freeze, restart and lose their sessions, and clocks differ. No daemon serves a key for longer than the limit
// after a drain was committed, however late it learns of it, and no shard has two owners.
func TestKeysOfADrainedZoneEndUnderFaults(t *testing.T) {
	served, grants, late := 0, 0, 0
	for seed := range uint64(20) {
		sm := newSimulation(seed, noMutation, 4)
		sm.after(1500, sm.injectFault)
		sm.after(1500, sm.changeOverrides)
		sm.after(1500, sm.changeZones)
		sm.run(runDuration)
		if sm.violation != "" {
			t.Fatalf("seed %d: %s", seed, sm.violation)
		}
		served, grants, late = served+sm.served, grants+sm.grants, late+sm.lateKeys
	}
	t.Logf("%d requests, %d grants, %d checks of keys that could not be handed over in time", served, grants, late)
	if served < 5000 || late == 0 {
		t.Error("too little happened to prove anything")
	}
}

// zoneGroup is a control group that commits what its leader proposes at once.
type zoneGroup struct {
	leader  *leader.Leader
	fleet   *fleet.State
	updates map[leader.SessionID][]table.Change // sent since the last event
}

func (g *zoneGroup) step(now clock.Millis, e leader.Event) {
	g.updates = map[leader.SessionID][]table.Change{}
	g.run(now, g.leader.Step(now, e))
}

func (g *zoneGroup) run(now clock.Millis, effects []leader.Effect) {
	for _, x := range effects {
		switch x := x.(type) {
		case leader.Propose:
			g.commit(now, x.Command())
		case leader.SendUpdate:
			g.updates[x.Session()] = append(g.updates[x.Session()], x.Update().Changes()...)
		}
	}
}

func (g *zoneGroup) commit(now clock.Millis, c logcmd.Command) {
	next, effects := apply.Apply(g.fleet, g.fleet.Index()+1, 0, c)
	g.fleet = next
	g.run(now, g.leader.Step(now, leader.NewApplied(next, c, effects)))
}

// elect makes a new leader from the replicated state, with a session of the member with the same number.
func (g *zoneGroup) elect(now clock.Millis, members int) {
	g.leader = newLeader(now, g.fleet)
	for n := range members {
		id := leader.SessionID(n + 1)
		g.step(now, leader.NewSessionOpened(id))
		g.step(now, leader.NewJoinRequested(id, member(n), 0))
	}
}

// newLeader returns a leader whose members need no renewals in this test.
func newLeader(now clock.Millis, f *fleet.State) *leader.Leader {
	return leader.New(now, 1, f, leader.WithLeaseParams(lease.NewParams(clock.Minute, 100, 1000, 1000)))
}

func member(n int) table.Member {
	zone := []string{"east", "west"}[n%2]
	return table.NewMember(table.Incarnation(n+1), zone, zone, "a", service, table.Warming{})
}

// ownedIn counts the shards that members of a zone own.
func (g *zoneGroup) ownedIn(zone string) int {
	count := 0
	for _, s := range g.fleet.Table().Shards(service) {
		if m, ok := g.fleet.Table().Member(table.ServingMember(g.fleet.Table().Ownership(service, s))); ok && m.Zone() == zone {
			count++
		}
	}
	return count
}

// TestZoneDrainOutlivesItsLeader drains a zone, and elects a new leader before it has planned anything. It guards against a
// drain that only its leader knows, against daemons that learn of it with a delayed update, and against members that get
// their full share at once when they are taken back.
func TestZoneDrainOutlivesItsLeader(t *testing.T) {
	is := is.New(t)
	g := &zoneGroup{fleet: fleet.New()}
	g.leader = newLeader(0, g.fleet)
	const warmUp = 5 * clock.Second
	s := rules.NewService(service, rules.WithKind(rules.NewKeyed(rules.NewPathSegment(2), 6)), rules.WithWarmUp(warmUp))
	g.commit(1, logcmd.NewSetRules(rules.New(1, "d", s), "i", "f"))
	g.elect(1, 2)
	g.step(warmUp+1000, leader.Ticked{})
	is.Equal(g.ownedIn("east"), 3)

	g.updates = map[leader.SessionID][]table.Change{}
	g.commit(warmUp+1001, logcmd.NewSetZoneDrain("east", true, "i", g.fleet.Index()))
	is.True(slices.Contains(g.updates[1], table.Change(table.NewZoneDrainSet("east", true)))) // within the interval of pushes
	g.elect(warmUp+1002, 2)
	is.True(g.fleet.Table().ZoneDrained("east"))
	g.step(warmUp+1003, leader.Ticked{})
	for _, sh := range g.fleet.Table().Shards(service) {
		switch o := g.fleet.Table().Ownership(service, sh).(type) {
		case table.Owned:
			is.Equal(o.Owner(), table.Incarnation(2))
		case table.Moving:
			is.Equal(o.To(), table.Incarnation(2))
			g.commit(warmUp+1004, logcmd.NewRelease(service, sh, o.Epoch()))
		case table.Vacant:
			is.Fail()
		}
	}
	is.Equal(g.ownedIn("east"), 0)

	back := 2*warmUp + 5000
	g.step(back, leader.Ticked{})
	g.commit(back, logcmd.NewSetZoneDrain("east", false, "i", g.fleet.Index()))
	for _, age := range []clock.Millis{200, warmUp - 1, warmUp + 200} {
		g.step(back.Add(age), leader.Ticked{})
		m, _ := g.fleet.Table().Member(1)
		_, warming := m.Phase().(table.Warming)
		is.Equal(warming, age < warmUp)
	}
}
