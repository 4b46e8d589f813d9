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
	"verbenabank/core/state/order"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
)

// Agent is the control state of one daemon.
type Agent struct {
	instance         string
	zone             string
	address          string
	random           func() uint64
	terms            lease.Terms
	maxHold          clock.Millis // the longest of a target
	maxDrain         clock.Millis // 0 if only the rules bound a drain
	rulesNeverExpire bool         // the rules may be used without a lease

	now          clock.Millis
	connected    bool
	group        uint64
	table        *table.Table
	holder       *lease.Holder
	self         table.Incarnation
	joined       bool
	nextRenew    clock.Millis
	joiningSince clock.Millis // since when a join is open without a sign of the leader, 0 if none is
	report       load.Report
	handovers    map[order.Release]handover

	target        target
	nextTarget    target
	slots         int         // slots of the target
	lastHeard     heardTarget // the target that was heard last
	targetAddress string      // address of the target, "" if any will do
	book          *hold.Book  // nil without a target
	lastOrderID   uint64      // number of the last order to any target
	shutdown      shutdownState
	effects       []Effect
}

// target is the target beside the daemon; the zero value is none.
type target struct {
	service     string
	address     string
	boot        string
	name        string
	incarnation uint64
	startTime   uint64
}

// Option sets one property of an Agent.
type Option func(*Agent)

// WithInstance sets the instance, its availability zone, and the address
// ("ip:port") at which other daemons reach this one.
func WithInstance(name, zone, address string) Option {
	return func(a *Agent) { a.instance, a.zone, a.address = name, zone, address }
}

// WithRandom sets the source of incarnations.
func WithRandom(draw func() uint64) Option { return func(a *Agent) { a.random = draw } }

// DefaultHold is the longest hold in milliseconds that is asked of a target.
const DefaultHold = 10 * clock.Second

// WithTerms sets the terms of leases.
func WithTerms(t lease.Terms) Option { return func(a *Agent) { a.terms = t } }

// WithHold sets the longest hold in milliseconds that a target takes.
func WithHold(most clock.Millis) Option { return func(a *Agent) { a.maxHold = most } }

// WithDrain bounds how long a target that is about to stop gets new work, in milliseconds.
func WithDrain(most clock.Millis) Option { return func(a *Agent) { a.maxDrain = most } }

// WithBeside sets the address ("ip:port") of the target; words of others count for nothing.
func WithBeside(address string) Option { return func(a *Agent) { a.targetAddress = address } }

// WithLastingRules lets traffic go on under the rules that are known while there is no
// leader to ask for newer ones.
func WithLastingRules() Option { return func(a *Agent) { a.rulesNeverExpire = true } }

// New returns an agent that has no session, no target and no lease.
func New(opts ...Option) *Agent {
	a := &Agent{
		random:    func() uint64 { return 1 },
		table:     table.Empty(),
		terms:     lease.Standard(),
		maxHold:   DefaultHold,
		handovers: map[order.Release]handover{},
		shutdown:  serving{},
	}
	for _, o := range opts {
		o(a)
	}
	a.holder = lease.NewHolder(lease.WithTerms(a.terms))
	a.self = a.newIncarnation()
	return a
}

// Step reacts to an event at now.
func (a *Agent) Step(now clock.Millis, e Event) []Effect {
	a.now, a.effects = now, nil
	a.handle(e)
	a.advanceShutdown()
	a.issueOrders()
	return a.effects
}

func (a *Agent) handle(e Event) {
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
	case LeaseGiven:
		a.leaseGranted(e)
	case Updated:
		a.tableUpdated(e)
	case RejoinTold:
		a.rejoinRequired(e)
	case Measured:
		a.report = e.report
	case ShardQuiet:
		a.shardQuiesced(e)
	case ShardDrained:
		a.shardDrained(e)
	case AllDrained:
		a.allDrained()
	case StopAsked:
		a.stopRequested()
	case Beat:
		a.heartbeat(e)
	case OrderEnded:
		a.orderEnded(e)
	}
}

// Wake returns the instant of the next Ticked event.
func (a *Agent) Wake() clock.Millis {
	wake := a.nextRenew
	if d, ok := a.shutdownDeadline(); ok && d < wake {
		wake = d
	}
	if a.book != nil {
		wake = min(wake, a.book.Wake(a.now))
	}
	return wake
}

// Lease returns the instant at which ownership lapses.
func (a *Agent) Lease() clock.Millis { return a.holder.End() }

// Table returns the daemon's routing table.
func (a *Agent) Table() *table.Table { return a.table }

// Self returns the incarnation and whether it is a member.
func (a *Agent) Self() (table.Incarnation, bool) { return a.self, a.joined }

func (a *Agent) emit(e Effect) { a.effects = append(a.effects, e) }

func (a *Agent) newIncarnation() table.Incarnation {
	if a.target.incarnation != 0 {
		return table.Incarnation(a.target.incarnation)
	}
	for {
		if i := table.Incarnation(a.random()); i != 0 {
			return i
		}
	}
}

// publish shows traffic the present state. A daemon that is to leave at once
// owns nothing.
func (a *Agent) publish() {
	self := a.self
	if !a.joined || a.refusesNewWork() {
		self = 0
	}
	rules := a.holder.RulesEnd()
	if a.rulesNeverExpire && a.table.Rules().Version() > 0 {
		rules = never
	}
	a.emit(Publish{snap: snap.New(a.table, self, a.holder.End(), rules, snap.WithClosed(a.closedShards()), snap.WithRuns(a.heldRuns()))})
}

func (a *Agent) rulesOf(service string) (rules.Service, bool) {
	return a.table.Rules().Service(service)
}
