package raft

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"verbenabank/core/clock"
)

// fillDisk makes the disk of a host full for a while. The process may be restarted meanwhile, and the group may elect
// another leader, repair its members or take a snapshot, which happens every 20 entries.
func (d *deployment) fillDisk(t *rapid.T, h *host) error {
	span := clock.Millis(500 + draw(t, 3500, "full"))
	d.record("the disk of host %d is full for %d ms", h.number, span)
	h.fullUntil = d.now + span
	switch draw(t, 4, "meanwhile") {
	case 0:
		d.record("its process is killed")
		h.crash()
	case 1:
		d.record("leadership is transferred")
		if l := d.leader(); l != nil {
			l.step(TransferRequested{})
		}
	case 2:
		other := d.present()[draw(t, len(d.present()), "other")]
		d.record("the process of host %d is killed", other.number)
		other.crash()
	}
	return d.run(span)
}

// playFullDisks fills the disks of all hosts in turn, some more than once but never two at once, under load.
func playFullDisks(t *rapid.T, hosts, maxLosses int) error {
	d, err := newDeployment(uint64(draw(t, 1<<62, "seed")), hosts, maxLosses)
	if err != nil {
		return err
	}
	for range 2 + draw(t, 6, "times") {
		if err := d.fillDisk(t, d.present()[draw(t, hosts, "host")]); err != nil {
			return err
		}
		if err := d.run(clock.Millis(draw(t, 600, "pause"))); err != nil {
			return err
		}
	}
	if err := d.awaitFullRecovery(); err != nil {
		return fmt.Errorf("%w\n%s\n%s", err, strings.Join(d.actions, "\n"), d.describe())
	}
	return nil
}

// TestDisksThatWereFullInTurn guards against a group that accepts no change any more although all disks have room again:
// each was full for seconds, one after the other, while processes were restarted and leaders elected.
func TestDisksThatWereFullInTurn(t *testing.T) {
	_ = flag.Set("rapid.checks", "15")
	for _, s := range deploymentSizes {
		t.Run(fmt.Sprintf("%d hosts", s.hosts), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				if err := playFullDisks(t, s.hosts, s.maxLosses); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
}
