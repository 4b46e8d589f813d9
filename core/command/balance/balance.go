// Package balance estimates, for a daemon that sends requests to targets, when a request would be completed at each of
// them, from their backlogs, their speeds and the likely cost of the request.
package balance

import (
	"verbenabank/core/clock"
	"verbenabank/core/command/backlog"
	"verbenabank/core/command/cost"
	"verbenabank/core/query/picker"
	"verbenabank/core/state/call"
	"verbenabank/core/state/load"
	"verbenabank/core/state/result"
	"verbenabank/core/state/table"
)

// Estimator is what a daemon knows of the work of all targets. It is safe for concurrent use.
type Estimator struct {
	backlogs   *backlog.Table
	costs      *cost.Model
	ownBacklog func() load.Backlog // nil if there is no local target
}

// Option sets one property of an Estimator.
type Option func(*Estimator)

// WithOwnBacklog sets the function that returns the backlog of the target on the instance of the daemon.
func WithOwnBacklog(f func() load.Backlog) Option { return func(e *Estimator) { e.ownBacklog = f } }

// New returns an estimator that knows nothing yet.
func New(opts ...Option) *Estimator {
	e := &Estimator{backlogs: backlog.New(), costs: cost.New()}
	for _, o := range opts {
		o(e)
	}
	return e
}

// Costs returns the model of the costs of requests and the speeds of targets.
func (e *Estimator) Costs() *cost.Model { return e.costs }

// Sent is a request that was sent to a target.
type Sent struct {
	target table.Incarnation
	class  cost.Class
	sent   backlog.Sent
}

// Send counts a request as sent to the target. End must be called with it when the request has ended.
func (e *Estimator) Send(i table.Incarnation, c cost.Class, now clock.Millis) Sent {
	return Sent{target: i, class: c, sent: e.backlogs.Sent(i, e.costs.Time(i, e.costs.Estimate(c)), now)}
}

// Record takes over what the reply says of its target, and corrects later predictions by the error of this one. The
// cost of requests is learned from successful ones only.
func (e *Estimator) Record(s Sent, reply call.Reply, now clock.Millis) {
	b := call.BacklogOf(reply)
	e.backlogs.Record(s.target, b, now)
	switch reply := reply.(type) {
	case call.Response:
		if b.Served() > 0 {
			e.costs.Observe(s.target, s.class, float64(b.Served()), now)
		}
		if !result.NewAnswered(reply.Status()).Failed() {
			e.costs.ObserveLength(s.class, reply.Length())
			e.backlogs.Replied(s.sent, now)
		}
	case call.Failure:
		if o, ok := reply.Outcome().(result.Unknown); ok && o.Reason() == result.TimedOut {
			e.backlogs.Overdue(s.sent, now)
		}
	}
}

// End counts the request as ended.
func (e *Estimator) End(s Sent, now clock.Millis) { e.backlogs.Done(s.sent, now) }

// Pick returns the candidate with the earliest expected completion of the request, as picker.PickEarliest does.
// statsOf returns the health of a target.
func (e *Estimator) Pick(p picker.ExpectedWork, r Request, statsOf func(table.Member) picker.Stats, now clock.Millis, randIntN func(n int) int) (table.Member, bool) {
	if e.ownBacklog != nil && len(r.own) > 0 {
		e.backlogs.Record(r.own[0].Incarnation(), e.ownBacklog(), now)
	}
	expected := e.costs.Estimate(r.class)
	way := r.wayTo(expected, p.ZoneCost())
	return picker.PickEarliest(r.own, r.near, r.all, func(m *table.Member) picker.Prospect {
		s := statsOf(*m)
		if s.Share() <= 0 {
			return picker.Prospect{}
		}
		wait, correction, known := e.backlogs.Wait(m.Incarnation(), now)
		return picker.NewProspect(wait, e.costs.Time(m.Incarnation(), expected)*correction, known).
			WithWay(way.cost(m)).WithHealth(s.ErrorRate(), s.Share())
	}, randIntN)
}
