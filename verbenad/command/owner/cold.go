package owner

import (
	"context"
	"sync"
	"time"

	"verbenabank/core/clock"
	"verbenabank/core/command/cold"
	"verbenabank/core/state/call"
	"verbenabank/core/state/load"
	"verbenabank/core/state/result"
	"verbenabank/core/state/rules"
)

// maxProofWait is how long a request waits until the target says whether it is warm.
const maxProofWait = 100 * clock.Millisecond

// ColdProber asks the local target for how long it stays cold. AskCold must not block, and calls done once, from another
// goroutine: with the time, 0 if the target is warm, and whether it has answered.
type ColdProber interface {
	AskCold(done func(left clock.Millis, ok bool))
}

// WithColdBound sets how many requests a cold target may get in a second, for services whose rules have a rate for cold
// targets, and the client that asks the target for its state.
func WithColdBound(b cold.Bound, p ColdProber) Option {
	return func(o *Owner) { o.cold.bound, o.cold.prober = b, p }
}

// coldGate limits the requests to a target that may be cold. It is safe for concurrent use.
type coldGate struct {
	owner  *Owner
	bound  cold.Bound
	prober ColdProber

	mu       sync.Mutex
	limiter  *cold.Limiter // nil until a request of a service with a rate for cold targets
	process  int           // counts the processes of the target
	wasCold  bool
	news     chan struct{} // closed when the target says whether it is cold
	replaced bool          // this daemon has sent requests to an earlier process of the target only
}

func newColdGate() *coldGate {
	return &coldGate{bound: cold.NewBound(1, 0), news: make(chan struct{})}
}

// start lets the gate use the clock, the log and the metrics of the owner.
func (g *coldGate) start(o *Owner) {
	g.owner = o
	o.meter.RegisterGauge("cold_left_ms", "", func() float64 { return float64(g.state().Left()) })
}

// with calls f with the limiter of the service. It returns false if cold targets of the service take any number of
// requests.
func (g *coldGate) with(s rules.Service, f func(l *cold.Limiter, now clock.Millis)) bool {
	if s.ColdRate() <= 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now, limit := g.owner.clock.Now(), g.bound.Limit(s.ColdRate())
	if g.limiter == nil {
		g.limiter = cold.New(limit, s.ColdTime(), now)
		if g.replaced {
			g.limiter.Replace()
		}
	}
	g.limiter.Update(limit, s.ColdTime(), now)
	f(g.limiter, now)
	g.ask(now)
	return true
}

// ask asks the target for its state if that is due. The caller holds mu.
func (g *coldGate) ask(now clock.Millis) {
	if g.prober == nil || !g.limiter.Ask(now) {
		return
	}
	process := g.process
	g.owner.meter.Add("cold_asked", 1)
	g.prober.AskCold(func(left clock.Millis, ok bool) {
		g.update(func(l *cold.Limiter, answered clock.Millis) {
			switch {
			case process != g.process:
			case ok:
				l.Answered(now, left, answered)
			default:
				l.Failed(answered)
			}
		})
	})
}

// update calls f with the limiter, if there is one, logs whether the target turns cold or warm, and wakes the requests
// that wait for that.
func (g *coldGate) update(f func(l *cold.Limiter, now clock.Millis)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limiter == nil {
		return
	}
	now := g.owner.clock.Now()
	f(g.limiter, now)
	close(g.news)
	g.news = make(chan struct{})
	left := g.limiter.State(now).Left()
	if isCold := left > 0; isCold != g.wasCold {
		g.wasCold = isCold
		g.logChange(left)
	}
}

func (g *coldGate) logChange(left clock.Millis) {
	if g.owner.log == nil {
		return
	}
	if left > 0 {
		g.owner.log.WithField("left_ms", int64(left)).Info("owner: the target is cold; requests to it are limited")
		return
	}
	g.owner.log.Info("owner: the target is warm")
}

