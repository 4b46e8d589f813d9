package raft

import (
	"fmt"
	"slices"
	"strings"

	"pgregory.net/rapid"

	"verbenabank/core/clock"
)

// deployment is a world whose group is open: machines are taken away for good, and others come in
// their place. Some disks may be lost at once.
type deployment struct {
	*world
	bears int
	until map[int]clock.Millis // when the disk of a host does not count as lost any more
	done  []string             // what was done, for the message of a failure
}

func (d *deployment) note(format string, args ...any) {
	d.done = append(d.done, fmt.Sprintf("%d: ", d.now)+fmt.Sprintf(format, args...))
}

func newDeployment(seed uint64, hosts, bears int) (*deployment, error) {
	d := &deployment{world: newWorld(seed, 3), bears: bears, until: map[int]clock.Millis{}}
	for _, h := range d.hosts {
		h.open = 2*bears + 1
		h.start()
	}
	for len(d.hosts) < hosts {
		d.add()
	}
	for range 80 {
		if err := d.world.run(100); err != nil {
			return nil, err
		}
		if d.complete() {
			d.founded = true
			return d, nil
		}
	}
	return nil, fmt.Errorf("liveness: %d hosts did not found a group", hosts)
}

// add starts a machine with an empty disk at a new address.
func (d *deployment) add() *host {
	h := &host{
		world: d.world, number: len(d.hosts), address: fmt.Sprintf("127.0.1.%d:1", len(d.hosts)+1),
		syncMax: 8, rate: 1000, open: 2*d.bears + 1, base: d.now, since: d.now,
	}
	d.hosts = append(d.hosts, h)
	d.turnSeeds()
	h.start()
	return h
}

// turnSeeds names three machines that are there in the settings of all, which are read at a start.
func (d *deployment) turnSeeds() {
	list := d.present()
	d.random.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	var seeds []string
	for _, h := range list[:min(3, len(list))] {
		seeds = append(seeds, h.address)
	}
	for _, h := range d.hosts {
		if h.node == nil || h.seeds == nil || d.founded {
			h.seeds = seeds
		}
	}
}

// present returns the hosts that were not taken away.
func (d *deployment) present() []*host {
	return slices.DeleteFunc(slices.Clone(d.hosts), func(h *host) bool { return h.gone })
}

// spare returns how many more disks may be lost now.
func (d *deployment) spare() int {
	left := d.bears
	for _, until := range d.until {
		if d.now < until {
			left--
		}
	}
	return max(0, left)
}

// disturb lets disks that are not repaired count as lost for longer: something else is disturbed
// up to an instant.
func (d *deployment) disturb(until clock.Millis) {
	for k, u := range d.until {
		if d.now < u {
			d.until[k] = max(u, until+catchUp)
		}
	}
}

// complete reports whether a leader has all present hosts, and only these, as voters.
func (d *deployment) complete() bool {
	l := d.leader()
	if l == nil {
		return false
	}
	m := l.node.Status().Members()
	for _, h := range d.present() {
		if h.node == nil || !m.IsVoter(h.node.id) || (h != l && !l.node.lives(h.node.id)) {
			return false
		}
	}
	return m.Len() == len(d.present()) && l.node.commit >= l.node.changed
}

// level reports whether all hosts applied the same entries.
func (d *deployment) level() bool {
	for _, h := range d.present() {
		if h.index != d.check.top {
			return false
		}
	}
	return true
}

// run moves the world forward under load.
func (d *deployment) run(span clock.Millis) error {
	for end := d.now + span; d.now < end; {
		d.traffic()
		if err := d.world.run(min(10, end-d.now)); err != nil {
			return err
		}
	}
	return nil
}

// trouble brings about one disturbance that the group bears, with its recovery or without.
func (d *deployment) trouble(t *rapid.T) error {
	list := d.present()
	h := list[draw(t, len(list), "host")]
	span := clock.Millis(50 + draw(t, 1500, "span"))
	switch draw(t, 8, "trouble") {
	case 0, 1:
		if d.spare() == 0 {
			return nil
		}
		d.note("host %d loses its disk for %d ms", h.number, span)
		h.wipe()
		h.down = d.now + span
		d.until[h.number] = h.down + catchUp
	case 2:
		return d.replace(t, h, span)
	case 3:
		return d.replacePlanned(t, h)
	case 4:
		d.note("all lose power")
		for _, h := range list {
			h.crash()
			h.down = d.now + span + clock.Millis(d.random.IntN(800))
		}
		d.disturb(d.now + span + 800)
	default:
		f := timed{span: span, fault: drawFault(t, len(d.hosts))}
		switch f.fault.(type) {
		case wipe, crashAll:
			return nil
		default:
		}
		d.note("%T%+v for %d ms", f.fault, f.fault, span)
		d.disturb(d.now + span + 400)
		d.inject(f)
		if draw(t, 2, "wait") == 0 {
			return nil
		}
		if err := d.run(span); err != nil {
			return err
		}
		d.calm()
	}
	return nil
}

// calm ends what has no end of its own.
func (d *deployment) calm() {
	d.loss, d.double, d.delay = 0, 0, 3
	for _, h := range d.hosts {
		h.drift(1000)
		h.syncMax = 8
	}
}

// replace takes a machine away for good; an empty one comes a while later.
func (d *deployment) replace(t *rapid.T, h *host, span clock.Millis) error {
	if d.spare() == 0 {
		return nil
	}
	d.take(h)
	d.until[h.number] = d.now + clock.Minute
	if err := d.run(span); err != nil {
		return err
	}
	d.note("host %d comes", d.add().number)
	d.until[h.number] = d.now + catchUp
	return d.run(clock.Millis(draw(t, 5000, "after")))
}

// replacePlanned lets the successor catch up first.
func (d *deployment) replacePlanned(t *rapid.T, h *host) error {
	if d.spare() == 0 {
		return nil
	}
	d.note("host %d comes first", d.add().number)
	if err := d.run(catchUp); err != nil {
		return err
	}
	if d.spare() == 0 {
		return nil
	}
	h.step(TransferRequested{})
	if err := d.run(300); err != nil {
		return err
	}
	d.take(h)
	d.until[h.number] = d.now + parting
	return d.run(clock.Millis(draw(t, 2500, "after")))
}

func (d *deployment) take(h *host) {
	d.note("host %d is taken away", h.number)
	h.wipe()
	h.gone = true
	blackouts.replaced++
	d.turnSeeds()
}

// describe returns what each host knows of the group.
func (d *deployment) describe() string {
	var text strings.Builder
	for _, h := range d.present() {
		if h.node == nil {
			_, _ = fmt.Fprintf(&text, "host %d is down\n", h.number)
			continue
		}
		_, _ = fmt.Fprintf(&text, "host %d %x group %x %T term %d log %d commit %d seeds %v:", h.number, h.node.id, h.node.group, h.node.role,
			h.node.term, h.node.log.last(), h.node.commit, h.node.seeds)
		for _, r := range h.node.members.List() {
			_, _ = fmt.Fprintf(&text, " %s %x %v", r.Address(), r.ID(), r.IsVoter())
		}
		_, _ = fmt.Fprintln(&text)
	}
	return text.String()
}
