package serve

import (
	"math/rand/v2"

	"verbenabank/core/clock"
	"verbenabank/core/command/admit"
	"verbenabank/core/command/agent"
	"verbenabank/core/command/budget"
	"verbenabank/core/command/cold"
	"verbenabank/core/command/lease"
	"verbenabank/core/query/picker"
	"verbenabank/core/query/retry"
	"verbenabank/core/state/rules"
	"verbenabank/verbenad/adapt/detect"
	"verbenabank/verbenad/adapt/extend"
	"verbenabank/verbenad/adapt/front"
	"verbenabank/verbenad/adapt/grants"
	"verbenabank/verbenad/adapt/hop"
	"verbenabank/verbenad/adapt/probe"
	"verbenabank/verbenad/adapt/target"
	"verbenabank/verbenad/command/entry"
	"verbenabank/verbenad/command/owner"
	"verbenabank/verbenad/command/relay"
	"verbenabank/verbenad/state/config"
)

// buildTraffic builds what handles requests: the local target, the owner in front of it, the client for
// other daemons and the server for callers.
func (d *Daemon) buildTraffic() error {
	x, stopExtender := extend.New()
	d.addCleanup(stopExtender)
	d.target = newLocalTarget(d.clock, x)
	d.buildTargetClients()
	options := []owner.Option{
		owner.WithClock(d.clock), owner.WithStore(d.snapshots), owner.WithTarget(d.target), owner.WithExtender(x),
		owner.WithLog(d.logger()), owner.WithLink(d.settings.Load().LinkMbps(), hop.WindowBytes), owner.WithRooms(d.rooms),
		owner.WithColdBound(cold.NewBound(d.settings.Load().ColdBound().Overshoot(), d.settings.Load().ColdBound().Slack()), d.target),
	}
	if d.targetDialect != nil {
		options = append(options, owner.WithDialect(d.targetDialect), owner.WithQueueOrder(admit.CostAware{}))
	}
	d.owner = owner.New(options...)
	d.target.owner = d.owner
	client, stopClient := hop.New(hop.WithDialOptions(d.trust.DialOptions()...))
	d.addCleanup(stopClient)
	d.hopClient = client
	d.buildCallerServer()
	return nil
}

// buildTargetClients builds the clients and the health watcher of the local target: one that probes it, or,
// with a grant dialect, one that relies on its heartbeats.
func (d *Daemon) buildTargetClients() {
	if d.grantDialect == nil {
		t, stop := target.New()
		d.addCleanup(stop)
		p, stopProbe := probe.New(probe.WithClock(d.clock), probe.WithLog(d.logger()),
			probe.WithLastResponse(d.target.LastResponse), probe.WithPost(d.post))
		d.addCleanup(stopProbe)
		g, stopGrants := grants.New(grants.WithLog(d.logger()))
		d.addCleanup(stopGrants)
		d.target.client, d.target.watcher, d.target.grantClient = t, p, g
		return
	}
	w, stopWatcher := detect.New(detect.WithClock(d.clock), detect.WithLog(d.logger()),
		detect.WithLastResponse(d.target.LastResponse), detect.WithPost(d.post))
	d.addCleanup(stopWatcher)
	t, stop := target.New(target.WithLinger(0), target.WithOnConnRefused(w.RecordConnRefused))
	d.addCleanup(stop)
	g, stopGrants := grants.New(grants.WithLog(d.logger()), grants.WithDialect(d.grantDialect),
		grants.WithOnConnRefused(w.RecordConnRefused), grants.WithHealthPath(d.healthPath))
	d.addCleanup(stopGrants)
	d.target.client, d.target.watcher, d.target.grantClient, d.target.onHeartbeat = t, w, g, w.RecordHeartbeat
}

// healthPath returns the path of health requests to targets of a service.
func (d *Daemon) healthPath(service string) string {
	if s, ok := d.snapshots.Load().Table().Rules().Service(service); ok {
		return s.HealthPath()
	}
	return rules.DefaultHealthPath
}

