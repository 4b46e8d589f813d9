package target

import (
	"time"

	"verbenabank/vload/command/admit"
	"verbenabank/vload/state/ledger"
	"verbenabank/vload/state/server"
)

// event is what the control goroutine is told: arrived, finished, withdrawn,
// tuned or left.
type event interface{ event() }

// arrived is a request with the channel for its first effect.
type arrived struct {
	ticket  admit.Ticket
	order   ledger.Order
	effects chan admit.Effect
}

// finished is a request that is ready to take effect.
type finished struct{ ticket admit.Ticket }

// withdrawn is a request that was given up.
type withdrawn struct{ ticket admit.Ticket }

// tuned changes the behavior of the target.
type tuned struct{ tuning server.Tuning }

// left says that the target is about to stop.
type left struct{}

func (arrived) event()   {}
func (finished) event()  {}
func (withdrawn) event() {}
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
	desk := admit.New(t.settings.Behavior())
	replies := make(map[admit.Ticket]chan admit.Effect)
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
			t.publish(t.View().WithLoad(server.NewLoad(desk.Running(), desk.Waiting())))
		case e := <-t.events:
			t.deliver(replies, t.decide(desk, replies, e))
			if report == nil {
				t.publish(t.View().WithLoad(server.NewLoad(desk.Running(), desk.Waiting())))
			}
		}
	}
}

func (t *Target) decide(desk *admit.Desk, replies map[admit.Ticket]chan admit.Effect, e event) []admit.Effect {
	now := t.clock.Now()
	switch e := e.(type) {
	case arrived:
		replies[e.ticket] = e.effects
		return desk.Arrive(e.ticket, e.order, now)
	case finished:
		return desk.Commit(e.ticket, now)
	case withdrawn:
		delete(replies, e.ticket)
		return desk.Withdraw(e.ticket, now)
	case tuned:
		t.publish(t.View().WithTuning(e.tuning))
	case left:
		t.publish(t.View().WithLeaving())
	}
	return nil
}

// deliver hands effects to the requests that wait for them. The channels have
// room, so it never blocks.
func (t *Target) deliver(replies map[admit.Ticket]chan admit.Effect, effects []admit.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case admit.Run:
			replies[e.Ticket()] <- e
		case admit.Commit:
			replies[e.Ticket()] <- e
			delete(replies, e.Ticket())
		case admit.Shed:
			replies[e.Ticket()] <- e
			delete(replies, e.Ticket())
		case admit.Stale:
			replies[e.Ticket()] <- e
			delete(replies, e.Ticket())
		}
	}
}

func (t *Target) publish(v server.View) { t.view.Store(&v) }
