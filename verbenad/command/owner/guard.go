package owner

import (
	"context"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"verbenabank/core/clock"
	"verbenabank/core/command/admit"
	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/core/state/rules"
)

// Header fields between the daemon and the target beside it.
const (
	HeaderShard    = "Verbena-Shard"
	HeaderEpoch    = "Verbena-Epoch"
	HeaderLease    = "Verbena-Lease-Until"
	HeaderDeadline = "Verbena-Deadline-Ms"
	HeaderRefused  = "Verbena-Refused"
	refusedStale   = "stale"
)

const (
	// reserve is kept of the time to the deadline, a tenth of it at most, so that what
	// the owner knows of the outcome reaches the entry before it.
	reserve      = 20 * clock.Millisecond
	reserveShare = 10
)

const (
	// holdWait is how long in milliseconds a request waits for the target to hold its key.
	holdWait = 300 * clock.Millisecond
	// aimPart is the part of the time left for an answer of full worth that a request may
	// wait for a slot, and leastPatience the wait in milliseconds of one that is late.
	aimPart       = 2
	leastPatience = 50 * clock.Millisecond
)

// refusalBytes and refusalSpan bound what is read of a refusal's body, so that the connection can
// be kept.
const (
	refusalBytes = 4 << 10
	refusalSpan  = 100 * time.Millisecond
)

// guard takes one request past the checks and to the target.
type guard struct {
	owner    *Owner
	request  call.Request
	deadline clock.Millis
	entered  clock.Millis
	leave    func()
	pass     admission
	slotted  bool
	passed   bool
	freed    sync.Once // the slot and the place of a request that was passed on
	sent     clock.Millis
	id       string
	told     clock.Millis // the end of the lease that the target was told last
	cancel   context.CancelFunc
	lapsed   atomic.Bool
}

// serve runs the request. The caller must call done after a failure.
func (g *guard) serve(ctx context.Context) call.Reply {
	pass, reason := g.await(ctx)
	if reason != "" {
		return call.Refuse(reason)
	}
	g.owner.count(g.request, pass.service)
	if failure, ok := g.fetch(ctx, pass.service); !ok {
		return failure
	}
	if failure, ok := g.admit(ctx, pass.service); !ok {
		return failure
	}
	g.pass = pass
	g.passed = true
	g.owner.meter.ObservePhase("queue", g.owner.clock.Now()-g.entered)
	switch reply := g.owner.target.Send(g.enlist(ctx), call.NewAttempt(g.prepare, g.free(g.ended), call.WithOnAbandon(g.free(g.abandoned)))).(type) {
	case call.Response:
		return g.judge(reply)
	case call.Failure:
		return g.explain(ctx, reply)
	}
	return call.Unknown(result.Interrupted)
}

// free returns a function that gives back the slot and the place of the request in a way, unless they
// are given back already.
func (g *guard) free(way func()) func() { return func() { g.freed.Do(way) } }

// prepare checks again, just before the request goes to the target.
func (g *guard) prepare() (call.Request, result.Reason) {
	pass, reason := g.owner.check(g.request)
	if reason != "" {
		return call.Request{}, reason
	}
	g.name()
	g.dispatch(pass)
	r := g.request
	return call.NewRequest(r.Service(), r.Method(), r.URI(), call.WithFields(g.owner.dialect.AddHeaders(r, g.known())),
		call.WithKey(r.Key(), r.Shard()), call.WithMember(r.Incarnation()), call.WithBody(r.Body(), r.Length()),
		call.WithID(r.ID()), call.WithPolicy(r.Priority(), r.LatencyGoal(), r.Repeatable())), ""
}

// admit waits for a slot.
func (g *guard) admit(ctx context.Context, s rules.Service) (call.Failure, bool) {
	failure, held := g.queue(ctx, s, g.owner.gate, g.owner.slots(s), g.entered+g.request.LatencyGoal())
	g.slotted = held
	return failure, failure.Outcome() == nil
}

// queue waits for one of the slots of a gate, for a request that is worth most by the instant
// aim. It reports whether a slot is held, which it may be after a failure too.
func (g *guard) queue(ctx context.Context, s rules.Service, gate *admit.Limiter, slots int, aim clock.Millis) (call.Failure, bool) {
	now := g.owner.clock.Now()
	wait := g.patience(s)
	w, stay := admit.NewRequest(g.deadline, wait), wait
	if g.request.LatencyGoal() > 0 {
		stay = max(0, g.deadline-now-clock.Millis(gate.MeanServiceTime()))
		w = w.WithPriority(g.request.Priority(), aim, stay).WithClass(g.request.Class())
	}
	t := gate.Submit(now, w, admit.NewLimits(slots, s.QueueLength(), wait))
	select {
	case o := <-t.Ready():
		return granted(o, gate)
	default:
	}
	g.owner.meter.Add("waiting", 1)
	defer g.owner.meter.Add("waiting", -1)
	timer := time.NewTimer(min(stay, g.deadline-now).Duration())
	defer timer.Stop()
	select {
	case o := <-t.Ready():
		return granted(o, gate)
	case <-timer.C:
	case <-ctx.Done():
	}
	held := gate.Cancel(t)
	if ctx.Err() != nil || g.owner.clock.Now() >= g.deadline {
		return call.Refuse(result.Expired), held
	}
	return call.NewFailure(result.NewRefused(result.Overloaded, wait).WithTargetLoad(gate.TargetLoad())), held
}

// patience returns how long the request may wait for a slot: as the service says, and if an
// answer has a time within which it is worth most, for a part of that.
func (g *guard) patience(s rules.Service) clock.Millis {
	if g.request.LatencyGoal() == 0 {
		return s.QueueWait()
	}
	return min(s.QueueWait(), max(leastPatience, g.request.LatencyGoal()/aimPart))
}

