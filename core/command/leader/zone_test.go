package leader_test

import (
	"testing"

	"verbenabank/core/clock"
	"verbenabank/core/state/logcmd"
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
	delete(sm.drainedSince, z)
	drained := !sm.state.Table().ZoneDrained(z)
	sm.commit(logcmd.NewSetZoneDrain(z, drained, "i", uint64(len(sm.log))))
	if drained {
		sm.drainedSince[z] = sm.now
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
	late := 0
	for seed := range uint64(20) {
		sm := newSimulation(seed, noMutation, 4)
		sm.after(1500, sm.injectFault)
		sm.after(1500, sm.changeOverrides)
		sm.after(1500, sm.changeZones)
		sm.run(runDuration)
		if sm.violation != "" || sm.served < 500 {
			t.Fatalf("seed %d: %s, %d requests", seed, sm.violation, sm.served)
		}
		late += sm.lateKeys
	}
	t.Logf("%d checks of keys that could not be handed over in time", late)
}
