package hold_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"verbenabank/core/clock"
	"verbenabank/core/command/hold"
	"verbenabank/core/state/grant"
	"verbenabank/core/state/table"
)

const (
	simKeys   = 8
	simStep   = 10 * clock.Millisecond
	simLease  = 5 * clock.Second
	simRenew  = 500 * clock.Millisecond
	beatEvery = 870 * clock.Millisecond
)

// simTarget is a target that follows the rules for keys in answers to heartbeats. Its clock runs 2% slow.
type simTarget struct {
	held    map[table.Key]simHold
	freed   []grant.FreedRow
	seen    map[table.Key]table.Epoch
	sentAt  clock.Millis
	waiting bool // for an answer
	nextAt  clock.Millis
	lastRep grant.Report
}

type simHold struct {
	epoch   table.Epoch
	until   clock.Millis
	busyTo  clock.Millis // work on the key ends then
	leaving bool
}

func newSimTarget() *simTarget {
	return &simTarget{held: map[table.Key]simHold{}, seen: map[table.Key]table.Epoch{}}
}

// holds reports whether the target begins requests for the key at now.
func (s *simTarget) holds(k table.Key, now clock.Millis) bool {
	h, ok := s.held[k]
	return ok && !h.leaving && now < h.until
}

// settle ends what is over at now.
func (s *simTarget) settle(now clock.Millis) {
	for k, h := range s.held {
		switch {
		case h.leaving && now >= h.busyTo:
			s.freed = append(s.freed, grant.NewFreedRow(k, k, fmt.Sprintf("%d@%d", k, h.epoch)))
			delete(s.held, k)
		case now >= h.until:
			delete(s.held, k)
		}
	}
}

func (s *simTarget) report() grant.Report {
	var held []grant.Row
	for k := table.Key(0); k < simKeys; k++ {
		if h, ok := s.held[k]; ok {
			held = append(held, grant.NewRow(k, k, h.epoch))
		}
	}
	return grant.NewReport(held, s.freed)
}

// apply applies an answer to the heartbeat that was sent at an instant.
func (s *simTarget) apply(a grant.Answer, sent, now clock.Millis, r *rand.Rand) {
	o, ok := a.(grant.Offer)
	if !ok {
		return
	}
	listed := map[table.Key]bool{}
	for _, row := range o.Rows() {
		refused := false
		for k := row.First(); k <= row.Last(); k++ {
			refused = refused || s.seen[k] > row.Epoch()
		}
		for k := row.First(); k <= row.Last() && !refused; k++ {
			listed[k], s.seen[k] = true, row.Epoch()
			s.held[k] = simHold{epoch: row.Epoch(), until: sent + o.TTL() + o.TTL()*2/100}
		}
	}
	for k, h := range s.held {
		if !listed[k] && !h.leaving {
			h.leaving, h.busyTo = true, now+clock.Millis(r.IntN(300))
			s.held[k] = h
		}
	}
}

// simDaemon is a daemon with its target. Its lease is renewed except while it is frozen.
type simDaemon struct {
	self     table.Incarnation
	tracker  *hold.Tracker
	target   *simTarget
	leaseEnd clock.Millis
	frozenTo clock.Millis
}

func (d *simDaemon) restart() {
	d.tracker = hold.New(maxTTL, 0, hold.WithDelivery(grant.ByHeartbeat{}))
}

type delivery struct {
	at, sent clock.Millis
	to       *simDaemon
	answer   grant.Answer
}

// simulation moves keys between two daemons while answers are lost or late and daemons freeze and restart.
type simulation struct {
	t       *testing.T
	r       *rand.Rand
	now     clock.Millis
	daemons []*simDaemon
	spans   []table.Ownership // one per key
	epoch   table.Epoch
	flight  []delivery
}

