// Package agent decides for a daemon: when it joins, renews and leaves, what it
// owns, and what it does when its target comes or goes.
//
// An Agent is for the control goroutine only. Step changes it and returns
// effects; nothing here waits, and nothing knows how messages are encoded.
package agent

import (
	"verbenabank/core/clock"
	"verbenabank/core/command/hold"
	"verbenabank/core/command/lease"
	"verbenabank/core/state/load"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
)

// Agent is the control state of one daemon.
type Agent struct {
	instance string
	zone     string
	address  string
	draw     func() uint64
	terms    lease.Params
	hold     clock.Millis // the longest of a target
	drainMax clock.Millis // 0 if only the rules bound a drain
	lasting  bool         // the rules may be used without a lease

	now       clock.Millis
	connected bool
	group     uint64
	table     *table.Table
	holder    *lease.Holder
	self      table.Incarnation
	joined    bool
	nextRenew clock.Millis
	asking    clock.Millis // since when a join is open without a sign of the leader, 0 if none is
	report    load.Report
	handing   map[logcmd.Release]handover

	target target
	next   target
	room   int           // slots of the target
	heard  life          // the target that was heard last
	beside string        // address of the target, "" if any will do
	book   *hold.Tracker // nil without a target
	orders uint64        // number of the last order to any target
	leave  exit
	effect []Effect
}

// target is the target beside the daemon; the zero value is none.
type target struct {
	service string
	address string
	boot    string
	name    string
	life    uint64
	born    uint64
}

// Option sets one property of an Agent.
type Option func(*Agent)

// WithInstance sets the instance, its availability zone, and the address
// ("ip:port") at which other daemons reach this one.
func WithInstance(name, zone, address string) Option {
	return func(a *Agent) { a.instance, a.zone, a.address = name, zone, address }
}

// WithRandom sets the source of incarnations.
func WithRandom(draw func() uint64) Option { return func(a *Agent) { a.draw = draw } }

// DefaultHold is the longest hold in milliseconds that is asked of a target.
const DefaultHold = 10 * clock.Second

// WithLeaseParams sets the terms of leases.
func WithLeaseParams(t lease.Params) Option { return func(a *Agent) { a.terms = t } }

// WithMaxHold sets the longest hold in milliseconds that a target takes.
func WithMaxHold(most clock.Millis) Option { return func(a *Agent) { a.hold = most } }

// WithMaxDrain bounds how long a target that is about to stop gets new work, in milliseconds.
func WithMaxDrain(most clock.Millis) Option { return func(a *Agent) { a.drainMax = most } }

// WithTargetAddress sets the address ("ip:port") of the target; words of others count for nothing.
func WithTargetAddress(address string) Option { return func(a *Agent) { a.beside = address } }

// WithLastingRules lets traffic go on under the rules that are known while there is no
// leader to ask for newer ones.
func WithLastingRules() Option { return func(a *Agent) { a.lasting = true } }

// New returns an agent that has no session, no target and no lease.
func New(opts ...Option) *Agent {
	a := &Agent{
		draw:    func() uint64 { return 1 },
		table:   table.Empty(),
		terms:   lease.DefaultParams(),
		hold:    DefaultHold,
		handing: map[logcmd.Release]handover{},
		leave:   staying{},
	}
	for _, o := range opts {
		o(a)
	}
	a.holder = lease.NewHolder(lease.WithParams(a.terms))
	a.self = a.incarnate()
	return a
}

// Step reacts to an event at now.
func (a *Agent) Step(now clock.Millis, e Event) []Effect {
	a.now, a.effect = now, nil
	a.react(e)
	a.progress()
	a.command()
	return a.effect
}

func (a *Agent) react(e Event) {
	switch e := e.(type) {
	case Ticked:
		a.tick()
	case Announced:
		a.announced(e)
	case Withdrawn:
		a.withdrawn()
	case TargetLost:
		a.targetLost(e)
	case Connected:
		a.connect()
	case Disconnected:
		a.connected = false
	case LeaseGranted:
		a.leaseGiven(e)
	case TableUpdated:
		a.updated(e)
	case RejoinRequired:
		a.rejoinTold(e)
	case LoadMeasured:
		a.report = e.report
	case ShardQuiesced:
		a.shardQuiet(e)
	case ShardDrained:
		a.shardDrained(e)
	case AllDrained:
		a.allDrained()
	case StopRequested:
		a.stopAsked()
	case Heartbeat:
		a.beat(e)
	case CallEnded:
		a.orderEnded(e)
	}
}

// NextTick returns the instant of the next Ticked event.
func (a *Agent) NextTick() clock.Millis {
	wake := a.nextRenew
	if d, ok := a.deadline(); ok && d < wake {
		wake = d
	}
	if a.book != nil {
		wake = min(wake, a.book.NextDue(a.now))
	}
	return wake
}

// LeaseEnd returns the instant at which ownership lapses.
func (a *Agent) LeaseEnd() clock.Millis { return a.holder.End() }

// Table returns the daemon's routing table.
func (a *Agent) Table() *table.Table { return a.table }

// Self returns the incarnation and whether it is a member.
func (a *Agent) Self() (table.Incarnation, bool) { return a.self, a.joined }

func (a *Agent) emit(e Effect) { a.effect = append(a.effect, e) }

func (a *Agent) incarnate() table.Incarnation {
	if a.target.life != 0 {
		return table.Incarnation(a.target.life)
	}
	for {
		if i := table.Incarnation(a.draw()); i != 0 {
			return i
		}
	}
}

// publish shows traffic the present state. A daemon that is to leave at once
// owns nothing.
func (a *Agent) publish() {
	self := a.self
	if !a.joined || a.parted() {
		self = 0
	}
	rules := a.holder.RulesEnd()
	if a.lasting && a.table.Rules().Version() > 0 {
		rules = never
	}
	a.emit(Publish{snap: snap.New(a.table, self, a.holder.End(), rules, snap.WithDraining(a.closedPlaces()), snap.WithHeldRanges(a.runs()))})
}

func (a *Agent) rulesOf(service string) (rules.Service, bool) {
	return a.table.Rules().Service(service)
}
