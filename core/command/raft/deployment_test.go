package raft

import (
	"fmt"
	"slices"
	"strings"

	"pgregory.net/rapid"

	"verbenabank/core/clock"
)

// deployment is a cluster with open membership: machines are removed for good and replaced by others.
// Up to maxDiskLosses disks may be lost at the same time.
type deployment struct {
	*cluster
	maxDiskLosses int
	lostUntil     map[int]clock.Millis // when the disk of a host no longer counts as lost
	actions       []string             // actions so far, printed on failure
}

func (d *deployment) record(format string, args ...any) {
	d.actions = append(d.actions, fmt.Sprintf("%d: ", d.now)+fmt.Sprintf(format, args...))
}

func newDeployment(seed uint64, hosts, maxLosses int) (*deployment, error) {
	d := &deployment{cluster: newCluster(seed, 3), maxDiskLosses: maxLosses, lostUntil: map[int]clock.Millis{}}
	for _, h := range d.hosts {
		h.minVoters = 2*maxLosses + 1
		h.start()
	}
	for len(d.hosts) < hosts {
		d.add()
	}
	for range 80 {
		if err := d.cluster.run(100); err != nil {
			return nil, err
		}
		if d.complete() {
			d.bootstrapped = true
			return d, nil
		}
	}
	return nil, fmt.Errorf("liveness: %d hosts did not bootstrap a group within 8 s", hosts)
}

// add starts a machine with an empty disk at a new address.
func (d *deployment) add() *host {
	h := &host{
		cluster: d.cluster, number: len(d.hosts), address: fmt.Sprintf("127.0.1.%d:1", len(d.hosts)+1),
		syncMax: 8, clockRate: 1000, minVoters: 2*d.maxDiskLosses + 1, clockBase: d.now, clockSince: d.now,
	}
	d.hosts = append(d.hosts, h)
	d.rotateSeeds()
	h.start()
	return h
}

// rotateSeeds configures three of the present machines as seeds. Before the bootstrap, running hosts
// that have seeds keep theirs. A node reads its seeds only when it starts.
func (d *deployment) rotateSeeds() {
	list := d.present()
	d.random.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	var seeds []string
	for _, h := range list[:min(3, len(list))] {
		seeds = append(seeds, h.address)
	}
	for _, h := range d.hosts {
		if h.node == nil || h.seeds == nil || d.bootstrapped {
			h.seeds = seeds
		}
	}
}

// present returns the hosts that were not removed.
func (d *deployment) present() []*host {
	return slices.DeleteFunc(slices.Clone(d.hosts), func(h *host) bool { return h.removed })
}

// sparableDisks returns how many more disks may be lost now.
func (d *deployment) sparableDisks() int {
	left := d.maxDiskLosses
	for _, until := range d.lostUntil {
		if d.now < until {
			left--
		}
	}
	return max(0, left)
}

// extendLosses makes disks that are not repaired count as lost for longer, because another fault lasts
// up to until.
func (d *deployment) extendLosses(until clock.Millis) {
	for k, u := range d.lostUntil {
		if d.now < u {
			d.lostUntil[k] = max(u, until+catchUpTime)
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
		if h.node == nil || !m.IsVoter(h.node.id) || (h != l && !l.node.recentlyActive(h.node.id)) {
			return false
		}
	}
	return m.Len() == len(d.present()) && l.node.commit >= l.node.membersIndex
}

// allApplied reports whether all hosts have applied all committed entries.
func (d *deployment) allApplied() bool {
	for _, h := range d.present() {
		if h.index != d.check.lastCommitted {
			return false
		}
	}
	return true
}

// run advances the simulation under load.
func (d *deployment) run(span clock.Millis) error {
	for end := d.now + span; d.now < end; {
		d.traffic()
		if err := d.cluster.run(min(10, end-d.now)); err != nil {
			return err
		}
	}
	return nil
}

// disturbOnce causes one fault or replacement that the group must tolerate. It may or may not wait for
// the end of the fault.
func (d *deployment) disturbOnce(t *rapid.T) error {
	list := d.present()
	h := list[draw(t, len(list), "host")]
	span := clock.Millis(50 + draw(t, 1500, "span"))
	switch draw(t, 8, "disturbance") {
	case 0, 1:
		if d.sparableDisks() == 0 {
			return nil
		}
		d.record("host %d loses its disk for %d ms", h.number, span)
		h.wipe()
		h.downUntil = d.now + span
		d.lostUntil[h.number] = h.downUntil + catchUpTime
	case 2:
		return d.replace(t, h, span)
	case 3:
		return d.replacePlanned(t, h)
	case 4:
		d.record("all hosts lose power")
		for _, h := range list {
			h.crash()
			h.downUntil = d.now + span + clock.Millis(d.random.IntN(800))
		}
		d.extendLosses(d.now + span + 800)
	default:
		f := timed{span: span, fault: drawFault(t, len(d.hosts))}
		switch f.fault.(type) {
		case wipe, crashAll:
			return nil
		default:
		}
		d.record("%T%+v for %d ms", f.fault, f.fault, span)
		d.extendLosses(d.now + span + 400)
		d.injectFault(f)
		if draw(t, 2, "wait") == 0 {
			return nil
		}
		if err := d.run(span); err != nil {
			return err
		}
		d.resetNetwork()
	}
	return nil
}

// resetNetwork ends the faults that do not end by themselves.
func (d *deployment) resetNetwork() {
	d.loss, d.duplication, d.delay = 0, 0, 3
	for _, h := range d.hosts {
		h.setClockRate(1000)
		h.syncMax = 8
	}
}

// replace removes a machine for good, and adds an empty one some time later.
func (d *deployment) replace(t *rapid.T, h *host, span clock.Millis) error {
	if d.sparableDisks() == 0 {
		return nil
	}
	d.removeHost(h)
	d.lostUntil[h.number] = d.now + clock.Minute
	if err := d.run(span); err != nil {
		return err
	}
	d.record("host %d is added", d.add().number)
	d.lostUntil[h.number] = d.now + catchUpTime
	return d.run(clock.Millis(draw(t, 5000, "after")))
}

// replacePlanned lets the new machine catch up before the old one is removed.
func (d *deployment) replacePlanned(t *rapid.T, h *host) error {
	if d.sparableDisks() == 0 {
		return nil
	}
	d.record("host %d is added before a removal", d.add().number)
	if err := d.run(catchUpTime); err != nil {
		return err
	}
	if d.sparableDisks() == 0 {
		return nil
	}
	h.step(TransferRequested{})
	if err := d.run(300); err != nil {
		return err
	}
	d.removeHost(h)
	d.lostUntil[h.number] = d.now + departureTime
	return d.run(clock.Millis(draw(t, 2500, "after")))
}

func (d *deployment) removeHost(h *host) {
	d.record("host %d is removed for good", h.number)
	h.wipe()
	h.removed = true
	powerLossTotals.replaced++
	d.rotateSeeds()
}

// describe returns the state of the group as each host sees it.
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
