package leader_test

import (
	"fmt"

	"verbenabank/core/clock"
	"verbenabank/core/command/agent"
	"verbenabank/core/command/hold"
	"verbenabank/core/command/leader"
	"verbenabank/core/state/load"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
)

const (
	heartbeatInterval = 1500 * clock.Millisecond
	maxHeartbeatDelay = 5 * clock.Second
	callTimeout       = 700 * clock.Millisecond
	silenceForLoss    = 3500 * clock.Millisecond
	refusalsForLoss   = 20 * clock.Millisecond
)

// grantDaemon is a daemon with a real agent. Its target is one process after the other at one address.
type grantDaemon struct {
	sim        *grantSimulation
	name       string
	generation int // rises with each restart
	agent      *agent.Agent
	snap       *snap.Snapshot
	session    leader.SessionID
	current    string     // name of the process that gets calls
	listener   *process   // process at the address, nil if there is none
	processes  []*process // all of them, for late heartbeats
	answeredAt clock.Millis
}

func (d *grantDaemon) start() {
	d.generation++
	params := grantLeaseParams
	d.agent = agent.New(agent.WithInstance(d.name, "z", d.name), agent.WithRandom(d.sim.rand.Uint64), agent.WithLeaseParams(params),
		agent.WithLastingRules())
	d.snap, d.session, d.current, d.answeredAt = snap.New(table.Empty(), 0, 0, 0), 0, "", d.sim.now
	gen := d.generation
	d.sim.after(d.sim.randomUpTo(20), func() { d.connect(gen) })
	d.sim.after(1, func() { d.scheduleTick(gen) })
}

// step passes an event to the agent, unless the daemon was restarted since.
func (d *grantDaemon) step(gen int, e agent.Event) {
	if gen != d.generation {
		return
	}
	for _, f := range d.agent.Step(d.sim.now, e) {
		d.effect(f)
	}
}

func (d *grantDaemon) scheduleTick(gen int) {
	if gen != d.generation {
		return
	}
	if d.agent.NextTick() <= d.sim.now {
		d.step(gen, agent.Ticked{})
	}
	d.sim.after(max(1, min(50, d.agent.NextTick().Sub(d.sim.now))), func() { d.scheduleTick(gen) })
}

func (d *grantDaemon) effect(f agent.Effect) {
	gen := d.generation
	switch f := f.(type) {
	case agent.Publish:
		d.snap = f.Snap()
	case agent.SendJoin:
		d.send(func(s leader.SessionID) leader.Event { return leader.NewJoinRequested(s, f.Member(), f.Group()) })
	case agent.SendRenew:
		d.send(func(s leader.SessionID) leader.Event {
			return leader.NewRenewRequested(s, f.Incarnation(), f.Sequence(), f.Version(), f.Releases(), load.Report{}).WithSpans(f.Spans())
		})
	case agent.SendLeave:
		d.send(func(leader.SessionID) leader.Event {
			return leader.NewLeaveRequested(f.Incarnation()).WithTargetLeft(f.TargetLeft())
		})
	case agent.SendGone:
		d.send(func(leader.SessionID) leader.Event { return leader.NewGoneReported(f.Incarnation()) })
	case agent.AwaitAllDrained:
		d.sim.after(d.sim.randomUpTo(200), func() { d.step(gen, agent.AllDrained{}) })
	case agent.UseTarget:
		d.current, d.answeredAt = f.Name(), d.sim.now
	case agent.SendCall:
		d.sim.after(d.sim.delay(), func() { d.call(gen, d.current, f.Call()) })
	case agent.IdentifyTarget:
		d.identify(gen)
	case agent.Reconnect:
		d.disconnect(d.session)
	case agent.InvariantViolated:
		d.sim.fail("%s: %s", d.name, f.Problem())
	case agent.AwaitQuiesced, agent.AwaitShardDrained, agent.DropTarget, agent.DrainTarget, agent.TargetReleased, agent.Stopped, agent.AnswerHeartbeat:
	}
}

// call makes a call on a connection to the named process. A connection that was opened while the process ran leads to
// it until it ends; a new one says which process listens.
func (d *grantDaemon) call(gen int, name string, c hold.Call) {
	answer := func(r hold.Result) {
		d.sim.after(d.sim.delay(), func() { d.step(gen, agent.NewCallEnded(c.ID(), r)) })
	}
	p := d.listener
	if d.sim.mutation != grantsToAddress && (p == nil || p.name != name) {
		p = d.processNamed(name)
	}
	switch {
	case p == nil || !p.up:
		answer(hold.Ended{})
		return
	case !p.listens && d.sim.rand.IntN(2) == 0:
		answer(hold.Unreached{}) // no idle connection is left, but one in use
		return
	}
	arrived, late, answered := d.sim.now, clock.Millis(0), d.sim.calm || d.sim.rand.IntN(6) > 0
	if !answered {
		late = d.sim.randomUpTo(6 * clock.Second)
	}
	ended := false
	reply := func(r hold.Result) {
		if !ended && answered && p.up && d.sim.now < arrived+callTimeout {
			ended = true
			d.answeredAt = d.sim.now
			answer(r)
		}
	}
	d.sim.after(callTimeout, func() {
		if !ended {
			ended = true
			answer(hold.Unanswered{})
		}
	})
	d.sim.after(late, func() {
		p.whenRunning(func() {
			switch c := c.(type) {
			case hold.Grant:
				reply(p.grant(c, arrived))
			case hold.Release:
				p.release(c, reply)
			}
		})
	})
}

