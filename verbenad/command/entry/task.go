package entry

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"verbenabank/core/clock"
	"verbenabank/core/query/retry"
	"verbenabank/core/query/route"
	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
)

// task is one request of a caller.
type task struct {
	entry  *Entry
	http   *fasthttp.RequestCtx
	caller *conn
	id     string
	facts  route.Facts

	ctx        context.Context
	cancel     context.CancelFunc
	deadline   clock.Millis
	method     string
	uri        string
	fields     []call.Field
	body       *body
	repeatable bool

	count    int
	awaited  clock.Millis
	tried    map[table.Incarnation]bool
	choice   bool
	doubt    result.Outcome // the first unknown outcome of an attempt
	streamed bool
	served   string
}

// run serves the request and writes the response.
func (t *task) run() result.Outcome {
	s, ok := t.entry.current()
	if !ok {
		return t.refuse(result.NotReady)
	}
	service, ok := t.entry.indexOf(s).Service(t.facts)
	if !ok {
		return t.refuse(result.UnknownService)
	}
	if reason, ok := t.prepare(service); !ok {
		return t.refuse(reason)
	}
	t.entry.budget(service.Name()).Earn(service.RetryPercent())
	for {
		s = t.entry.cell.Load()
		switch reply := t.attempt(s).(type) {
		case call.Answer:
			return t.respond(reply)
		case call.Failure:
			o := t.honest(reply.Outcome())
			if !t.again(s, service, o) {
				return t.fail(t.whole(o))
			}
		}
	}
}

// attempt makes one attempt with the snapshot s.
func (t *task) attempt(s *snap.Snap) call.Reply {
	if !s.Current(t.entry.clock.Now()) {
		return call.Refuse(result.NotReady)
	}
	switch d := t.entry.indexOf(s).Decide(t.facts).(type) {
	case route.Refuse:
		return call.Refuse(d.Reason())
	case route.Keyed:
		r := t.request(d.Service(), call.WithKey(d.Key(), d.Shard()), call.WithMember(d.Owner().Incarnation()))
		return t.forward(s, d.Owner(), r)
	case route.Pooled:
		return t.pooled(s, d)
	}
	return call.Refuse(result.NoTarget)
}

// pooled chooses one of the candidates and reports how it did.
func (t *task) pooled(s *snap.Snap, d route.Pooled) call.Reply {
	t.choice = len(d.Candidates()) > 1
	if t.tried == nil {
		t.tried = map[table.Incarnation]bool{}
	}
	m, ok := t.entry.peers.choose(d, t.tried)
	if !ok {
		return call.Refuse(result.NoTarget)
	}
	t.tried[m.Incarnation()] = true
	done := t.entry.peers.begin(d.Service().Name(), m)
	reply := t.forward(s, m, t.request(d.Service(), call.WithMember(m.Incarnation())))
	return done(reply)
}

// forward sends the request to the member, in process if it is this one.
func (t *task) forward(s *snap.Snap, m table.Member, r call.Request) call.Reply {
	t.count++
	t.served = m.Instance()
	if m.Incarnation() == s.Self() {
		return t.entry.local.Serve(t.ctx, r)
	}
	return t.entry.remote.Send(t.ctx, m.Address(), r)
}

// honest corrects the reason if the caller's own body was the cause.
func (t *task) honest(o result.Outcome) result.Outcome {
	if _, ok := o.(result.Unknown); !ok || t.body == nil {
		return o
	}
	switch fault := t.body.fault(); {
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

// whole returns the outcome of all attempts: if one of them may have run, a refusal of the
// last proves nothing.
func (t *task) whole(last result.Outcome) result.Outcome {
	if t.doubt != nil {
		return t.doubt
	}
	return last
}

// again waits until another attempt is due. It reports false if there is none.
func (t *task) again(s *snap.Snap, service rules.Service, o result.Outcome) bool {
	if _, ok := o.(result.Unknown); ok && t.doubt == nil {
		t.doubt = o
	}
	v := retry.Decide(t.entry.policy, retry.NewAttempt(o,
		retry.WithCount(t.count, service.RetryAttempts()),
		retry.WithLeft(t.deadline-t.entry.clock.Now()),
		retry.WithAwaited(t.awaited),
		retry.WithRepeatable(t.repeatable),
		retry.WithReplayable(t.body == nil || t.body.replayable()),
		retry.WithChoice(t.choice)))
	switch v := v.(type) {
	case retry.Stop:
		return false
	case retry.Again:
		if !t.entry.budget(service.Name()).Spend() {
			t.entry.meter.Event("budget_exhausted", 1)
			return false
		}
		t.entry.meter.Event("retries", 1)
		return t.wait(nil, v.After())
	case retry.Await:
		t.entry.meter.Event("awaits", 1)
		since := t.entry.clock.Now()
		ok := t.wait(s.Superseded(), v.Pause())
		t.awaited += t.entry.clock.Now() - since
		return ok
	}
	return false
}

// wait returns after the span or when early closes. It reports false if the
// request is over.
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

// close ends what the request still holds, unless its answer is being streamed.
func (t *task) close() {
	if t.body != nil && !t.body.finish(t.interrupt) {
		t.leaveUnread()
	}
	if !t.streamed {
		t.cancel()
	}
}

// leaveUnread closes the connection after the response, since a part of the request's
// body was not read.
func (t *task) leaveUnread() {
	t.http.Response.Header.SetConnectionClose()
	if t.caller != nil {
		t.caller.leave()
	}
}

// interrupt ends a read of the caller's body; the connection is closed after the response.
func (t *task) interrupt() {
	if t.caller != nil {
		_ = t.caller.SetReadDeadline(time.Unix(1, 0))
	}
}
