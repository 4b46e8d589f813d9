package owner

import (
	"context"
	"io"
	"math"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"verbenabank/core/clock"
	"verbenabank/core/command/admit"
	"verbenabank/core/command/cost"
	"verbenabank/core/command/room"
	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/core/state/rules"
)

// Header fields exchanged with the local target.
const (
	HeaderShard    = "Verbena-Shard"
	HeaderEpoch    = "Verbena-Epoch"
	HeaderLease    = "Verbena-Lease-Until"
	HeaderDeadline = "Verbena-Deadline-Ms"
	HeaderRefused  = "Verbena-Refused"
	refusedStale   = "stale"
)

const (
	// deadlineReserve is subtracted from the time to the deadline, but at most a tenth of that
	// time, so that the outcome reaches the daemon that took the request before its deadline.
	deadlineReserve        = 20 * clock.Millisecond
	deadlineReserveDivisor = 10
)

const (
	// holdTimeout limits how long a request waits until the target holds its key.
	holdTimeout = 300 * clock.Millisecond
	// A request with a latency goal may wait in the queue for the time to the goal divided by
	// goalWaitDivisor, and for minQueueWait if less remains.
	goalWaitDivisor = 2
	minQueueWait    = 50 * clock.Millisecond
)

// discardBytes and discardTimeout limit how much of the body of a refusal is read and discarded
// to make the connection reusable.
const (
	discardBytes   = 4 << 10
	discardTimeout = 100 * time.Millisecond
)

// exchange is one request on its way through the ownership check and the queue to the target.
// The fields admission, sentAt and announcedLeaseEnd are written under the owner's lock once the
// request has been submitted.
type exchange struct {
	owner             *Owner
	request           call.Request
	deadline          clock.Millis
	enteredAt         clock.Millis
	leave             func()
	work              *cost.Ticket // nil until the request asks for a slot of the target
	admission         admission
	hasSlot           bool
	inColdGate        bool
	submitted         bool
	releaseOnce       sync.Once // guards the release of a request that was submitted to the target
	sentAt            clock.Millis
	id                string
	announcedLeaseEnd clock.Millis // the last lease end sent to the target
	cancel            context.CancelFunc
	lapsed            atomic.Bool
	arrival           room.Arrival // nil if all requests compete alike
	firm              bool         // the slot is that of a firm request
}

// run sends the request to the target. Serve calls finish after a failure; after a response the leasedBody
// does.
func (x *exchange) run(ctx context.Context) call.Reply {
	a, reason := x.awaitHeld(ctx)
	if reason != "" {
		return call.Refuse(reason)
	}
	x.owner.countKey(x.request, a.service)
	if failure, ok := x.arrive(); !ok {
		return failure
	}
	if failure, ok := x.enterColdGate(ctx, a.service); !ok {
		return failure
	}
	defer x.leaveColdGate()
	if failure, ok := x.prefetchBody(ctx, a.service); !ok {
		return failure
	}
	if failure, ok := x.acquireSlot(ctx, a.service); !ok {
		return failure
	}
	x.admission = a
	x.submitted = true
	x.owner.meter.ObservePhase("queue", x.owner.clock.Now()-x.enteredAt)
	prepare := func() (call.Request, result.Reason) { return x.prepare(ctx) }
	switch reply := x.owner.target.Send(x.trackOwnership(ctx), call.NewAttempt(prepare, x.once(x.release),
		call.WithOnAbandon(x.once(x.releaseAfterLease)), call.WithRequestID(x.request.ID()))).(type) {
	case call.Response:
		return x.classify(reply)
	case call.Failure:
		return x.withReason(ctx, reply)
	}
	return call.Unknown(result.Interrupted)
}

// once wraps one of the ways to release the request, so that only the first one called takes
// effect.
func (x *exchange) once(release func()) func() { return func() { x.releaseOnce.Do(release) } }

// prepare checks ownership again just before the request is written to the target: the lease may
// have lapsed while the request was queued or the target was dialed.
func (x *exchange) prepare(ctx context.Context) (call.Request, result.Reason) {
	a, reason := x.owner.check(x.request)
	if reason == "" {
		a, reason = x.passColdGate(ctx, a)
	}
	if reason != "" {
		return call.Request{}, reason
	}
	x.assignID()
	x.recordDispatch(a)
	r := x.request
	return call.NewRequest(r.Service(), r.Method(), r.URI(), call.WithFields(x.owner.dialect.AddHeaders(r, x.info())),
		call.WithKey(r.Key(), r.Shard()), call.WithMember(r.Incarnation()), call.WithBody(r.Body(), r.Length()),
		call.WithID(r.ID()), call.WithPolicy(r.Priority(), r.LatencyGoal(), r.Repeatable())), ""
}

