package target

import (
	"time"

	"verbenabank/core/clock"
	"verbenabank/vload/command/admit"
	"verbenabank/vload/state/ledger"
	"verbenabank/vload/state/server"
)

// event is an input of the control goroutine: requestArrived, requestFinished, requestCancelled,
// leasesExtended, tuningChanged or shutdownStarted.
type event interface{ event() }

// requestArrived is a new request with the channel for its effects.
type requestArrived struct {
	sequence admit.Sequence
	request  ledger.Request
	effects  chan admit.Effect
}

// requestFinished is a request whose service time is over and that is ready to commit.
type requestFinished struct{ sequence admit.Sequence }

// requestCancelled is a request that was abandoned before it committed.
type requestCancelled struct{ sequence admit.Sequence }

// leasesExtended renews the leases of requests until an instant on the boot clock.
type leasesExtended struct {
	requestIDs []string
	until      clock.Millis
}

// tuningChanged changes the speed or the health and load reports of the target.
type tuningChanged struct{ tuning server.Tuning }

// shutdownStarted makes the target report that it is draining.
type shutdownStarted struct{}

func (requestArrived) event()   {}
func (requestFinished) event()  {}
func (requestCancelled) event() {}
func (leasesExtended) event()   {}
func (tuningChanged) event()    {}
func (shutdownStarted) event()  {}

// sendEvent hands an event to the control goroutine. It drops the event once the target has stopped.
func (t *Target) sendEvent(e event) {
	select {
	case t.events <- e:
	case <-t.stopped:
	}
}

// control is the loop of the control goroutine, which owns slots, epochs and the published status
// until the target stops.
func (t *Target) control() {
	controller := admit.New(t.settings.Behavior())
	waiters := make(map[admit.Sequence]chan admit.Effect)
	var report <-chan time.Time
	if lag := t.settings.Behavior().ReportLag(); lag > 0 {
		ticker := time.NewTicker(lag.Duration())
		defer ticker.Stop()
		report = ticker.C
	}
	for {
		select {
		case <-t.stopped:
			return
		case <-report:
			t.publish(t.Status().WithLoad(server.NewLoad(controller.Running(), controller.Waiting())))
		case e := <-t.events:
			t.deliver(waiters, t.handleEvent(controller, waiters, e))
			if report == nil {
				t.publish(t.Status().WithLoad(server.NewLoad(controller.Running(), controller.Waiting())))
			}
		}
	}
}

// handleEvent applies an event to the admission state and returns the effects that follow from it.
func (t *Target) handleEvent(controller *admit.Controller, waiters map[admit.Sequence]chan admit.Effect, e event) []admit.Effect {
	now := t.clock.Now()
	switch e := e.(type) {
	case requestArrived:
		waiters[e.sequence] = e.effects
		return controller.Admit(e.sequence, e.request, now)
	case requestFinished:
		return controller.Commit(e.sequence, now)
	case requestCancelled:
		delete(waiters, e.sequence)
		return controller.Cancel(e.sequence, now)
	case leasesExtended:
		controller.ExtendLeases(e.requestIDs, e.until)
	case tuningChanged:
		t.publish(t.Status().WithTuning(e.tuning))
	case shutdownStarted:
		t.publish(t.Status().WithDraining())
	}
	return nil
}

// deliver passes effects to the request handlers that wait for them. It never blocks, since a
// request has at most two effects and its channel buffers both.
func (t *Target) deliver(waiters map[admit.Sequence]chan admit.Effect, effects []admit.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case admit.Run:
			waiters[e.Sequence()] <- e
		case admit.Commit:
			waiters[e.Sequence()] <- e
			delete(waiters, e.Sequence())
		case admit.Shed:
			waiters[e.Sequence()] <- e
			delete(waiters, e.Sequence())
		case admit.Stale:
			waiters[e.Sequence()] <- e
			delete(waiters, e.Sequence())
		}
	}
}

func (t *Target) publish(s server.Status) { t.status.Store(&s) }
