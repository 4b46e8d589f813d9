package relay

import (
	"verbenabank/core/command/balance"
	"verbenabank/core/command/breaker"
	"verbenabank/core/command/cost"
	"verbenabank/core/query/route"
	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
)

// attempt makes one attempt with the routing table of the snapshot. If the request was held back from the owner
// of its key, it also returns a channel that is closed when the owner serves the key again, otherwise nil.
func (t *task) attempt(s *snap.Snapshot) (reply call.Reply, served <-chan struct{}) {
	if !s.RulesValid(t.relay.clock.Now()) {
		return call.Refuse(result.NotReady), nil
	}
	if refusal, turned := t.refuseAtEntry(); turned {
		return refusal, nil
	}
	switch d := t.relay.Index(s).Decide(t.request.attributes).(type) {
	case route.Refuse:
		return call.Refuse(d.Reason()), nil
	case route.Keyed:
		return t.attemptKeyed(s, d)
	case route.Pooled:
		return t.attemptPooled(s, d), nil
	}
	return call.Refuse(result.NoTarget), nil
}

// attemptKeyed makes one attempt at the owner of the key, unless it has refused others for the key and
// doesn't serve it yet, or has too little processor time.
func (t *task) attemptKeyed(s *snap.Snapshot, d route.Keyed) (reply call.Reply, served <-chan struct{}) {
	m := d.Owner()
	send := func() call.Reply {
		return t.forward(s, m, t.attemptRequest(call.WithKey(d.Key(), d.Shard()), call.WithMember(m.Incarnation())))
	}
	if m.Incarnation() == s.Self() {
		return send(), nil
	}
	if refusal, kept := t.relay.throttle.check(m.Incarnation()); kept {
		t.relay.meter.Add("held_off", 1)
		return refusal, nil
	}
	k := breaker.NewKey(t.request.service.Name(), d.Key(), m.Incarnation())
	switch v := t.relay.breakers.check(k).(type) {
	case breaker.HeldBack:
		t.relay.meter.Add("held_back", 1)
		return call.Refuse(result.NotHeld), v.Closed()
	case breaker.Admitted:
		reply = send()
		t.relay.breakers.record(k, v, reply)
		t.relay.throttle.record(m.Incarnation(), reply)
	}
	return reply, nil
}

// attemptPooled makes one attempt at a member of a pooled service, preferably at one that was not
// tried yet.
func (t *task) attemptPooled(s *snap.Snapshot, d route.Pooled) call.Reply {
	if refusal, throttled := t.throttleAtEntry(); throttled {
		return refusal
	}
	t.alternatives = len(d.Candidates()) > 1
	if t.tried == nil {
		t.tried = map[table.Incarnation]bool{}
	}
	r := t.workRequest(s, d)
	m, ok := t.relay.balancer.pick(d, t.preferred(s, d), t.tried, r)
	if !ok {
		return call.Refuse(result.NoTarget)
	}
	t.tried[m.Incarnation()] = true
	if m.Zone() != t.relay.zone {
		t.relay.meter.Add("other_zone", 1)
	}
	done := t.relay.balancer.startAttempt(d.Service().Name(), m, r)
	reply := t.forward(s, m, t.attemptRequest(call.WithMember(m.Incarnation())))
	return done(reply)
}

// workRequest returns the request with its candidates as the estimator of work knows them.
func (t *task) workRequest(s *snap.Snapshot, d route.Pooled) balance.Request {
	return balance.NewRequest(t.costClass(), t.request.bodyLength()).
		WithGoal(t.request.latencyGoal-t.relay.clock.Now()).
		WithCandidates(t.relay.zone, d.Only(s.Self()), d.InZone(t.relay.zone), d.Candidates())
}

// costClass returns the class of the request by its likely cost.
func (t *task) costClass() cost.Class {
	return cost.NewClass(t.request.service.Name(), t.request.class, t.request.method, t.request.bodyLength())
}

// largeBodyBytes is the body size above which the cost of the network hop outweighs differences in
// load between targets.
const largeBodyBytes = 8 << 10

// preferred returns the candidates to prefer: for a large body the target on this instance, which
// needs no network hop, otherwise the targets in the same availability zone.
func (t *task) preferred(s *snap.Snapshot, d route.Pooled) []table.Member {
	if b := t.request.body; b != nil && (b.length < 0 || b.length > largeBodyBytes) {
		if own, ok := d.Candidate(s.Self()); ok {
			return []table.Member{own}
		}
	}
	return d.InZone(t.relay.zone)
}

// attemptRequest returns the request to forward in one attempt. It opens a new reader of the body.
func (t *task) attemptRequest(opts ...call.Option) call.Request {
	q := t.request
	opts = append(opts, call.WithFields(q.fields), call.WithID(q.id), call.WithClass(q.class),
		call.WithPolicy(q.priority, max(1, q.latencyGoal-t.relay.clock.Now()), q.repeatable), call.WithOrigin(t.origin()))
	if q.body != nil {
		opts = append(opts, call.WithBody(q.body.newReader(), q.body.length))
	}
	return call.NewRequest(q.service.Name(), q.method, q.uri, opts...)
}

// forward sends the request to the member's daemon, or serves it here if that is this daemon.
func (t *task) forward(s *snap.Snapshot, m table.Member, r call.Request) call.Reply {
	t.attempts++
	t.instance = m.Instance()
	var reply call.Reply
	if m.Incarnation() == s.Self() {
		reply = t.relay.local.Serve(t.ctx, r)
	} else {
		reply = t.relay.remote.Send(t.ctx, m.Address(), r)
	}
	t.learnRoom(reply)
	return reply
}
