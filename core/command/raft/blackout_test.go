package raft

import (
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
		if h.node == nil || !m.Votes(h.node.id) || (h != l && !l.node.lives(h.node.id)) {
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
	h.step(TransferAsked{})
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
	l.step(NewOffered(d.tokens, fmt.Appendf(nil, "command %d", d.tokens)))
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
	if l == nil || l.index < top {
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
			_, _ = fmt.Fprintf(&text, " %s %x %v", r.Address(), r.ID(), r.Votes())
		}
		_, _ = fmt.Fprintln(&text)
	}
	return text.String()
}
