package leader_test

import (
	"fmt"
	"maps"
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/command/agent"
	"verbenabank/core/command/leader"
	"verbenabank/core/state/load"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
)

// inFlightRequest is a request that the target executes, and the shard it was admitted under.
type inFlightRequest struct {
	key   string
	shard table.Shard
}

// daemon simulates one daemon: an agent on a clock with its own rate, a target and requests.
type daemon struct {
	sim          *simulation
	name         string
	agent        *agent.Agent
	generation   int     // rises with each restart, so that callbacks of earlier processes are dropped
	clockRate    float64 // of the local clock, against that of the simulation
	snap         *snap.Snapshot
	frozen       bool
	deferred     []func() // to run at the end of a freeze
	leader       *leaderNode
	session      leader.SessionID
	lastArrival  clock.Millis // of a message from the leader, so that the session keeps their order
	lastSend     clock.Millis // arrival of the last message to the leader, for the same reason
	inFlight     map[table.Shard]int
	requests     map[*inFlightRequest]bool
	onDrained    map[table.Shard][]func()
	targetStarts int
}

func newDaemon(sm *simulation, n int) *daemon {
	d := &daemon{sim: sm, name: fmt.Sprint("d", n), clockRate: 0.96 + 0.08*sm.rand.Float64()}
	d.start()
	return d
}

// start starts or restarts the daemon. Nothing of the process before is left.
func (d *daemon) start() {
	d.generation++
	d.agent = agent.New(agent.WithInstance(d.name, d.zone(), d.name), agent.WithRandom(d.sim.rand.Uint64), agent.WithZoneDrain(zoneDrainLimit))
	d.snap = snap.New(table.Empty(), 0, 0, 0)
	d.inFlight, d.onDrained = map[table.Shard]int{}, map[table.Shard][]func(){}
	d.requests = map[*inFlightRequest]bool{}
	d.leader, d.session = nil, 0
	d.announce()
	gen := d.generation
	d.sim.after(1, func() { d.scheduleTick(gen) })
	d.sim.after(d.sim.randomUpTo(20), func() { d.connect(gen) })
	d.sim.after(d.sim.randomUpTo(20), func() { d.startRequests(gen) })
}

// zone returns the zone of the daemon, one of two.
func (d *daemon) zone() string { return zones[int(d.name[1]-'0')%len(zones)] }

func (d *daemon) localTime() clock.Millis {
	return clock.Millis(float64(d.sim.now)*d.clockRate) + 1_000_000
}

func (d *daemon) announce() {
	d.targetStarts++
	d.step(agent.NewAnnounced(service, "t", fmt.Sprint(d.name, d.targetStarts)))
}

// whenRunning runs f now, or at the end of a freeze.
func (d *daemon) whenRunning(f func()) {
	gen := d.generation
	if d.frozen {
		d.deferred = append(d.deferred, func() { d.whenRunning(f) })
		return
	}
	if gen == d.generation {
		f()
	}
}

func (d *daemon) step(e agent.Event) {
	for _, f := range d.agent.Step(d.localTime(), e) {
		d.effect(f)
	}
}

func (d *daemon) scheduleTick(gen int) {
	d.whenRunning(func() {
		if gen != d.generation {
			return
		}
		if d.agent.NextTick() <= d.localTime() {
			d.step(agent.Ticked{})
		}
		d.sim.after(max(1, clock.Millis(float64(d.agent.NextTick().Sub(d.localTime()))/d.clockRate)), func() { d.scheduleTick(gen) })
	})
}

func (d *daemon) effect(f agent.Effect) {
	switch f := f.(type) {
	case agent.Publish:
		d.snap = f.Snap()
	case agent.SendJoin:
		d.send(leader.NewJoinRequested(d.session, f.Member(), f.Group()))
	case agent.SendRenew:
		d.send(leader.NewRenewRequested(d.session, f.Incarnation(), f.Sequence(), f.Version(), f.Releases(), load.Report{}))
	case agent.SendLeave:
		d.send(leader.NewLeaveRequested(f.Incarnation()))
	case agent.SendGone:
		d.send(leader.NewGoneReported(f.Incarnation()))
	case agent.AwaitQuiesced:
		d.awaitQuiesced(f)
	case agent.AwaitShardDrained:
		d.watchShard(f)
	case agent.AwaitAllDrained:
		d.watchAll()
	case agent.DropTarget:
		d.dropTarget()
	case agent.Reconnect:
		d.disconnect(d.session)
	case agent.TargetReleased:
		d.sim.after(d.sim.randomUpTo(300), func() { d.whenRunning(d.announce) })
	case agent.InvariantViolated:
		d.sim.fail("%s: %s", d.name, f.Problem())
	case agent.UseTarget, agent.DrainTarget, agent.Stopped:
	}
}

// awaitQuiesced waits for requests that may be for keys of the shard, and then for a random time.
func (d *daemon) awaitQuiesced(f agent.AwaitQuiesced) {
	gen, quiesced := d.generation, agent.NewShardQuiesced(f.Service(), f.Shard(), f.Epoch())
	var before []*inFlightRequest
	for v := range d.requests {
		removed := v.shard >= table.FirstOverride && d.sim.mutation == forgetRemoved
		if f.SharesKeys(v.shard) && d.sim.mutation != drainOwnShardOnly && !removed {
			before = append(before, v)
		}
	}
	var wait func()
	wait = func() {
		if gen != d.generation {
			return
		}
		for _, v := range before {
			if d.requests[v] {
				d.sim.after(1, wait)
				return
			}
		}
		d.sim.after(d.sim.randomUpTo(100), func() {
			d.whenRunning(func() {
				if gen == d.generation {
					d.step(quiesced)
				}
			})
		})
	}
	wait()
}