// acquireSlot waits for a slot of the target and reports whether the request may go on.
func (x *exchange) acquireSlot(ctx context.Context, s rules.Service) (call.Failure, bool) {
	x.work = x.owner.work.Enter(cost.NewClass(x.request.Service(), x.request.Class(), x.request.Method(), x.request.BodyLength()))
	slots := x.owner.slots(s)
	x.owner.usedSlots.Store(int64(slots))
	failure, held := x.enqueue(ctx, s, x.owner.limiter, slots, x.enteredAt+x.request.LatencyGoal())
	x.hasSlot = held
	x.recordDecision(failure)
	return failure, failure.Outcome() == nil
}

// enqueue waits for a slot of the limiter. If the request has a latency goal, goal is the instant
// by which it should be done with that slot, and ranks it in the queue. It reports whether a slot
// is held, which is possible after a failure too: a request may be admitted just as its wait ends.
func (x *exchange) enqueue(ctx context.Context, s rules.Service, limiter *admit.Limiter, slots int, goal clock.Millis) (call.Failure, bool) {
	now := x.owner.clock.Now()
	wait := x.maxQueueWait(s)
	r, maxStay := admit.NewRequest(x.deadline, wait), wait
	if x.request.LatencyGoal() > 0 {
		p := room.NewPlace(x.request.Priority(), wait, limiter.MaxQueueTime(x.request.Class(), now, x.deadline)).
			WithGoal(goal-now, limiter.ClassServiceTime(x.request.Class())).For(x.arrival, x.deadline-now)
		maxStay = p.Stay()
		r = admit.NewRequest(x.deadline, p.Wait()).WithPriority(p.Rank(), goal, maxStay).WithClass(x.request.Class())
		if p.Firm() && limiter == x.owner.limiter {
			r, x.firm = r.Firm(p.Patience()), true
		}
	}
	t := limiter.Submit(now, r, admit.NewLimits(slots, s.QueueLength(), wait))
	select {
	case d := <-t.Ready():
		return failureOf(d, limiter)
	default:
	}
	x.owner.meter.Add("waiting", 1)
	defer x.owner.meter.Add("waiting", -1)
	timer := time.NewTimer(min(maxStay, x.deadline-now).Duration())
	defer timer.Stop()
	select {
	case d := <-t.Ready():
		return failureOf(d, limiter)
	case <-timer.C:
	case <-ctx.Done():
	}
	held := limiter.Cancel(t)
	if ctx.Err() != nil || x.owner.clock.Now() >= x.deadline {
		return call.Refuse(result.Expired), held
	}
	return call.NewFailure(result.NewRefused(result.Overloaded, wait).WithTargetLoad(limiter.TargetLoad())), held
}

// maxQueueWait returns how long the request may wait for a slot: at most what the rules of the
// service allow and, if it has a latency goal, a part of the time to the goal.
func (x *exchange) maxQueueWait(s rules.Service) clock.Millis {
	if x.request.LatencyGoal() == 0 {
		return s.QueueWait()
	}
	return min(s.QueueWait(), max(minQueueWait, x.request.LatencyGoal()/goalWaitDivisor))
}

// awaitHeld checks that the daemon may serve the request. For a key that the daemon owns but its
// target doesn't hold yet, it waits for the grant, up to holdTimeout.
func (x *exchange) awaitHeld(ctx context.Context) (admission, result.Reason) {
	end := x.enteredAt + holdTimeout
	for {
		s := x.owner.store.Load()
		a, reason := x.owner.check(x.request)
		now := x.owner.clock.Now()
		if reason != result.NotHeld || now >= min(end, x.deadline) {
			return a, reason
		}
		timer := time.NewTimer((min(end, x.deadline) - now).Duration())
		select {
		case <-s.Superseded():
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return a, result.Expired
		}
		timer.Stop()
	}
}

// failureOf returns the failure for a refusal by the limiter, an empty one for an admission, and
// whether a slot is held.
func failureOf(d admit.Decision, limiter *admit.Limiter) (call.Failure, bool) {
	switch d := d.(type) {
	case admit.Admitted:
		return call.Failure{}, true
	case admit.Refused:
		return call.NewFailure(result.NewRefused(d.Reason(), d.RetryAfter()).WithTargetLoad(limiter.TargetLoad())), false
	}
	return call.Refuse(result.Overloaded), false
}