// buildCallerServer builds the server for callers if the settings have a port for them: a front.Server with
// the caller dialect, or an entry.Server for the daemon's own protocol.
func (d *Daemon) buildCallerServer() {
	s := d.settings.Load()
	switch {
	case d.callersPort == nil:
	case d.callerDialect == nil:
		d.entry = entry.New(entry.WithRelayOptions(d.balancingOptions()...), entry.WithClock(d.clock), entry.WithStore(d.snapshots), entry.WithLocal(d.owner),
			entry.WithRemote(d.hopClient), entry.WithInstance(s.Instance(), s.Zone()), entry.WithMemory(d.memory))
	default:
		options := []relay.Option{
			relay.WithClock(d.clock), relay.WithStore(d.snapshots), relay.WithLocal(d.owner), relay.WithRemote(d.hopClient),
			relay.WithZone(s.Zone()), relay.WithRetry(retry.Routed{}), relay.WithRooms(d.rooms),
		}
		if r := s.RetryBudget(); r.Window() > 0 {
			options = append(options, relay.WithRetryBudget(budget.WithAllowance(r.Allowance(), r.Window())), relay.WithRetryPercent(retryPercent(r.Ratio())))
		}
		options = append(options, d.balancingOptions()...)
		d.front = front.New(front.WithClock(d.clock), front.WithRelay(relay.New(options...)), front.WithDialect(d.callerDialect),
			front.WithLog(d.logger()), front.WithMemory(d.memory), front.WithLocalService(func() string { return d.settings.Load().LocalTarget().Service() }))
	}
}

// balancingOptions returns the options of the relay for the choice of targets of pooled services.
func (d *Daemon) balancingOptions() []relay.Option {
	policy := d.balancing
	if cost, ok := d.settings.Load().ZoneCost(); ok {
		policy = picker.NewExpectedWork(cost)
	}
	return []relay.Option{relay.WithBalancing(policy), relay.WithOwnBacklog(d.owner.Backlog)}
}

// retryBudgetShare is the part of the fleet's retry ratio that daemons use. The rest is headroom for
// requests that the users count later than the daemons do.
const retryBudgetShare = 0.9

func retryPercent(ratio float64) int { return int(ratio * 100 * retryBudgetShare) }

// leaseParams returns the lease parameters of the settings, or the defaults if no lease time is set.
func (d *Daemon) leaseParams() lease.Params {
	t := d.settings.Load().Timings()
	if t.LeaseTTL() == 0 {
		return lease.DefaultParams()
	}
	p := lease.NewParams(t.LeaseTTL(), t.LeaseMargin(), t.RenewInterval(), renewTimeoutIntervals*t.RenewInterval())
	if t.RulesTTL() > 0 {
		p = p.WithRulesTTL(t.RulesTTL())
	}
	return p
}

// renewTimeoutIntervals is the time-out of a lease renewal in renewal intervals. A renewal that is not
// answered in that time ends the session with the leader.
const renewTimeoutIntervals = 2

// drainMargin is how long before the end of a target's drain time, or of the time that a zone has to be drained, a daemon
// stops admitting requests for its target, so that those admitted before still reach it.
const drainMargin = 300 * clock.Millisecond

// zoneDrainLimit returns for how long the daemon admits requests for keys once its zone is drained.
func zoneDrainLimit(t config.Timings) clock.Millis {
	limit := t.ZoneDrain()
	if limit == 0 {
		limit = agent.DefaultZoneDrain
	}
	return max(1, limit-drainMargin)
}

// agentOptions returns the options of the agent. Settings that are 0 keep the agent's defaults.
func (d *Daemon) agentOptions() []agent.Option {
	s := d.settings.Load()
	options := []agent.Option{
		agent.WithInstance(s.Instance(), s.Zone(), s.AdvertisedAddress().String()), agent.WithRandom(rand.Uint64),
		agent.WithLeaseParams(d.leaseParams()), agent.WithTargetAddress(s.LocalTarget().Address()), agent.WithDelivery(s.LocalTarget().Delivery()),
	}
	if s.Timings().MaxHold() > 0 {
		options = append(options, agent.WithMaxHold(s.Timings().MaxHold()))
	}
	if s.Timings().MaxDrain() > 0 {
		options = append(options, agent.WithMaxDrain(max(1, s.Timings().MaxDrain()-drainMargin)))
	}
	options = append(options, agent.WithZoneDrain(zoneDrainLimit(s.Timings())))
	if s.LastingRules() {
		options = append(options, agent.WithLastingRules())
	}
	return options
}
