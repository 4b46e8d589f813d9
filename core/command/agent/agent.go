// Package agent is the control state machine of a daemon. It decides when the daemon joins,
// renews its lease and leaves, which shards it owns, and how it reacts when its target
// starts, stops or fails.
//
// An Agent must be used by the control goroutine only. Step takes an event, changes the
// state and returns effects for the caller to carry out. Nothing here blocks or
// depends on the encoding of messages.
package agent

import (
	"verbenabank/core/clock"
	"verbenabank/core/command/hold"
	"verbenabank/core/command/lease"
	"verbenabank/core/state/grant"
	"verbenabank/core/state/load"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
)

// Agent is the control state of one daemon. It is not safe for concurrent use.
type Agent struct {
	instance         string
	zone             string
	address          string
	random           func() uint64
	params           lease.Params
	maxGrantTTL      clock.Millis // maximum TTL of a grant to the target
	maxDrain         clock.Millis // 0 if only the rules limit the drain
	delivery         grant.Delivery
	rulesNeverExpire bool // rules stay valid without a lease on them
	zoneDrain        clock.Millis

	now          clock.Millis
	connected    bool
	group        uint64
	table        *table.Table
	holder       *lease.Holder
	self         table.Incarnation
	joined       bool
	nextRenew    clock.Millis
	joiningSince clock.Millis // when the unanswered join began, 0 if none is open
	freshness    freshness
	keysEnd      clock.Millis // from then on no keys are served, since the zone is drained; 0 if it isn't
	report       load.Report
	handovers    map[logcmd.Release]handover

	target         target
	nextTarget     target
	lastUsed       target      // the last one that got traffic from this process
	slots          int         // concurrent requests of the target, 0 if the rules decide
	targetLeft     bool        // the target has said that it stops
	lastHeard      heardTarget // sender of the last heartbeat
	targetAddress  string      // "" accepts a target at any address
	identification identification
	tracker        *hold.Tracker  // grants to the target, nil without a target
	lastCallID     uint64         // of the last call to any target
	unanswered     heartbeatState // of the last heartbeat
	heldRevision   uint64         // of the tracker, when its ranges were published
	shutdown       shutdownState
	effects        []Effect
}

// target identifies the local target of the daemon; the zero value means that there is none.
type target struct {
	service     string
	address     string
	boot        string
	name        string
	incarnation uint64
	startTime   uint64
}

// Option configures an Agent.
type Option func(*Agent)

// WithInstance sets the instance, its availability zone, and the address
// ("ip:port") at which other daemons reach this one.
func WithInstance(name, zone, address string) Option {
	return func(a *Agent) { a.instance, a.zone, a.address = name, zone, address }
}

// WithRandom sets the source of random incarnation numbers.
func WithRandom(random func() uint64) Option { return func(a *Agent) { a.random = random } }

// DefaultHold is the default maximum TTL of a grant to the target, in milliseconds.
const DefaultHold = 10 * clock.Second

// WithLeaseParams sets the TTLs of leases and the renewal interval; the default is
// lease.DefaultParams.
func WithLeaseParams(p lease.Params) Option { return func(a *Agent) { a.params = p } }

// WithMaxHold sets the maximum TTL in milliseconds of a grant that the target accepts.
func WithMaxHold(limit clock.Millis) Option { return func(a *Agent) { a.maxGrantTTL = limit } }

// WithDelivery sets how grants reach the target; the default is grant.ByCall.
func WithDelivery(d grant.Delivery) Option { return func(a *Agent) { a.delivery = d } }

// WithMaxDrain limits how long a stopping target still receives new requests, in milliseconds.
func WithMaxDrain(limit clock.Millis) Option { return func(a *Agent) { a.maxDrain = limit } }

// WithTargetAddress sets the address ("ip:port") of the local target; heartbeats of others are ignored.
func WithTargetAddress(address string) Option { return func(a *Agent) { a.targetAddress = address } }

// WithLastingRules keeps the last known rules valid while no leader can be reached, so that
// traffic continues.
func WithLastingRules() Option { return func(a *Agent) { a.rulesNeverExpire = true } }

// New returns an agent that has no session, no target and no lease.
func New(opts ...Option) *Agent {
	a := &Agent{
		random:         func() uint64 { return 1 },
		table:          table.Empty(),
		params:         lease.DefaultParams(),
		maxGrantTTL:    DefaultHold,
		zoneDrain:      DefaultZoneDrain,
		delivery:       grant.ByCall{},
		unanswered:     answered{},
		identification: unidentified{},
		handovers:      map[logcmd.Release]handover{},
		shutdown:       serving{},
	}
	for _, o := range opts {
		o(a)
	}
	a.holder = lease.NewHolder(lease.WithParams(a.params))
	a.self = a.newIncarnation()
	return a
}

// Step handles an event at now and returns the effects, which the caller carries out in order.
func (a *Agent) Step(now clock.Millis, e Event) []Effect {
	a.now, a.effects = now, nil
	a.handle(e)
	a.advanceShutdown()
	a.askRules()
	a.watchRulesLease()
	a.sendDueCalls()
	a.answerHeartbeat()
	a.publishHeldRanges()
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
	case LeaseGranted:
		a.leaseGranted(e)
	case TableUpdated:
		a.tableUpdated(e)
	case RejoinRequired:
		a.rejoinRequired(e)
	case LoadMeasured:
		a.report = e.report
	case ShardQuiesced:
		a.shardQuiesced(e)
	case ShardDrained:
		a.shardDrained(e)
	case AllDrained:
		a.allDrained()
	case StopRequested:
		a.stopRequested()
	case Heartbeat:
		a.heartbeat(e)
	case CallEnded:
		a.callEnded(e)
	case TargetIdentified:
		a.targetIdentified(e)
	case RulesAnswered:
		a.rulesAnswered(e)
	}
}

// NextTick returns the instant at which the caller must step the agent with Ticked.
func (a *Agent) NextTick() clock.Millis {
	next := min(a.nextRenew, a.nextAskDue(), a.nextRulesLapse())
	if d, ok := a.shutdownDeadline(); ok && d < next {
		next = d
	}
	if a.tracker != nil {
		next = min(next, a.tracker.NextDue(a.now))
	}
	if w, ok := a.unanswered.(waiting); ok && !a.awaitsLeave() {
		next = min(next, w.deadline)
	}
	return next
}

// LeaseEnd returns the instant at which the lease, and with it all ownership, expires.
func (a *Agent) LeaseEnd() clock.Millis { return a.holder.End() }

// Table returns the latest routing table; it is immutable.
func (a *Agent) Table() *table.Table { return a.table }

// Self returns the daemon's incarnation and whether it is a member of the fleet.
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

// publish hands the current state to the traffic goroutines. A daemon that refuses new requests
// publishes that it owns nothing.
func (a *Agent) publish() {
	self := a.self
	if !a.joined || a.refusesNewRequests() {
		self = 0
	}
	if a.tracker != nil {
		a.heldRevision = a.tracker.Revision()
	}
	rules := a.holder.RulesEnd()
	if a.rulesNeverExpire && a.table.Rules().Version() > 0 {
		rules = never
	}
	a.emit(Publish{snap: snap.New(a.table, self, a.holder.End(), rules, snap.WithDraining(a.closedShards()), snap.WithHeldRanges(a.heldRanges()),
		snap.WithConfirmation(a.group, a.holder.RulesConfirmed()), snap.WithKeysEnd(a.keysEnd))})
}

func (a *Agent) rulesOf(service string) (rules.Service, bool) {
	return a.table.Rules().Service(service)
}