// identify asks the process at the address for its name. One that is busy or frozen says nothing.
func (d *grantDaemon) identify(gen int) {
	name := d.current
	d.sim.after(d.sim.delay(), func() {
		var r hold.Result = hold.Unreached{}
		switch p := d.listener; {
		case p == nil:
			r = hold.Ended{}
		case p.frozen, !p.listens, d.sim.rand.IntN(6) == 0:
		case p.name == name:
			r = hold.NewDone("")
		default:
			r = hold.Ended{}
		}
		d.sim.after(d.sim.delay(), func() { d.step(gen, agent.NewTargetIdentified(name, r)) })
	})
}

func (d *grantDaemon) processNamed(name string) *process {
	for _, p := range d.processes {
		if p.name == name {
			return p
		}
	}
	return nil
}

// startProcess starts the next process at the address. Now and then, every clockSetBack times, the wall clock was set
// back before.
func (d *grantDaemon) startProcess(clockSetBack int) {
	startTime := uint64(d.sim.now)
	if d.sim.rand.IntN(clockSetBack) == 0 {
		startTime -= min(startTime-1, uint64(d.sim.rand.IntN(5000)))
	}
	p := newProcess(d.sim, fmt.Sprintf("%s-%d", d.name, len(d.processes)), startTime)
	d.listener, d.processes = p, append(d.processes, p)
	d.sendHeartbeats(p)
}

// sendHeartbeats sends heartbeats while the process runs. Some arrive late, also after its end.
func (d *grantDaemon) sendHeartbeats(p *process) {
	if !p.up {
		return
	}
	p.whenRunning(func() {
		p.sequence++
		h := agent.NewHeartbeat(p.name, p.startTime, p.sequence, agent.Accepting{}).WithService(orderedService, d.name, 9)
		delay := d.sim.delay()
		if d.sim.rand.IntN(4) == 0 {
			delay = d.sim.randomUpTo(maxHeartbeatDelay)
		}
		d.sim.after(delay, func() {
			if p.name == d.current {
				d.answeredAt = d.sim.now
			}
			d.step(d.generation, h)
		})
	})
	d.sim.after(heartbeatInterval, func() { d.sendHeartbeats(p) })
}

// watch detects the loss of the target: no process listens at its address, or the target is silent.
func (d *grantDaemon) watch() {
	gen := d.generation
	switch {
	case d.listener == nil || !d.listener.listens:
		if d.sim.rand.IntN(2) == 0 {
			d.step(gen, agent.NewTargetLost(agent.PortClosed{}))
		}
	case d.sim.now.Sub(d.answeredAt) > silenceForLoss:
		d.step(gen, agent.NewTargetLost(agent.Unresponsive{}))
		d.answeredAt = d.sim.now
	}
	d.sim.after(refusalsForLoss, d.watch)
}

// work begins requests for the keys that this daemon believes its target to hold.
func (d *grantDaemon) work() {
	for k := range table.Key(grantKeys) {
		if _, ok := d.snap.OwnsKey(orderedService, k, d.sim.now); !ok || d.listener == nil || d.listener.frozen {
			continue
		}
		if p := d.listener; p.name == d.current && p.holds(k) {
			d.sim.begun++
			p.busyUntil[k] = max(p.busyUntil[k], d.sim.now+d.sim.randomUpTo(300))
		}
	}
	d.sim.after(1+d.sim.randomUpTo(40), d.work)
}

func (d *grantDaemon) connect(gen int) {
	if gen != d.generation || d.session != 0 {
		return
	}
	d.sim.lastSession++
	d.session = d.sim.lastSession
	d.sim.sessions[d.session] = d
	d.sim.stepLeader(leader.NewSessionOpened(d.session))
	d.step(gen, agent.Connected{})
}

// disconnect ends a session, and connects again a little later.
func (d *grantDaemon) disconnect(s leader.SessionID) {
	if s == 0 || d.session != s {
		return
	}
	delete(d.sim.sessions, s)
	d.session = 0
	d.sim.stepLeader(leader.NewSessionClosed(s))
	gen := d.generation
	d.step(gen, agent.Disconnected{})
	d.sim.after(d.sim.randomUpTo(200), func() { d.connect(gen) })
}

// send delivers a message to the leader, in order.
func (d *grantDaemon) send(message func(leader.SessionID) leader.Event) {
	s := d.session
	if s == 0 {
		return
	}
	d.sim.after(2, func() {
		if d.sim.sessions[s] == d {
			d.sim.stepLeader(message(s))
		}
	})
}
