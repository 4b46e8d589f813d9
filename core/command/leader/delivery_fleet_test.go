package leader_test

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/command/agent"
	"verbenabank/core/command/apply"
	"verbenabank/core/command/leader"
	"verbenabank/core/state/fleet"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/rules"
)

// Costs of the leader's instance, in microseconds of its processor: what a message of a daemon takes, and a new
// session with its handshake and its full table.
const (
	messageMicros = 500
	sessionMicros = 2500
)

// How many times in turn a daemon's goroutines have to be scheduled: for a connection with its handshake and the answer
// on it, and for a message that arrives or is sent on an open one.
const (
	handshakeSteps = 8
	messageSteps   = 2
)

const (
	replicaCount = 10
	linkDelay    = 2 * clock.Millisecond
	commitDelay  = 5 * clock.Millisecond
)

// delivery is a fleet of real agents with a real leader, whose instance has a slow processor, and with the control
// group's replicas as stand-ins. It records when each daemon has each configuration.
type delivery struct {
	timeline
	state     *fleet.State
	index     uint64
	leader    *leader.Leader
	term      int
	busyUntil int64 // of the leader's processor, in microseconds
	sessions  map[leader.SessionID]*subscriber
	lastID    leader.SessionID
	leading   int // replica, -1 if none leads
	down      map[int]bool
	daemons   []*subscriber
	accepted  []acceptance
	byMembers int // configurations that a daemon got from another one
}

// acceptance is the commit of a configuration, which its operator is told at once.
type acceptance struct {
	version uint64
	at      clock.Millis
}

func newDelivery(seed uint64, daemons int) *delivery {
	d := &delivery{timeline: timeline{rand: rand.New(rand.NewPCG(seed, 2))}, state: fleet.New(), leading: -1, down: map[int]bool{}}
	d.accept(1)
	d.elect(0)
	for n := range daemons {
		d.daemons = append(d.daemons, newSubscriber(d, n))
	}
	return d
}

func (d *delivery) run(until clock.Millis) { d.runUntil(until, func() {}) }

func (d *delivery) accept(version uint64) {
	d.accepted = append(d.accepted, acceptance{version: version, at: d.now})
	d.commit(logcmd.NewSetRules(rules.New(version, fmt.Sprint(version), rules.NewService(service)), "i", "f"))
}

func (d *delivery) commit(c logcmd.Command) {
	d.index++
	next, effects := apply.Apply(d.state, d.index, 0, c)
	d.state = next
	d.step(leader.NewApplied(next, c, effects))
}

func (d *delivery) elect(replica int) {
	d.term++
	d.leading, d.sessions, d.busyUntil = replica, map[leader.SessionID]*subscriber{}, int64(d.now)*1000
	d.leader = leader.New(d.now, groupID, d.state, leader.WithLeaseParams(deliveryParams()))
	d.scheduleTick(d.term)
}

// powerOff ends all replicas without a word to the daemons.
func (d *delivery) powerOff() {
	d.term++
	d.leading, d.leader, d.sessions = -1, nil, nil
	for r := range replicaCount {
		d.down[r] = true
	}
}

func (d *delivery) powerOn() { clear(d.down) }

func (d *delivery) scheduleTick(term int) {
	if term != d.term {
		return
	}
	if d.leader.NextTick() <= d.now {
		d.step(leader.Ticked{})
	}
	d.after(max(1, d.leader.NextTick().Sub(d.now)), func() { d.scheduleTick(term) })
}

// work runs f once the leader's processor has had time for it, unless the leader is gone by then.
func (d *delivery) work(micros int64, f func()) {
	term := d.term
	d.busyUntil = max(d.busyUntil, int64(d.now)*1000) + micros
	d.after(clock.Millis(d.busyUntil/1000).Sub(d.now), func() {
		if term == d.term {
			f()
		}
	})
}

func (d *delivery) step(e leader.Event) {
	if d.leader == nil {
		return
	}
	for _, f := range d.leader.Step(d.now, e) {
		d.effect(f)
	}
}

func (d *delivery) effect(f leader.Effect) {
	term := d.term
	switch f := f.(type) {
	case leader.Propose:
		d.after(commitDelay, func() { d.commitIn(term, f.Command()) })
	case leader.Confirm:
		d.after(commitDelay, func() {
			if term == d.term {
				d.step(leader.NewConfirmed(f.Token()))
			}
		})
	case leader.SendLease:
		d.send(f.Session(), agent.NewLeaseGranted(f.Sequence(), f.TTL(), f.RulesTTL(), f.Version(), groupID))
	case leader.SendUpdate:
		u := f.Update()
		d.send(f.Session(), agent.NewTableUpdated(u.Full(), u.From(), u.To(), u.Changes()))
	case leader.SendRejoin:
		d.send(f.Session(), agent.NewRejoinRequired(f.Incarnation()))
	}
}

func (d *delivery) commitIn(term int, c logcmd.Command) {
	if term == d.term {
		d.commit(c)
	}
}

func (d *delivery) send(id leader.SessionID, e agent.Event) {
	s, ok := d.sessions[id]
	if !ok {
		return
	}
	d.after(linkDelay+messageSteps*s.lag, func() {
		if s.session == id && !s.cut {
			s.step(e)
		}
	})
}

// delays returns how long each daemon took to have each version accepted from an instant on, in ascending order.
func (d *delivery) delays(from clock.Millis) []clock.Millis {
	var list []clock.Millis
	for _, a := range d.accepted {
		for _, s := range d.daemons {
			if a.at >= from {
				list = append(list, s.since(a).Sub(a.at))
			}
		}
	}
	slices.Sort(list)
	return list
}
