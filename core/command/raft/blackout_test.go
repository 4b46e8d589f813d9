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

// recoverWithin bounds the time from the last start after a fault to a whole group.
const recoverWithin = 10 * clock.Second

// blackouts counts the final faults of this process.
var blackouts struct {
	worlds, faults, wiped, replaced, acknowledged, offered int
	worst                                                  clock.Millis
}

// aim waits for an instant that matters: just after an acknowledgement, or some time after an offer.
func (d *deployment) aim(t *rapid.T) error {
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
		blackouts.offered++
		return d.world.run(clock.Millis(draw(t, 400, "ms")))
	}
	blackouts.acknowledged++
	last := l.node.log.last()
	for k := 0; l.index < last && k < 300; k++ {
		if err := d.world.run(1); err != nil {
			return err
		}
	}
	return nil
}

// losePower loses as many disks as the group bears while all other hosts lose power.
func (d *deployment) losePower(t *rapid.T) {
	blackouts.faults++
	list := d.present()
	lost := d.spare()
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
			d.note("final fault: host %d loses its disk", h.number)
			h.wipe()
			blackouts.wiped++
		} else {
			h.crash()
		}
		d.note("host %d down", h.number)
		h.down = d.now + 300 + clock.Millis(d.random.IntN(400))
		if late == 0 && d.random.IntN(2) == 0 {
			h.down += clock.Millis(d.random.IntN(3000))
		}
		h.frozen, h.lagged = 0, 0
		if k < lost {
			d.until[h.number] = h.down + catchUp
		}
	}
	d.disturb(d.now + 3700)
	clear(d.cut)
	d.calm()
}

// restore wants all hosts to be voters of a group that serves, with all that was acknowledged.
func (d *deployment) restore() error {
	begin := d.now
	for _, h := range d.present() {
		begin = max(begin, h.down)
	}
	top := d.check.top
	for !d.complete() || !d.level() {
		if d.now > begin+recoverWithin {
			return fmt.Errorf("liveness: not whole %v ms after all were back", d.now-begin)
		}
		if err := d.world.run(20); err != nil {
			return err
		}
	}
	blackouts.worst = max(blackouts.worst, d.now-begin)
	if err := d.world.run(200); err != nil {
		return err
	}
	l := d.leader()
	if l == nil {
		return errors.New("liveness: no leader after a loss of power")
	}
	if l.index < top {
		return fmt.Errorf("acknowledged: %d of %d after a loss of power", l.index, top)
	}
	return d.serve(l)
}

// playDeployment plays a deployment through troubles, each round of which ends in a blackout.
func playDeployment(t *rapid.T, hosts, bears int) error {
	blackouts.worlds++
	d, err := newDeployment(uint64(draw(t, 1<<62, "seed")), hosts, bears)
	if err != nil {
		return err
	}
	defer count(d.world)
	for range 1 + draw(t, 3, "rounds") {
		for range draw(t, 4, "troubles") {
			if err := d.run(clock.Millis(draw(t, 700, "pause"))); err != nil {
				return err
			}
			if err := d.trouble(t); err != nil {
				return err
			}
		}
		if err := d.aim(t); err != nil {
			return err
		}
		d.losePower(t)
		if err := d.restore(); err != nil {
			return fmt.Errorf("%w\n%s\n%s", err, strings.Join(d.done, "\n"), d.describe())
		}
		if err := d.run(clock.Millis(draw(t, 6000, "between"))); err != nil {
			return err
		}
	}
	return nil
}

// sizes are how many hosts there are, and how many disks may be lost at once.
var sizes = []struct{ hosts, bears int }{{3, 1}, {5, 2}, {4, 1}, {6, 2}, {7, 2}}

// blackout is the property that a deployment of a size keeps what it acknowledged.
func blackout(hosts, bears int) func(*rapid.T) {
	return func(t *rapid.T) {
		if err := playDeployment(t, hosts, bears); err != nil {
			t.Fatal(err)
		}
	}
}

func TestAcknowledgedEntriesOutliveLostDisksAndPower(t *testing.T) {
	_ = flag.Set("rapid.checks", "12")
	for _, s := range sizes {
		t.Run(fmt.Sprintf("%d hosts %d lost", s.hosts, s.bears), func(t *testing.T) { rapid.Check(t, blackout(s.hosts, s.bears)) })
	}
	t.Logf("%+v", blackouts)
}

// TestSoakOfBlackouts goes on like TestSoak.
func TestSoakOfBlackouts(t *testing.T) {
	soak(t, func(k int) func(*rapid.T) {
		s := sizes[k%len(sizes)]
		return blackout(s.hosts, s.bears)
	})
	t.Logf("%+v", blackouts)
}