// TestRandomHandoversHaveOneOwner checks that no two targets hold a key at the same time, that daemons only
// count on keys that their targets hold, and that every key is held again once faults have stopped.
func TestRandomHandoversHaveOneOwner(t *testing.T) {
	for seed := range uint64(60) {
		s := newSimulation(t, seed)
		for s.now < 40*clock.Second && !t.Failed() {
			s.step(s.now < 25*clock.Second)
		}
		for k := table.Key(0); k < simKeys && !t.Failed(); k++ {
			if !s.daemons[0].target.holds(k, s.now) && !s.daemons[1].target.holds(k, s.now) {
				t.Errorf("seed %d: nobody holds key %d at the end: %T", seed, k, s.spans[k])
			}
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	s := &simulation{t: t, r: rand.New(rand.NewPCG(seed, 1)), now: 1000, epoch: 1}
	for i := range 2 {
		d := &simDaemon{self: table.Incarnation(i + 1), target: newSimTarget()}
		d.restart()
		s.daemons = append(s.daemons, d)
	}
	for k := range simKeys {
		s.spans = append(s.spans, table.NewOwned(table.Incarnation(k%2+1), 1))
	}
	return s
}

func (s *simulation) step(faults bool) {
	s.now += simStep
	if faults {
		s.injectFaults()
	}
	for _, d := range s.daemons {
		d.target.settle(s.now)
		if s.now >= d.frozenTo {
			s.control(d)
		}
		s.heartbeat(d, faults)
	}
	s.deliver()
	s.check()
}

func (s *simulation) injectFaults() {
	d := s.daemons[s.r.IntN(2)]
	switch s.r.IntN(400) {
	case 0:
		d.frozenTo = s.now + clock.Millis(s.r.IntN(4000))
	case 1:
		d.restart()
		d.leaseEnd = 0
	case 2, 3, 4:
		k := s.r.IntN(simKeys)
		if h, ok := s.spans[k].(table.Owned); ok {
			s.spans[k] = table.NewMoving(h.Owner(), 3-h.Owner(), h.Epoch())
		}
	}
}

// control does what the daemon's control goroutine and the leader do at an instant.
func (s *simulation) control(d *simDaemon) {
	if s.now%simRenew == 0 {
		d.leaseEnd = s.now + simLease
	}
	var spans []table.Span
	for k, h := range s.spans {
		spans = append(spans, table.NewSpan(table.Key(k), table.Key(k), h))
	}
	d.tracker.Reconcile(spans, d.self, s.now)
	d.tracker.SetLeaseEnd(d.leaseEnd)
	d.tracker.DueCalls(s.now)
	for _, r := range d.tracker.Releases("s") {
		for k := r.First(); k <= r.Last(); k++ {
			s.release(k, d.self, r.Handover())
		}
	}
}

// release makes the successor the owner of a key that its owner gives up, or the owner itself without one.
func (s *simulation) release(k table.Key, from table.Incarnation, handover string) {
	s.epoch++
	switch h := s.spans[k].(type) {
	case table.Vacant:
	case table.Owned:
		if h.Owner() == from {
			s.spans[k] = table.NewOwned(from, s.epoch)
		}
	case table.Moving:
		if h.From() == from {
			s.spans[k] = table.NewOwned(h.To(), s.epoch).WithHandover(handover)
		}
	}
}

// heartbeat sends a heartbeat of the target when one is due, and its answer if the daemon is running. The
// target waits one second for an answer.
func (s *simulation) heartbeat(d *simDaemon, faults bool) {
	target := d.target
	if target.waiting && s.now > target.sentAt+1020 {
		target.waiting, target.nextAt = false, s.now
	}
	if target.waiting || s.now < target.nextAt {
		return
	}
	target.waiting, target.sentAt, target.lastRep = true, s.now, target.report()
	if s.now < d.frozenTo {
		return
	}
	d.tracker.HandleReport(target.lastRep)
	answer, delay := d.tracker.Offer(s.now, s.now), clock.Millis(0)
	if faults && s.r.IntN(10) == 0 {
		delay = clock.Millis(s.r.IntN(1500))
	}
	s.flight = append(s.flight, delivery{at: s.now + delay, sent: s.now, to: d, answer: answer})
}

// deliver hands out the answers that have arrived. One that comes after the target's time-out is not applied.
func (s *simulation) deliver() {
	var later []delivery
	for _, f := range s.flight {
		target := f.to.target
		switch {
		case f.at > s.now:
			later = append(later, f)
		case target.waiting && target.sentAt == f.sent:
			target.apply(f.answer, f.sent, s.now, s.r)
			target.waiting, target.freed = false, target.freed[min(len(target.freed), len(target.lastRep.Freed())):]
			target.nextAt = f.sent + beatEvery
			for _, h := range target.held {
				if h.leaving {
					target.nextAt = s.now + 100
				}
			}
		}
	}
	s.flight = later
}

func (s *simulation) check() {
	for k := table.Key(0); k < simKeys; k++ {
		if s.daemons[0].target.holds(k, s.now) && s.daemons[1].target.holds(k, s.now) {
			s.t.Errorf("at %d both targets hold key %d", s.now, k)
		}
	}
	for _, d := range s.daemons {
		for _, r := range d.tracker.HeldRanges() {
			if s.now < d.frozenTo || s.now >= r.Until() || d.leaseEnd <= s.now {
				continue
			}
			// A late answer may be applied after the daemon counts on it; the target refuses requests until then.
			if h, ok := d.target.held[r.First()]; ok && h.leaving && !d.target.waiting {
				s.t.Errorf("at %d daemon %d counts on key %d, which its target gives up", s.now, d.self, r.First())
			}
		}
	}
}
