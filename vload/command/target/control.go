package target

import (
	"time"

	"verbenabank/core/clock"
	"verbenabank/vload/command/admit"
	"verbenabank/vload/state/ledger"
	"verbenabank/vload/state/server"
)

// event is what the control goroutine is told: arrived, finished, withdrawn,
// extended, tuned or left.
type event interface{ event() }

// arrived is a request with the channel for its first effect.
type arrived struct {
	sequence admit.Sequence
	order    ledger.Request
	effects  chan admit.Effect
}

// finished is a request that is ready to take effect.
type finished struct{ sequence admit.Sequence }

// withdrawn is a request that was given up.
type withdrawn struct{ sequence admit.Sequence }

// extended lets the leases of requests end later.
type extended struct {
	handles []string
	until   clock.Millis
}

// tuned changes the behavior of the target.
type tuned struct{ tuning server.Tuning }

// left says that the target is about to stop.
type left struct{}

func (arrived) event()   {}
func (finished) event()  {}
func (withdrawn) event() {}
func (extended) event()  {}
func (tuned) event()     {}
func (left) event()      {}

// tell gives an event to the control goroutine.
func (t *Target) tell(e event) {
	select {
	case t.events <- e:
	case <-t.stopped:
	}
}

// control owns the slots, the epochs and the view until the target stops.
func (t *Target) control() {
	admission := admit.New(t.settings.Behavior())
	replies := make(map[admit.Sequence]chan admit.Effect)
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
			t.publish(t.Status().WithLoad(server.NewLoad(admission.Running(), admission.Waiting())))
		case e := <-t.events:
			t.deliver(replies, t.decide(admission, replies, e))
			if report == nil {
				t.publish(t.Status().WithLoad(server.NewLoad(admission.Running(), admission.Waiting())))
			}
		}
	}
}

func (t *Target) decide(admission *admit.Admission, replies map[admit.Sequence]chan admit.Effect, e event) []admit.Effect {
	now := t.clock.Now()
	switch e := e.(type) {
	case arrived:
		replies[e.sequence] = e.effects
		return admission.Arrive(e.sequence, e.order, now)
	case finished:
		return admission.Commit(e.sequence, now)
	case withdrawn:
		delete(replies, e.sequence)
		return admission.Withdraw(e.sequence, now)
	case extended:
		admission.Extend(e.handles, e.until)
	case tuned:
		t.publish(t.Status().WithTuning(e.tuning))
	case left:
		t.publish(t.Status().WithDraining())
	}
	return nil
}

// deliver hands effects to the requests that wait for them. The channels have
// room, so it never blocks.
func (t *Target) deliver(replies map[admit.Sequence]chan admit.Effect, effects []admit.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case admit.Run:
			replies[e.Sequence()] <- e
		case admit.Commit:
			replies[e.Sequence()] <- e
			delete(replies, e.Sequence())
		case admit.Shed:
			replies[e.Sequence()] <- e
			delete(replies, e.Sequence())
		case admit.Stale:
			replies[e.Sequence()] <- e
			delete(replies, e.Sequence())
		}
	}
}

func (t *Target) publish(v server.Status) { t.view.Store(&v) }