// replace begins with another process of the target.
func (g *coldGate) replace() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.process++
	g.replaced, g.wasCold = true, false
	if g.limiter != nil {
		g.limiter.Replace()
	}
}

// state returns how long the target is known to stay cold and how many requests it takes.
func (g *coldGate) state() load.ColdStart {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limiter == nil {
		return load.ColdStart{}
	}
	return g.limiter.State(g.owner.clock.Now())
}

// leave ends the wait of a request that entered.
func (g *coldGate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.Leave()
}

// changed returns a channel that is closed when the target says whether it is cold.
func (g *coldGate) changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.news
}

// ReportCold records a heartbeat of the target, which says for how long it stays cold, 0 if it is warm.
func (o *Owner) ReportCold(left clock.Millis) {
	o.cold.update(func(l *cold.Limiter, now clock.Millis) { l.Report(left, now) })
}

// RejectColdTime counts a heartbeat whose cold time is not valid.
func (o *Owner) RejectColdTime() { o.meter.Add("cold_time_invalid", 1) }

// enterColdGate decides whether the request may wait for a slot of a target that may be cold. If that depends on whether
// the target is warm, it waits for the answer for a short time.
func (x *exchange) enterColdGate(ctx context.Context, s rules.Service) (call.Failure, bool) {
	if s.ColdRate() <= 0 {
		return call.Failure{}, true
	}
	switch v := x.decideCold(ctx, s, (*cold.Limiter).Enter).(type) {
	case cold.Admitted:
		x.inColdGate = true
	case cold.Refused:
		return x.refuseCold(v.RetryAfter()), false
	case cold.Unproven:
		return x.refuseCold(v.RetryAfter()), false
	}
	return call.Failure{}, true
}

// decideCold returns the verdict on the request. If that depends on whether the target is warm, it waits for the answer
// for a short time.
func (x *exchange) decideCold(ctx context.Context, s rules.Service, decide func(l *cold.Limiter, now clock.Millis) cold.Verdict) cold.Verdict {
	ctx, cancel := context.WithTimeout(ctx, min(maxProofWait, x.deadline-x.owner.clock.Now()).Duration())
	defer cancel()
	for {
		news := x.owner.cold.changed()
		var v cold.Verdict = cold.Admitted{}
		x.owner.cold.with(s, func(l *cold.Limiter, now clock.Millis) { v = decide(l, now) })
		if _, unproven := v.(cold.Unproven); !unproven {
			return v
		}
		next := time.NewTimer(cold.AskPause.Duration())
		select {
		case <-news:
		case <-next.C: // the target may be asked again
		case <-ctx.Done():
			next.Stop()
			return v
		}
		next.Stop()
	}
}

// refuseCold refuses the request, since the target is cold or may be.
func (x *exchange) refuseCold(retryAfter clock.Millis) call.Failure {
	x.owner.meter.Add("cold_refused", 1)
	return call.NewFailure(result.NewRefused(result.Overloaded, retryAfter))
}

// passColdGate counts the request, which is about to be sent under the admission, and returns a reason if it must not be
// sent now. It may wait for the target, so it checks ownership again and returns the newest admission.
func (x *exchange) passColdGate(ctx context.Context, a admission) (admission, result.Reason) {
	x.leaveColdGate()
	if a.service.ColdRate() <= 0 {
		return a, ""
	}
	var reason result.Reason
	v := x.decideCold(ctx, a.service, func(l *cold.Limiter, now clock.Millis) cold.Verdict {
		if a, reason = x.owner.check(x.request); reason != "" {
			return cold.Admitted{}
		}
		return l.Send(now)
	})
	switch v.(type) {
	case cold.Admitted:
		return a, reason
	case cold.Refused, cold.Unproven:
	}
	x.owner.meter.Add("cold_refused", 1)
	return a, result.Overloaded
}

// leaveColdGate ends the wait of a request that entered.
func (x *exchange) leaveColdGate() {
	if !x.inColdGate {
		return
	}
	x.inColdGate = false
	x.owner.cold.leave()
}
