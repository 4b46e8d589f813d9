package raft

import (
	"errors"
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"verbenabank/core/clock"
)

// recoveryTimeout is the maximum time from the last start after a fault until the group is complete.
const recoveryTimeout = 10 * clock.Second

// powerLossTotals counts the power losses simulated by this process.
var powerLossTotals struct {
	worlds, faults, wiped, replaced, acknowledged, offered int
	worst                                                  clock.Millis
}

// awaitCommitPoint proposes a command and waits for a critical moment: right after the acknowledgement,
// or some time after the proposal.
func (d *deployment) awaitCommitPoint(t *rapid.T) error {
	l := d.leader()
	for k := 0; l == nil && k < 40; k++ {
		if err := d.run(50); err != nil {
			return err
		}
		l = d.leader()
	}
	if l == nil {
		return nil
	}
	d.tokens++
	d.check.history.called(d.tokens, write(d.tokens), d.check.events)
	l.step(NewProposed(d.tokens, fmt.Appendf(nil, "command %d", d.tokens)))
	if draw(t, 2, "acknowledged") == 0 {
		powerLossTotals.offered++
		return d.cluster.run(clock.Millis(draw(t, 400, "ms")))
	}
	powerLossTotals.acknowledged++
	last := l.node.log.last()
	for k := 0; l.index < last && k < 300; k++ {
		if err := d.cluster.run(1); err != nil {
			return err
		}
	}
	return nil
}

// finalFault loses up to as many disks as the group tolerates while all other hosts lose power.
func (d *deployment) finalFault(t *rapid.T) {
	powerLossTotals.faults++
	list := d.present()
	lost := d.sparableDisks()
	if draw(t, 5, "fewer") == 0 {
		lost = draw(t, lost+1, "disks")
	}
	d.random.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	if l := d.leader(); l != nil && draw(t, 2, "leader") == 0 {
		k := slices.Index(list, l)
		list[0], list[k] = list[k], list[0]
	}
	late := draw(t, 3, "late")
	for k, h := range list {
		if k < lost {
			d.record("final fault: host %d loses its disk", h.number)
			h.wipe()
			powerLossTotals.wiped++
		} else {
			h.crash()
		}
		d.record("host %d down", h.number)
		h.downUntil = d.now + 300 + clock.Millis(d.random.IntN(400))
		if late == 0 && d.random.IntN(2) == 0 {
			h.downUntil += clock.Millis(d.random.IntN(3000))
		}
		h.frozenUntil, h.lagUntil = 0, 0
		if k < lost {
			d.lostUntil[h.number] = h.downUntil + catchUpTime
		}
	}
	d.extendLosses(d.now + 3700)
	clear(d.cut)
	d.resetNetwork()
}

// awaitFullRecovery requires that all hosts become voters of a working group that has all
// acknowledged entries.
func (d *deployment) awaitFullRecovery() error {
	begin := d.now
	for _, h := range d.present() {
		begin = max(begin, h.downUntil)
	}
	top := d.check.lastCommitted
	for !d.complete() || !d.allApplied() {
		if d.now > begin+recoveryTimeout {
			return fmt.Errorf("liveness: group not complete %v ms after all hosts were back", d.now-begin)
		}
		if err := d.cluster.run(20); err != nil {
			return err
		}
	}
	powerLossTotals.worst = max(powerLossTotals.worst, d.now-begin)
	if err := d.cluster.run(200); err != nil {
		return err
	}
	l := d.leader()
	if l == nil {
		return errors.New("liveness: no leader after power loss")
	}
	if l.index < top {
		return fmt.Errorf("acknowledged: leader has %d of %d entries after power loss", l.index, top)
	}
	return d.checkService(l)
}

// playPowerLosses runs a deployment through rounds of faults, each of which ends with a loss of power.
func playPowerLosses(t *rapid.T, hosts, maxLosses int) error {
	powerLossTotals.worlds++
	d, err := newDeployment(uint64(draw(t, 1<<62, "seed")), hosts, maxLosses)
	if err != nil {
		return err
	}
	defer count(d.cluster)
	for range 1 + draw(t, 3, "rounds") {
		for range draw(t, 4, "disturbances") {
			if err := d.run(clock.Millis(draw(t, 700, "pause"))); err != nil {
				return err
			}
			if err := d.disturbOnce(t); err != nil {
				return err
			}
		}
		if err := d.awaitCommitPoint(t); err != nil {
			return err
		}
		d.finalFault(t)
		if err := d.awaitFullRecovery(); err != nil {
			return fmt.Errorf("%w\n%s\n%s", err, strings.Join(d.actions, "\n"), d.describe())
		}
		if err := d.run(clock.Millis(draw(t, 6000, "between"))); err != nil {
			return err
		}
	}
	return nil
}

// deploymentSizes lists numbers of hosts, and how many disks may be lost at once.
var deploymentSizes = []struct{ hosts, maxLosses int }{{3, 1}, {5, 2}, {4, 1}, {6, 2}, {7, 2}}

// powerLossProperty is the property that a deployment keeps what it acknowledged.
func powerLossProperty(hosts, maxLosses int) func(*rapid.T) {
	return func(t *rapid.T) {
		if err := playPowerLosses(t, hosts, maxLosses); err != nil {
			t.Fatal(err)
		}
	}
}

func TestAcknowledgedEntriesSurviveDiskAndPowerLoss(t *testing.T) {
	_ = flag.Set("rapid.checks", "12")
	for _, s := range deploymentSizes {
		t.Run(fmt.Sprintf("%d hosts %d lost", s.hosts, s.maxLosses), func(t *testing.T) { rapid.Check(t, powerLossProperty(s.hosts, s.maxLosses)) })
	}
	t.Logf("%+v", powerLossTotals)
}

// TestSoakOfPowerLosses repeats the property for SOAK_S seconds, like TestSoak.
func TestSoakOfPowerLosses(t *testing.T) {
	soak(t, func(k int) func(*rapid.T) {
		s := deploymentSizes[k%len(deploymentSizes)]
		return powerLossProperty(s.hosts, s.maxLosses)
	})
	t.Logf("%+v", powerLossTotals)
}