// classify turns the response of the target into the reply: the response itself, a refusal if
// the target did not run the request, or an unknown outcome if the response isn't for this
// request or ownership was lost meanwhile.
func (x *exchange) classify(a call.Response) call.Reply {
	switch c := x.owner.dialect.Classify(a, x.request, x.info()).(type) {
	case NotRun:
		timeout := time.AfterFunc(discardTimeout, x.cancel)
		_, _ = io.CopyN(io.Discard, a.Body(), discardBytes)
		timeout.Stop()
		_ = a.Body().Close()
		return call.NewFailure(result.NewRefused(c.reason, c.retryAfter).WithSent())
	case Mismatched:
		_ = a.Body().Close()
		return call.Unknown(result.Mismatched)
	case Valid:
	}
	if !x.underOwnership() {
		_ = a.Body().Close()
		return call.Unknown(result.LeaseLapsed)
	}
	return a
}

// info describes this attempt to the dialect.
func (x *exchange) info() AttemptInfo {
	return AttemptInfo{
		service: x.admission.service, epoch: x.admission.epoch, leaseEnd: x.admission.leaseEnd, id: x.id,
		target:    *x.owner.targetName.Load(),
		remaining: max(1, x.deadline-x.owner.clock.Now()),
	}
}

// targetTracksKeys reports whether the target itself runs requests only for keys that were granted
// to it, as targets of ordered services do.
func (x *exchange) targetTracksKeys() bool {
	_, ok := x.admission.service.Kind().(rules.Ordered)
	return ok
}

// underOwnership reports whether the response was given under ownership: either the target checks
// that itself, or the daemon still owns the shard at the same epoch.
func (x *exchange) underOwnership() bool {
	if x.request.Key() == "" || x.targetTracksKeys() {
		return true
	}
	switch x.admission.service.Fencing().(type) {
	case rules.Checked:
		return true
	case rules.Unchecked:
		return x.owner.stillOwns(x.request, x.admission.epoch)
	}
	return false
}

// maxRetryAfter is the longest delay that a target may ask for.
const maxRetryAfter = 24 * 60 * clock.Minute

// retryAfter returns the delay of a Retry-After header field in seconds, 0 without one.
func retryAfter(a call.Response) clock.Millis {
	seconds, err := strconv.Atoi(a.Field("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return min(clock.Millis(min(seconds, math.MaxInt32))*clock.Second, maxRetryAfter)
}

// finish records the outcome of the request for its caller. A submitted request keeps its slot
// until the callbacks of the attempt release it, since the target may still run it.
func (x *exchange) finish(o result.Outcome) {
	x.untrack()
	if !x.submitted {
		x.release()
	}
	x.owner.meter.End(o, x.owner.clock.Now()-x.enteredAt)
	if x.owner.requestLog != nil {
		x.owner.requestLog.LogOutcome(o, x.logFields)
	}
}

// logFields returns the log fields of the request: the state that decided its outcome.
func (x *exchange) logFields() logrus.Fields {
	now, s, load := x.owner.clock.Now(), x.owner.store.Load(), x.owner.limiter.TargetLoad()
	return logrus.Fields{
		"request": x.request.ID(), "service": x.request.Service(), "key": x.request.Key(), "route": x.request.Class(),
		"epoch": uint64(x.admission.epoch), "table": s.Table().Version(), "lease_left_ms": int64(max(0, s.LeaseEnd()-now)),
		"sent": x.sentAt > 0, "waiting": load.Waiting(), "busy": load.Running(),
		"mean_ms": int64(load.MeanTime()), "deadline_left_ms": int64(x.deadline - now), "took_ms": int64(now - x.enteredAt),
	}
}

// release gives back the slot and removes the request from the in-flight count.
func (x *exchange) release() {
	x.releaseSlot()
	x.leave()
}

// releaseSlot gives back the slot, if the request has one. The time since the request was sent
// counts as service time; a request that was never sent has none.
func (x *exchange) releaseSlot() {
	now := x.owner.clock.Now()
	if x.work != nil {
		x.owner.work.Leave(x.work, now)
	}
	if x.hasSlot && x.firm {
		x.owner.limiter.EndFirm()
	}
	switch {
	case x.hasSlot && x.sentAt > 0:
		x.owner.meter.ObservePhase("target", now-x.sentAt)
		x.owner.limiter.ReleaseClass(x.request.Class(), now, now-x.sentAt)
	case x.hasSlot:
		x.owner.limiter.ReleaseUnused(now)
	}
}