// await checks that the daemon serves the request. Keys that were just given to it are
// served once the target has them.
func (g *guard) await(ctx context.Context) (admission, result.Reason) {
	end := g.entered + holdWait
	for {
		s := g.owner.cell.Load()
		pass, reason := g.owner.check(g.request)
		now := g.owner.clock.Now()
		if reason != result.NotHeld || now >= min(end, g.deadline) {
			return pass, reason
		}
		timer := time.NewTimer((min(end, g.deadline) - now).Duration())
		select {
		case <-s.Superseded():
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return pass, result.Expired
		}
		timer.Stop()
	}
}

// granted returns the failure that a grant is, if any, and whether a slot is held.
func granted(o admit.Decision, gate *admit.Limiter) (call.Failure, bool) {
	switch o := o.(type) {
	case admit.Admitted:
		return call.Failure{}, true
	case admit.Refused:
		return call.NewFailure(result.NewRefused(o.Reason(), o.RetryAfter()).WithTargetLoad(gate.TargetLoad())), false
	}
	return call.Refuse(result.Overloaded), false
}

// judge decides what the target's answer proves.
func (g *guard) judge(a call.Response) call.Reply {
	switch j := g.owner.dialect.Classify(a, g.request, g.known()).(type) {
	case NotRun:
		late := time.AfterFunc(refusalSpan, g.cancel)
		_, _ = io.CopyN(io.Discard, a.Body(), refusalBytes)
		late.Stop()
		_ = a.Body().Close()
		return call.NewFailure(result.NewRefused(j.reason, j.after).WithSent())
	case Mismatched:
		_ = a.Body().Close()
		return call.Unknown(result.Mismatched)
	case Valid:
	}
	if !g.valid() {
		_ = a.Body().Close()
		return call.Unknown(result.LeaseLapsed)
	}
	return a
}

// known returns what the target is told of the request.
func (g *guard) known() AttemptInfo {
	return AttemptInfo{
		service: g.pass.service, epoch: g.pass.epoch, until: g.pass.until, id: g.id,
		target: *g.owner.name.Load(),
		left:   max(1, g.deadline-g.owner.clock.Now()),
	}
}

// held reports whether the target itself runs requests only for keys that it holds.
func (g *guard) held() bool {
	_, ok := g.pass.service.Kind().(rules.Ordered)
	return ok
}

// valid reports whether the answer was given under ownership: by the target's own
// check, or because the daemon holds the shard still.
func (g *guard) valid() bool {
	if g.request.Key() == "" || g.held() {
		return true
	}
	switch g.pass.service.Fencing().(type) {
	case rules.Checked:
		return true
	case rules.Unchecked:
		return g.owner.holds(g.request, g.pass.epoch)
	}
	return false
}

func retryAfter(a call.Response) clock.Millis {
	seconds, err := strconv.Atoi(a.Field("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return clock.Millis(seconds) * clock.Second
}

// done ends the request for its caller. What the target still holds of it is given
// back by ended.
func (g *guard) done(o result.Outcome) {
	g.delist()
	if !g.passed {
		g.ended()
	}
	g.owner.meter.End(o, g.owner.clock.Now()-g.entered)
	if g.owner.story != nil {
		g.owner.story.LogOutcome(o, g.facts)
	}
}

// facts are what the log tells of the request: what decided its end here.
func (g *guard) facts() logrus.Fields {
	now, s, crowd := g.owner.clock.Now(), g.owner.cell.Load(), g.owner.gate.TargetLoad()
	return logrus.Fields{
		"request": g.request.ID(), "service": g.request.Service(), "key": g.request.Key(), "route": g.request.Class(),
		"epoch": uint64(g.pass.epoch), "table": s.Table().Version(), "lease_left_ms": int64(max(0, s.LeaseEnd()-now)),
		"sent": g.sent > 0, "waiting": crowd.Waiting(), "busy": crowd.Running(),
		"mean_ms": int64(crowd.MeanTime()), "deadline_left_ms": int64(g.deadline - now), "took_ms": int64(now - g.entered),
	}
}

// ended gives back the slot and the place in the count of requests in flight.
func (g *guard) ended() {
	g.yield()
	g.leave()
}

// yield gives back the slot.
func (g *guard) yield() {
	now := g.owner.clock.Now()
	switch {
	case g.slotted && g.sent > 0:
		g.owner.meter.ObservePhase("target", now-g.sent)
		g.owner.gate.ReleaseClass(g.request.Class(), now, now-g.sent)
	case g.slotted:
		g.owner.gate.ReleaseUnused(now)
	}
}

// guarded is the body of an answer that may be read while ownership holds.
type guarded struct {
	guard  *guard
	status int
	body   io.ReadCloser
	ended  bool
}

// Read returns io.EOF only if the answer is whole and ownership held until then.
func (b *guarded) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err == nil {
		return n, nil
	}
	if (err == io.EOF && !b.guard.valid()) || (err != io.EOF && b.guard.lapsed.Load()) {
		err = call.NewError("read answer under lease", result.LeaseLapsed)
	}
	if err == io.EOF {
		b.end(result.NewAnswered(b.status))
	} else {
		b.end(result.NewUnknown(call.ReasonOf(err)))
	}
	return n, err
}

// Close cancels what is left of the exchange.
func (b *guarded) Close() error {
	err := b.body.Close()
	b.end(result.NewUnknown(result.Cancelled))
	return err
}

func (b *guarded) end(o result.Outcome) {
	if !b.ended {
		b.ended = true
		b.guard.done(o)
	}
}
