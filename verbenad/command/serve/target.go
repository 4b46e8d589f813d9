package serve

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"verbenabank/core/clock"
	"verbenabank/core/command/agent"
	"verbenabank/core/command/hold"
	"verbenabank/core/state/call"
	"verbenabank/verbenad/adapt/extend"
	"verbenabank/verbenad/adapt/grants"
	"verbenabank/verbenad/adapt/target"
	"verbenabank/verbenad/command/owner"
)

// healthWatcher detects that a target has failed. It watches one address at a time.
type healthWatcher interface {
	Watch(address string)
	Drop()
}

// localTarget is the target on this instance with its clients and its health watcher. Send,
// RecordHeartbeat and LastResponse are safe for concurrent use; the other methods are for the control
// goroutine.
type localTarget struct {
	clock        *clock.Clock
	client       *target.Target
	extender     *extend.Extender
	watcher      healthWatcher
	grantClient  *grants.Client
	owner        *owner.Owner
	onHeartbeat  func()
	lastResponse atomic.Int64
	current      agent.UseTarget
	currentName  atomic.Pointer[string]

	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
}

func newLocalTarget(c *clock.Clock, e *extend.Extender) *localTarget {
	l := &localTarget{clock: c, extender: e, onHeartbeat: func() {}}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.setCurrent(agent.UseTarget{})
	return l
}

// RecordHeartbeat tells the health watcher that a target sent a heartbeat. Those of other targets than the
// current one say nothing about it.
func (l *localTarget) RecordHeartbeat(name string) {
	if name == *l.currentName.Load() {
		l.onHeartbeat()
	}
}

// setCurrent sets the current target.
func (l *localTarget) setCurrent(t agent.UseTarget) {
	l.current = t
	name := t.Name()
	l.currentName.Store(&name)
}

// Use sends traffic to a target. For the current target only the number of its slots is updated.
func (l *localTarget) Use(t agent.UseTarget) {
	l.owner.SetTarget(t.Name(), t.Slots())
	same := t.Address() == l.current.Address() && t.Name() == l.current.Name() && t.Name() != ""
	l.setCurrent(t)
	if same {
		return
	}
	l.mu.Lock()
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.mu.Unlock()
	l.lastResponse.Store(0)
	l.client.SetAddress(t.Address())
	l.extender.SetAddress(t.Address())
	l.grantClient.SetProcess(grants.NewProcess(t.Name(), t.Address(), t.Service()))
	l.watcher.Watch(t.Address())
}

// ReportCold records for how long the target stays cold.
func (l *localTarget) ReportCold(r agent.ReportCold) {
	if r.Name() == l.current.Name() {
		l.owner.ReportCold(r.Left())
	}
}

// AskCold asks the target for how long it stays cold; done gets its answer.
func (l *localTarget) AskCold(done func(left clock.Millis, ok bool)) { l.grantClient.AskCold(done) }

// Drain sends no new requests to the target. Those in flight go on, and it can still be asked to release keys.
func (l *localTarget) Drain() {
	l.setCurrent(agent.UseTarget{})
	l.watcher.Drop()
	l.client.SetAddress("")
	l.extender.SetAddress("")
}

// Drop sends no new requests to the target and cancels those in flight.
func (l *localTarget) Drop() {
	l.Drain()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancel()
}

// SendCall sends the target a call that grants or releases keys; done gets its result.
func (l *localTarget) SendCall(c hold.Call, done func(hold.Result)) { l.grantClient.SendCall(c, done) }

// Identify asks the process at the address of the current target for its name; done gets the name of that target, and
// hold.Done if it is the one.
func (l *localTarget) Identify(done func(name string, r hold.Result)) {
	name := l.current.Name()
	l.grantClient.Identify(func(r hold.Result) { done(name, r) })
}

// Send makes one attempt of a request at the target. Drop cancels it.
func (l *localTarget) Send(ctx context.Context, a call.Attempt) call.Reply {
	l.mu.Lock()
	lifetime := l.ctx
	l.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(lifetime, cancel)
	context.AfterFunc(ctx, func() { stop() })
	reply := l.client.Send(ctx, a)
	r, ok := reply.(call.Response)
	switch {
	case !ok:
		cancel()
	case r.Status() != http.StatusMisdirectedRequest: // another process may say that it isn't the target
		l.lastResponse.Store(int64(l.clock.Now()))
	}
	return reply
}

// LastResponse returns when the current target last responded to a request, 0 if it has not yet. A response that
// the request is for another target does not count.
func (l *localTarget) LastResponse() clock.Millis { return clock.Millis(l.lastResponse.Load()) }
