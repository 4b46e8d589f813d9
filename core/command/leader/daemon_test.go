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

// visit is a request in flight.
type visit struct {
	key   string
	shard table.Shard
}

// daemon runs one agent with a clock of its own rate, a target and requests.
type daemon struct {
	world   *world
	name    string
	agent   *agent.Agent
	life    int
	rate    float64 // of the local clock
	snap    *snap.Snapshot
	frozen  bool
	held    []func() // what waits for the end of a freeze
	office  *office
	session leader.SessionID
	arrival clock.Millis // of the last order, so that a session keeps its order
	sent    clock.Millis
	flight  map[table.Shard]int
	visits  map[*visit]bool
	drains  map[table.Shard][]func()
	boots   int
}

func newDaemon(w *world, n int) *daemon {
	d := &daemon{world: w, name: fmt.Sprint("d", n), rate: 0.96 + 0.08*w.rand.Float64()}
	d.start()
	return d
}

// start begins a life: nothing of the last one is left but the target's requests.
func (d *daemon) start() {
	d.life++
	d.agent = agent.New(agent.WithInstance(d.name, "z", d.name), agent.WithRandom(d.world.rand.Uint64))
	d.snap = snap.New(table.Empty(), 0, 0, 0)
	d.flight, d.drains = map[table.Shard]int{}, map[table.Shard][]func(){}
	d.visits = map[*visit]bool{}
	d.office, d.session = nil, 0
	d.announce()
	life := d.life
	d.world.after(1, func() { d.timer(life) })
	d.world.after(d.world.span(20), func() { d.connect(life) })
	d.world.after(d.world.span(20), func() { d.request(life) })
}

func (d *daemon) local() clock.Millis { return clock.Millis(float64(d.world.now)*d.rate) + 1_000_000 }

func (d *daemon) announce() {
	d.boots++
	d.step(agent.NewAnnounced(service, "t", fmt.Sprint(d.name, d.boots)))
}

// awake runs f now, or after the freeze.
func (d *daemon) awake(f func()) {
	life := d.life
	if d.frozen {
		d.held = append(d.held, func() { d.awake(f) })
		return
	}
	if life == d.life {
		f()
	}
}

func (d *daemon) step(e agent.Event) {
	for _, f := range d.agent.Step(d.local(), e) {
		d.effect(f)
	}
}

