package relay

import (
	"io"
	"math/rand/v2"
	"sync"

	"verbenabank/core/clock"
	"verbenabank/core/command/balance"
	"verbenabank/core/command/eject"
	"verbenabank/core/query/picker"
	"verbenabank/core/query/route"
	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/core/state/table"
)

// balancer selects targets of pooled services and tracks their latency and failures, so that
// targets that fail often are ejected for a while. It is safe for concurrent use.
type balancer struct {
	clock  *clock.Clock
	policy picker.Policy
	work   *balance.Estimator

	mu    sync.Mutex
	pools map[string]*pool
}

// pool is the state of one pooled service.
type pool struct {
	tracker    *eject.Tracker
	candidates []table.Member
}

func newBalancer(c *clock.Clock, p picker.Policy, w *balance.Estimator) *balancer {
	return &balancer{clock: c, policy: p, work: w, pools: map[string]*pool{}}
}

// pick returns a candidate that was not tried and is not ejected, one of preferred unless another
// is far less loaded. If there is none, it picks among all candidates by load alone.
func (b *balancer) pick(d route.Pooled, preferred []table.Member, tried map[table.Incarnation]bool, r balance.Request) (table.Member, bool) {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.tracker(d, now)
	stats := func(m table.Member) picker.Stats {
		if tried[m.Incarnation()] {
			return picker.NewStats(0, 0, 0)
		}
		return k.View(m, d.Service().WarmUp(), now)
	}
	all := d.Candidates()
	switch p := b.policy.(type) {
	case picker.ExpectedWork:
		if m, ok := b.work.Pick(p, r, stats, now, rand.IntN); ok {
			return m, true
		}
	case picker.LeastLatency:
	}
	if m, ok := picker.Pick(preferred, all, stats, rand.IntN); ok {
		return m, true
	}
	return picker.Pick(preferred, all, func(m table.Member) picker.Stats {
		v := k.View(m, 0, now)
		return picker.NewStats(v.InFlight(), v.Latency(), 1)
	}, rand.IntN)
}

// tracker returns the tracker of the service and updates its set of members. Routing indexes share
// the list of candidates while it does not change, so comparing its address and length is enough.
func (b *balancer) tracker(d route.Pooled, now clock.Millis) *eject.Tracker {
	p, ok := b.pools[d.Service().Name()]
	if !ok {
		p = &pool{tracker: eject.New()}
		b.pools[d.Service().Name()] = p
	}
	if c := d.Candidates(); len(p.candidates) != len(c) || &p.candidates[0] != &c[0] {
		p.candidates = c
		p.tracker.SetMembers(c, now)
	}
	return p.tracker
}

// startAttempt counts an attempt at m as in flight. The returned function must be called with the
// reply. It records a failure at once; for a response it returns one whose body records the
// outcome at its end, and which stops counting as in flight when the body is closed.
func (b *balancer) startAttempt(service string, m table.Member, r balance.Request) func(call.Reply) call.Reply {
	start := b.clock.Now()
	b.mu.Lock()
	k := b.pools[service].tracker
	k.Begin(m.Incarnation())
	b.mu.Unlock()
	a := &poolAttempt{balancer: b, tracker: k, member: m.Incarnation(), start: start}
	a.sent = b.work.Send(m.Incarnation(), r.Class(), start)
	return func(reply call.Reply) call.Reply {
		b.work.Record(a.sent, reply, b.clock.Now())
		latency := b.clock.Now() - start
		a.recordCold(reply)
		switch reply := reply.(type) {
		case call.Response:
			body := &trackedBody{ReadCloser: reply.Body(), attempt: a, completed: responseSample(reply, latency)}
			return reply.WithBody(body)
		case call.Failure:
			a.record(failureSample(reply.Outcome(), latency))
			a.end()
		}
		return reply
	}
}

// responseSample returns the sample of a response that arrives to its end; latency is the time
// until its head arrived.
func responseSample(r call.Response, latency clock.Millis) eject.Sample {
	if result.NewAnswered(r.Status()).Failed() {
		return eject.ErrorResponse{}
	}
	return eject.NewSuccess(latency)
}

// failureSample returns the sample of a failed attempt, nil if the failure says nothing about the
// target.
func failureSample(o result.Outcome, latency clock.Millis) eject.Sample {
	switch o := o.(type) {
	case result.Refused:
		if o.Reason() == result.Unreachable {
			return eject.Failed{}
		}
		if o.Reason() == result.Expired {
			return nil
		}
		return eject.NewRejected(o.RetryAfter())
	case result.Unknown:
		if o.Reason() == result.Cancelled {
			return nil
		}
		if o.Reason() == result.TimedOut {
			return eject.NewTimedOut(latency)
		}
		return eject.Failed{}
	case result.Answered:
	}
	return nil
}

// poolAttempt is one attempt at a target of a pooled service.
type poolAttempt struct {
	balancer *balancer
	tracker  *eject.Tracker
	member   table.Incarnation
	start    clock.Millis
	sent     balance.Sent
	endOnce  sync.Once
}

// record adds a sample of the target; nil is ignored.
func (a *poolAttempt) record(s eject.Sample) {
	if s == nil {
		return
	}
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	a.tracker.Record(a.member, s, a.balancer.clock.Now())
}

// recordCold records what the reply says about a cold start of the target.
func (a *poolAttempt) recordCold(reply call.Reply) {
	l := call.BacklogOf(reply)
	if !l.Known() {
		return
	}
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	a.tracker.RecordCold(a.member, l.Cold(), a.balancer.clock.Now())
}

// end stops counting the attempt as in flight.
func (a *poolAttempt) end() {
	a.endOnce.Do(func() {
		a.balancer.mu.Lock()
		defer a.balancer.mu.Unlock()
		a.tracker.End(a.member)
		a.balancer.work.End(a.sent, a.balancer.clock.Now())
	})
}

// trackedBody is a response body that records the outcome of the attempt when it ends.
type trackedBody struct {
	io.ReadCloser
	attempt   *poolAttempt
	completed eject.Sample // recorded when the body was read to its end, then nil
}

// Read records the sample of the attempt at the end of the body or when it breaks off: the head
// of a response alone does not show that the target works.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch err {
	case nil:
	case io.EOF:
		b.attempt.record(b.completed)
		b.completed = nil
	default:
		elapsed := b.attempt.balancer.clock.Now() - b.attempt.start
		b.attempt.record(failureSample(result.NewUnknown(call.ReasonOf(err)), elapsed))
	}
	return n, err
}

// Close ends the attempt and closes the body.
func (b *trackedBody) Close() error {
	b.attempt.end()
	return b.ReadCloser.Close()
}