// dropTarget aborts all requests, as closing their connections does.
func (d *daemon) dropTarget() {
	clear(d.requests)
	for _, s := range slices.Sorted(maps.Keys(d.inFlight)) {
		d.inFlight[s] = 0
		d.notifyDrained(s)
	}
}

func (d *daemon) watchShard(f agent.AwaitShardDrained) {
	e := agent.NewShardDrained(f.Service(), f.Shard(), f.Epoch())
	gen := d.generation
	d.onDrained[f.Shard()] = append(d.onDrained[f.Shard()], func() {
		d.sim.after(0, func() {
			d.whenRunning(func() {
				if gen == d.generation {
					d.step(e)
				}
			})
		})
	})
	d.notifyDrained(f.Shard())
}

func (d *daemon) notifyDrained(s table.Shard) {
	if d.inFlight[s] > 0 && d.sim.mutation != releaseInFlight {
		return
	}
	list := d.onDrained[s]
	d.onDrained[s] = nil
	for _, f := range list {
		f()
	}
}

func (d *daemon) watchAll() {
	gen := d.generation
	d.sim.after(1, func() {
		d.whenRunning(func() {
			total := 0
			for _, n := range d.inFlight {
				total += n
			}
			switch {
			case gen != d.generation:
			case total > 0:
				d.watchAll()
			default:
				d.step(agent.AllDrained{})
			}
		})
	})
}

// connect opens a session with the node that was elected last, which may have been deposed since.
func (d *daemon) connect(gen int) {
	if gen != d.generation {
		return
	}
	d.whenRunning(func() {
		ln := d.sim.leader
		if gen != d.generation || d.session != 0 || ln == nil {
			if gen == d.generation {
				d.sim.after(20, func() { d.connect(gen) })
			}
			return
		}
		d.sim.session++
		d.session, d.leader, d.lastArrival = d.sim.session, ln, 0
		ln.sessions[d.session] = d
		ln.step(leader.NewSessionOpened(d.session))
		d.step(agent.Connected{})
		d.sim.after(20, func() { d.connect(gen) })
	})
}

// disconnect ends a session and reconnects after a random delay.
func (d *daemon) disconnect(s leader.SessionID) {
	if s == 0 || d.session != s {
		return
	}
	ln := d.leader
	delete(ln.sessions, s)
	ln.step(leader.NewSessionClosed(s))
	d.session, d.leader = 0, nil
	gen := d.generation
	d.whenRunning(func() {
		if gen == d.generation {
			d.step(agent.Disconnected{})
			d.sim.after(d.sim.randomUpTo(20), func() { d.connect(gen) })
		}
	})
}

// send delivers a message to the leader after a delay that may be long; messages keep their order.
func (d *daemon) send(e leader.Event) {
	ln, s := d.leader, d.session
	if ln == nil {
		return
	}
	d.lastSend = max(d.lastSend, d.sim.now.Add(d.sim.delay()))
	d.sim.after(d.lastSend.Sub(d.sim.now), func() {
		if _, ok := ln.sessions[s]; ok {
			ln.step(e)
		}
	})
}

// deliver delivers a message from the leader after a delay; messages keep their order.
func (d *daemon) deliver(s leader.SessionID, e agent.Event) {
	d.lastArrival = max(d.lastArrival, d.sim.now.Add(d.sim.delay()))
	d.sim.after(d.lastArrival.Sub(d.sim.now), func() {
		d.whenRunning(func() {
			if d.session == s {
				d.step(d.mutateLease(e))
			}
		})
	})
}

// mutateLease implements the mutation countFromAnswer: the lease counts from the arrival of the
// answer instead of from the sending of the renewal.
func (d *daemon) mutateLease(e agent.Event) agent.Event {
	if _, ok := e.(agent.LeaseGranted); ok && d.sim.mutation == countFromAnswer {
		d.snap = snap.New(d.agent.Table(), d.snap.Self(), d.localTime().Add(650), d.localTime().Add(650))
		d.step(e)
		if i, ok := d.agent.Self(); ok {
			d.snap = snap.New(d.agent.Table(), i, d.localTime().Add(650), d.localTime().Add(650))
		}
		return agent.Ticked{}
	}
	return e
}

// delay returns a network delay: mostly short, but up to 1200 ms for one message in fifty.
func (sm *simulation) delay() clock.Millis {
	if sm.rand.IntN(50) == 0 && !sm.noLongDelays {
		return sm.randomUpTo(1200)
	}
	return 1 + sm.randomUpTo(4)
}

func (d *daemon) owns(s table.Shard) (table.Epoch, bool) {
	return d.snap.Owns(service, s, d.localTime())
}

// freeze suspends a daemon for a while; its clock and the target's requests go on.
func (d *daemon) freeze(duration clock.Millis) {
	if d.frozen {
		return
	}
	d.frozen = true
	d.sim.faults++
	d.sim.after(duration, func() {
		d.frozen = false
		deferred := d.deferred
		d.deferred = nil
		for _, f := range deferred {
			f()
		}
	})
}