func (d *daemon) timer(life int) {
	d.awake(func() {
		if life != d.life {
			return
		}
		if d.agent.NextTick() <= d.local() {
			d.step(agent.Ticked{})
		}
		d.world.after(max(1, clock.Millis(float64(d.agent.NextTick().Sub(d.local()))/d.rate)), func() { d.timer(life) })
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
		d.awaitQuiet(f)
	case agent.AwaitShardDrained:
		d.watch(f)
	case agent.AwaitAllDrained:
		d.watchAll()
	case agent.DropTarget:
		d.drop()
	case agent.Reconnect:
		d.lose(d.session)
	case agent.TargetReleased:
		d.world.after(d.world.span(300), func() { d.awake(d.announce) })
	case agent.InvariantViolated:
		d.world.fail("%s: %s", d.name, f.Problem())
	case agent.UseTarget, agent.DrainTarget, agent.Stopped:
	}
}

// awaitQuiet waits for what may be for keys of the shard, and then for a while.
func (d *daemon) awaitQuiet(f agent.AwaitQuiesced) {
	life, quiet := d.life, agent.NewShardQuiesced(f.Service(), f.Shard(), f.Epoch())
	var before []*visit
	for v := range d.visits {
		removed := v.shard >= table.FirstOverride && d.world.flaw == forgetRemoved
		if f.SharesKeys(v.shard) && d.world.flaw != drainOwnShardOnly && !removed {
			before = append(before, v)
		}
	}
	var wait func()
	wait = func() {
		if life != d.life {
			return
		}
		for _, v := range before {
			if d.visits[v] {
				d.world.after(1, wait)
				return
			}
		}
		d.world.after(d.world.span(100), func() {
			d.awake(func() {
				if life == d.life {
					d.step(quiet)
				}
			})
		})
	}
	wait()
}

// drop ends all requests, as closing their connections does.
func (d *daemon) drop() {
	clear(d.visits)
	for _, s := range slices.Sorted(maps.Keys(d.flight)) {
		d.flight[s] = 0
		d.drained(s)
	}
}

func (d *daemon) watch(f agent.AwaitShardDrained) {
	e := agent.NewShardDrained(f.Service(), f.Shard(), f.Epoch())
	life := d.life
	d.drains[f.Shard()] = append(d.drains[f.Shard()], func() {
		d.world.after(0, func() {
			d.awake(func() {
				if life == d.life {
					d.step(e)
				}
			})
		})
	})
	d.drained(f.Shard())
}

func (d *daemon) drained(s table.Shard) {
	if d.flight[s] > 0 && d.world.flaw != releaseInFlight {
		return
	}
	list := d.drains[s]
	d.drains[s] = nil
	for _, f := range list {
		f()
	}
}

func (d *daemon) watchAll() {
	life := d.life
	d.world.after(1, func() {
		d.awake(func() {
			total := 0
			for _, n := range d.flight {
				total += n
			}
			switch {
			case life != d.life:
			case total > 0:
				d.watchAll()
			default:
				d.step(agent.AllDrained{})
			}
		})
	})
}

// connect looks for the leader, who may have been deposed without notice.
func (d *daemon) connect(life int) {
	if life != d.life {
		return
	}
	d.awake(func() {
		o := d.world.office
		if life != d.life || d.session != 0 || o == nil {
			if life == d.life {
				d.world.after(20, func() { d.connect(life) })
			}
			return
		}
		d.world.session++
		d.session, d.office, d.arrival = d.world.session, o, 0
		o.sessions[d.session] = d
		o.step(leader.NewSessionOpened(d.session))
		d.step(agent.Connected{})
		d.world.after(20, func() { d.connect(life) })
	})
}

// lose ends a session.
func (d *daemon) lose(s leader.SessionID) {
	if s == 0 || d.session != s {
		return
	}
	o := d.office
	delete(o.sessions, s)
	o.step(leader.NewSessionClosed(s))
	d.session, d.office = 0, nil
	life := d.life
	d.awake(func() {
		if life == d.life {
			d.step(agent.Disconnected{})
			d.world.after(d.world.span(20), func() { d.connect(life) })
		}
	})
}

// send carries a report in order, with a delay that may be long.
func (d *daemon) send(e leader.Event) {
	o, s := d.office, d.session
	if o == nil {
		return
	}
	d.sent = max(d.sent, d.world.now.Add(d.world.delay()))
	d.world.after(d.sent.Sub(d.world.now), func() {
		if _, ok := o.sessions[s]; ok {
			o.step(e)
		}
	})
}

// deliver carries an order in order.
func (d *daemon) deliver(s leader.SessionID, e agent.Event) {
	d.arrival = max(d.arrival, d.world.now.Add(d.world.delay()))
	d.world.after(d.arrival.Sub(d.world.now), func() {
		d.awake(func() {
			if d.session == s {
				d.step(d.late(e))
			}
		})
	})
}

// late is the flaw of counting a lease from its answer instead of from the
// sending of the renewal.
func (d *daemon) late(e agent.Event) agent.Event {
	if _, ok := e.(agent.LeaseGranted); ok && d.world.flaw == countFromAnswer {
		d.snap = snap.New(d.agent.Table(), d.snap.Self(), d.local().Add(650), d.local().Add(650))
		d.step(e)
		if i, ok := d.agent.Self(); ok {
			d.snap = snap.New(d.agent.Table(), i, d.local().Add(650), d.local().Add(650))
		}
		return agent.Ticked{}
	}
	return e
}

// delay is mostly short; one message in fifty is very late.
func (w *world) delay() clock.Millis {
	if w.rand.IntN(50) == 0 && !w.prompt {
		return w.span(1200)
	}
	return 1 + w.span(4)
}

func (d *daemon) owns(s table.Shard) (table.Epoch, bool) { return d.snap.Owns(service, s, d.local()) }

// freeze stops all of a daemon but its clock.
func (d *daemon) freeze(span clock.Millis) {
	if d.frozen {
		return
	}
	d.frozen = true
	d.world.faults++
	d.world.after(span, func() {
		d.frozen = false
		held := d.held
		d.held = nil
		for _, f := range held {
			f()
		}
	})
}
