package serve

import (
	"math/rand/v2"

	"verbenabank/core/clock"
	"verbenabank/core/command/admit"
	"verbenabank/core/command/agent"
	"verbenabank/core/command/budget"
	"verbenabank/core/command/lease"
	"verbenabank/core/query/retry"
	"verbenabank/verbenad/adapt/extend"
	"verbenabank/verbenad/adapt/front"
	"verbenabank/verbenad/adapt/hop"
	"verbenabank/verbenad/adapt/keeper"
	"verbenabank/verbenad/adapt/probe"
	"verbenabank/verbenad/adapt/pulse"
	"verbenabank/verbenad/adapt/target"
	"verbenabank/verbenad/command/entry"
	"verbenabank/verbenad/command/owner"
	"verbenabank/verbenad/command/relay"
)

func (d *Daemon) buildTraffic() error {
	x, stopExtender := extend.New()
	d.atEnd(stopExtender)
	d.sidecar = newSidecar(d.clock, x)
	d.buildWatch()
	options := []owner.Option{
		owner.WithClock(d.clock), owner.WithStore(d.cell), owner.WithTarget(d.sidecar), owner.WithExtender(x),
		owner.WithLog(d.part()), owner.WithLink(d.settings.Load().LinkMbps(), hop.WindowBytes),
	}
	if d.speech != nil {
		options = append(options, owner.WithDialect(d.speech), owner.WithQueueOrder(admit.CostAware{}))
	}
	d.owner = owner.New(options...)
	d.sidecar.owner = d.owner
	client, stopClient := hop.New(hop.WithDialOptions(d.trust.DialOptions()...))
	d.atEnd(stopClient)
	d.hops = client
	d.buildCallers()
	return nil
}

// buildWatch makes what speaks to the target and what finds out that it is gone.
func (d *Daemon) buildWatch() {
	if d.orders == nil {
		t, stop := target.New()
		d.atEnd(stop)
		p, stopProbe := probe.New(probe.WithClock(d.clock), probe.WithLog(d.part()),
			probe.WithAnswered(d.sidecar.Answered), probe.WithPost(d.post))
		d.atEnd(stopProbe)
		k, stopKeeper := keeper.New(keeper.WithLog(d.part()))
		d.atEnd(stopKeeper)
		d.sidecar.target, d.sidecar.watch, d.sidecar.keeper = t, p, k
		return
	}
	p, stopPulse := pulse.New(pulse.WithClock(d.clock), pulse.WithLog(d.part()),
		pulse.WithAnswered(d.sidecar.Answered), pulse.WithPost(d.post))
	d.atEnd(stopPulse)
	t, stop := target.New(target.WithSettle(0), target.WithRefused(p.Refused))
	d.atEnd(stop)
	k, stopKeeper := keeper.New(keeper.WithLog(d.part()), keeper.WithDialect(d.orders), keeper.WithRefused(p.Refused))
	d.atEnd(stopKeeper)
	d.sidecar.target, d.sidecar.watch, d.sidecar.keeper, d.sidecar.heard = t, p, k, p.Heard
}

// buildCallers makes what takes requests of callers, if the settings have a port for them.
func (d *Daemon) buildCallers() {
	s := d.settings.Load()
	switch {
	case d.callersPort == nil:
	case d.callers == nil:
		d.entry = entry.New(entry.WithClock(d.clock), entry.WithStore(d.cell), entry.WithLocal(d.owner),
			entry.WithRemote(d.hops), entry.WithInstance(s.Instance(), s.Zone()))
	default:
		options := []relay.Option{
			relay.WithClock(d.clock), relay.WithStore(d.cell), relay.WithLocal(d.owner), relay.WithRemote(d.hops),
			relay.WithZone(s.Zone()), relay.WithRetry(retry.Routed{}),
		}
		if r := s.RetryBudget(); r.Window() > 0 {
			options = append(options, relay.WithRetryBudget(budget.WithAllowance(r.Allowance(), r.Window())), relay.WithRetryPercent(percent(r.Ratio())))
		}
		d.front = front.New(front.WithClock(d.clock), front.WithRelay(relay.New(options...)), front.WithDialect(d.callers),
			front.WithLog(d.part()), front.WithLocalService(func() string { return d.settings.Load().LocalTarget().Service() }))
	}
}

// headroom is the part of the fleet's retry ratio that daemons use. The rest covers requests
// that the users count later than we do.
const headroom = 0.9

func percent(ratio float64) int { return int(ratio * 100 * headroom) }

// terms returns the terms of leases.
func (d *Daemon) terms() lease.Params {
	t := d.settings.Load().Timings()
	if t.LeaseTTL() == 0 {
		return lease.DefaultParams()
	}
	return lease.NewParams(t.LeaseTTL(), t.LeaseMargin(), t.RenewInterval(), renewPatience*t.RenewInterval())
}

// renewPatience is how many renewals may be due before one that is not answered ends the
// session.
const renewPatience = 2

// drainSlack is how long before the end of a target's drain its daemon takes no new work for
// it, so that what was let in by then has reached it.
const drainSlack = 300 * clock.Millisecond

func (d *Daemon) agentOptions() []agent.Option {
	s := d.settings.Load()
	options := []agent.Option{
		agent.WithInstance(s.Instance(), s.Zone(), s.AdvertisedAddress().String()), agent.WithRandom(rand.Uint64),
		agent.WithLeaseParams(d.terms()), agent.WithTargetAddress(s.LocalTarget().Address()),
	}
	if s.Timings().MaxHold() > 0 {
		options = append(options, agent.WithMaxHold(s.Timings().MaxHold()))
	}
	if s.Timings().MaxDrain() > 0 {
		options = append(options, agent.WithMaxDrain(max(1, s.Timings().MaxDrain()-drainSlack)))
	}
	if s.LastingRules() {
		options = append(options, agent.WithLastingRules())
	}
	return options
}
