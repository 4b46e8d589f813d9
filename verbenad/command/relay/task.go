package relay

import (
	"context"
	"errors"
	"os"
	"time"

	"verbenabank/core/clock"
	"verbenabank/core/query/retry"
	"verbenabank/core/query/route"
	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
)

// Result is the reply to a demand, with what is known of its way.
type Result struct {
	reply    call.Reply
	instance string
	sends    int
}

// Reply returns the reply. The body of an answer must be closed.
func (s Result) Reply() call.Reply { return s.reply }

// Instance returns the instance that was asked last, "" if none was.
func (s Result) Instance() string { return s.instance }

// Attempts returns how many daemons were asked.
func (s Result) Attempts() int { return s.sends }

// task is one demand on its way.
type task struct {
	relay  *Relay
	demand Request
	ctx    context.Context

	count   int // of daemons asked
	sent    int // of targets that may have been sent the request
	awaited clock.Millis
	tried   map[table.Incarnation]bool
	choice  bool
	doubt   result.Outcome // the first unknown outcome of an attempt
	served  string
}

// Run serves a demand. ctx ends when the caller leaves and at the deadline; until the body
// of an answer is read it must not end otherwise.
func (r *Relay) Run(ctx context.Context, d Request) Result {
	t := &task{relay: r, demand: d, ctx: ctx}
	reply := t.run()
	return Result{reply: reply, instance: t.served, sends: t.count}
}

func (t *task) run() call.Reply {
	percent := t.demand.percent
	if t.relay.percent >= 0 {
		percent = t.relay.percent
	}
	t.relay.budget(t.demand.service.Name()).Earn(percent, t.sharers(), t.relay.clock.Now())
	for {
		s := t.relay.cell.Load()
		reply := t.attempt(s)
		f, failed := reply.(call.Failure)
		if !failed {
			return reply
		}
		o := t.honest(f.Outcome())
		if !t.again(s, o) {
			return call.NewFailure(t.whole(o))
		}
	}
}

// sharers returns how many daemons share the budget of the fleet.
func (t *task) sharers() int { return len(t.relay.cell.Load().Table().Members()) }

// attempt makes one attempt by the snapshot.
func (t *task) attempt(s *snap.Snapshot) call.Reply {
	if !s.RulesValid(t.relay.clock.Now()) {
		return call.Refuse(result.NotReady)
	}
	switch d := t.relay.Index(s).Decide(t.demand.facts).(type) {
	case route.Refuse:
		return call.Refuse(d.Reason())
	case route.Keyed:
		r := t.request(call.WithKey(d.Key(), d.Shard()), call.WithMember(d.Owner().Incarnation()))
		return t.forward(s, d.Owner(), r)
	case route.Pooled:
		return t.pooled(s, d)
	}
	return call.Refuse(result.NoTarget)
}

// pooled makes one attempt at a member that was not tried yet, as long as there is
// one.
func (t *task) pooled(s *snap.Snapshot, d route.Pooled) call.Reply {
	t.choice = len(d.Candidates()) > 1
	if t.tried == nil {
		t.tried = map[table.Incarnation]bool{}
	}
	m, ok := t.relay.peers.choose(d, t.near(s, d), t.tried)
	if !ok {
		return call.Refuse(result.NoTarget)
	}
	t.tried[m.Incarnation()] = true
	done := t.relay.peers.begin(d.Service().Name(), m)
	reply := t.forward(s, m, t.request(call.WithMember(m.Incarnation())))
	return done(reply)
}

// bulkyBytes is the size of a body above which the network matters more than the target.
const bulkyBytes = 8 << 10

// near returns the candidates to prefer: those of the own availability zone, and for a large body the
// one beside this daemon, which it reaches without the network.
func (t *task) near(s *snap.Snapshot, d route.Pooled) []table.Member {
	if b := t.demand.body; b != nil && (b.length < 0 || b.length > bulkyBytes) {
		if own, ok := d.Candidate(s.Self()); ok {
			return []table.Member{own}
		}
	}
	return d.InZone(t.relay.zone)
}

// request makes the request of one attempt.
func (t *task) request(opts ...call.Option) call.Request {
	d := t.demand
	opts = append(opts, call.WithFields(d.fields), call.WithID(d.id), call.WithClass(d.class),
		call.WithPolicy(d.priority, max(1, d.aim-t.relay.clock.Now()), d.repeatable))
	if d.body != nil {
		opts = append(opts, call.WithBody(d.body.open(), d.body.length))
	}
	return call.NewRequest(d.service.Name(), d.method, d.uri, opts...)
}

func (t *task) forward(s *snap.Snapshot, m table.Member, r call.Request) call.Reply {
	t.count++
	t.served = m.Instance()
	if m.Incarnation() == s.Self() {
		return t.relay.local.Serve(t.ctx, r)
	}
	return t.relay.remote.Send(t.ctx, m.Address(), r)
}

// honest names the cause if it was the caller's body that could not be read.
func (t *task) honest(o result.Outcome) result.Outcome {
	if _, ok := o.(result.Unknown); !ok || t.demand.body == nil {
		return o
	}
	switch fault := t.demand.body.fault(); {
	case fault == nil:
		return o
	case fault.Kind() == Oversized:
		return result.NewUnknown(result.TooLarge)
	case errors.Is(fault, os.ErrDeadlineExceeded):
		return result.NewUnknown(result.TimedOut)
	default:
		return result.NewUnknown(result.Cancelled)
	}
}

// whole returns the outcome of the whole request: once an attempt may have run, a
// refusal of a later one does not undo that.
func (t *task) whole(last result.Outcome) result.Outcome {
	if t.doubt != nil {
		return t.doubt
	}
	return last
}

// again waits and reports whether to make another attempt after the outcome.
func (t *task) again(s *snap.Snapshot, o result.Outcome) bool {
	switch o := o.(type) {
	case result.Unknown:
		t.sent++
		if t.doubt == nil {
			t.doubt = o
		}
	case result.Refused:
		if o.Sent() {
			t.sent++
		}
	case result.Answered:
	}
	now := t.relay.clock.Now()
	v := retry.Decide(t.relay.policy, retry.NewAttempt(o,
		retry.WithAttempts(t.count, t.demand.attempts), retry.WithSent(t.sent),
		retry.WithRemaining(t.demand.deadline-now), retry.WithLatencyGoal(t.demand.aim-now),
		retry.WithWaited(t.awaited),
		retry.WithRepeatable(t.demand.repeatable),
		retry.WithReplayable(t.demand.body == nil || t.demand.body.replayable()),
		retry.WithAlternatives(t.choice)))
	switch v := v.(type) {
	case retry.Stop:
		return false
	case retry.Retry:
		if !v.BudgetExempt() && !t.relay.budget(t.demand.service.Name()).Spend(t.sharers(), now) {
			t.relay.meter.Add("budget_exhausted", 1)
			return false
		}
		t.relay.meter.Add("retries", 1)
		return t.wait(nil, v.Delay())
	case retry.AwaitUpdate:
		t.relay.meter.Add("awaits", 1)
		ok := t.wait(s.Superseded(), v.MaxWait())
		t.awaited += t.relay.clock.Now() - now
		return ok
	}
	return false
}

// wait waits for a span or until early is closed, and reports whether the request
// still has time.
func (t *task) wait(early <-chan struct{}, span clock.Millis) bool {
	if span <= 0 {
		return t.ctx.Err() == nil
	}
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-early:
		return true
	case <-timer.C:
		return true
	case <-t.ctx.Done():
		return false
	}
}
