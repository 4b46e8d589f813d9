// Package eject implements outlier ejection for the targets of a pooled service. A target that
// fails or is much slower than its peers is ejected for some time, then probed, and its share
// of the traffic is ramped up again.
package eject

import (
	"verbenabank/core/clock"
	"verbenabank/core/query/picker"
	"verbenabank/core/state/table"
)

const (
	// ConsecutiveFailures is how many failures in a row eject a target.
	ConsecutiveFailures = 5
	// OutlierFactor is the multiple of the median latency above which a target is ejected.
	OutlierFactor = 4.0
	// MinOutlierLatency is the latency in milliseconds up to which a target is never ejected as slow.
	MinOutlierLatency = 50.0
	// MinSamples is how many responses of a target are needed before it can be an outlier.
	MinSamples = 20
	// BaseEjectionTime is the duration of the first ejection; it doubles with each further one until
	// the target has recovered.
	BaseEjectionTime = 1 * clock.Second
	// MaxEjectionTime is the longest duration of an ejection.
	MaxEjectionTime = 30 * clock.Second
	// RecoveryTime is the time from the first probe of a target to its full share of the traffic.
	RecoveryTime = 5 * clock.Second
	// OutlierInterval is the least time between two comparisons of the latencies.
	OutlierInterval = 500 * clock.Millisecond
	// minShare is the share of a target that is first probed or begins to warm up.
	minShare = 0.05
	// backoffShare multiplies the share of a target that has recently rejected a request.
	backoffShare = 0.1
	// minBackoff is the least time for which a target has backoffShare after a rejection. The longest is MaxEjectionTime,
	// whatever the target asks for.
	minBackoff = 100 * clock.Millisecond
	// smoothing is the weight of the newest sample in the averages of latency and error rate.
	smoothing = 0.2
)

// Sample is the outcome of one attempt: Success, ErrorResponse, TimedOut, Failed or Rejected.
type Sample interface{ sample() }

// Success is the sample of an attempt that was answered without a server error.
type Success struct{ latency clock.Millis }

// ErrorResponse is the sample of an attempt that the target answered with a server error (HTTP status 500
// or above).
type ErrorResponse struct{}

// NewSuccess returns the sample of an attempt that was answered after the given latency.
func NewSuccess(latency clock.Millis) Success { return Success{latency: latency} }

// TimedOut is the sample of an attempt that was not answered before the caller's deadline.
type TimedOut struct{ elapsed clock.Millis }

// NewTimedOut returns the sample of an attempt that was abandoned after the given time.
func NewTimedOut(elapsed clock.Millis) TimedOut { return TimedOut{elapsed: elapsed} }

// Failed is the sample of an attempt without a complete response: the target was unreachable or the
// connection broke.
type Failed struct{}

// Rejected is the sample of an attempt that was turned down before it ran, for instance by a full queue.
type Rejected struct{ retryAfter clock.Millis }

// NewRejected returns the sample of an attempt that was rejected with a back-off hint.
func NewRejected(retryAfter clock.Millis) Rejected { return Rejected{retryAfter: retryAfter} }

func (Success) sample()       {}
func (ErrorResponse) sample() {}
func (TimedOut) sample()      {}
func (Failed) sample()        {}
func (Rejected) sample()      {}

// ejectionState is the state of a target: active, ejected or probing.
type ejectionState interface{ ejectionState() }

// active targets receive their full share.
type active struct{}

// ejected targets receive no traffic until the instant.
type ejected struct{ until clock.Millis }

// probing targets receive a growing share; a single failure ejects them again.
type probing struct{ since clock.Millis }

func (active) ejectionState()  {}
func (ejected) ejectionState() {}
func (probing) ejectionState() {}

// peer holds the statistics and the state of one target.
type peer struct {
	state               ejectionState
	firstSeen           clock.Millis
	backoffUntil        clock.Millis
	inFlight            int
	latency             float64
	errorRate           float64 // moving share of ErrorResponse samples as of lastErrorAt
	lastErrorAt         clock.Millis
	samples             int
	consecutiveFailures int
	ejections           int // since the last recovery
	coldUntil           clock.Millis
	fullUntil           clock.Millis // while cold it takes no further requests
}

// Tracker tracks the health of the targets of one service. It is not safe for concurrent use.
type Tracker struct {
	peers            map[table.Incarnation]*peer
	nextOutlierCheck clock.Millis
}

// New returns a tracker without targets; SetMembers adds them.
func New() *Tracker { return &Tracker{peers: map[table.Incarnation]*peer{}} }

// SetMembers replaces the set of targets. Targets that stay keep their statistics; samples of others are
// ignored from then on.
func (t *Tracker) SetMembers(members []table.Member, now clock.Millis) {
	next := make(map[table.Incarnation]*peer, len(members))
	for _, m := range members {
		p, ok := t.peers[m.Incarnation()]
		if !ok {
			p = &peer{state: active{}, firstSeen: now}
		}
		next[m.Incarnation()] = p
	}
	t.peers = next
}

// Begin counts a request to the target as in flight.
func (t *Tracker) Begin(i table.Incarnation) {
	if p, ok := t.peers[i]; ok {
		p.inFlight++
	}
}

// End counts a request to the target as no longer in flight.
func (t *Tracker) End(i table.Incarnation) {
	if p, ok := t.peers[i]; ok && p.inFlight > 0 {
		p.inFlight--
	}
}

// Record adds the outcome of an attempt to the statistics of the target, and may eject targets.
func (t *Tracker) Record(i table.Incarnation, s Sample, now clock.Millis) {
	p, ok := t.peers[i]
	if !ok {
		return
	}
	switch s := s.(type) {
	case Success:
		p.recordSuccess(float64(s.latency))
	case ErrorResponse:
		p.consecutiveFailures = 0
		p.errorRate = p.decayedErrorRate(now)
		p.errorRate += smoothing * (1 - p.errorRate)
		p.lastErrorAt = now
	case TimedOut:
		t.recordTimeout(p, float64(s.elapsed), now)
	case Failed:
		t.recordFailure(p, now)
	case Rejected:
		p.backoffUntil = now + max(minBackoff, min(s.retryAfter, MaxEjectionTime))
	}
	if now >= t.nextOutlierCheck {
		t.nextOutlierCheck = now + OutlierInterval
		t.ejectOutliers(now)
	}
}

func (p *peer) recordSuccess(latency float64) {
	p.consecutiveFailures = 0
	p.errorRate -= smoothing * p.errorRate
	p.samples++
	if p.samples == 1 {
		p.latency = latency
		return
	}
	p.latency += smoothing * (latency - p.latency)
}

// recordTimeout counts a timeout as a failure only if the attempt took much longer than the target
// usually does: the deadline may have been too short for any target.
func (t *Tracker) recordTimeout(p *peer, elapsed float64, now clock.Millis) {
	if elapsed >= max(MinOutlierLatency, OutlierFactor*p.latency) {
		t.recordFailure(p, now)
		return
	}
	p.latency += smoothing * max(0, elapsed-p.latency)
}

// recordFailure ejects the target after ConsecutiveFailures failures in a row, or after the first
// one while it is probed.
func (t *Tracker) recordFailure(p *peer, now clock.Millis) {
	p.consecutiveFailures++
	switch p.state.(type) {
	case probing:
		t.eject(p, now)
	case active:
		if p.consecutiveFailures >= ConsecutiveFailures && t.ejectionAllowed() {
			t.eject(p, now)
		}
	case ejected:
	}
}

func (t *Tracker) eject(p *peer, now clock.Millis) {
	p.state = ejected{until: now + min(BaseEjectionTime<<min(p.ejections, 5), MaxEjectionTime)}
	p.ejections++
	p.consecutiveFailures, p.samples, p.latency = 0, 0, 0
}

// ejectionAllowed reports whether, after one more ejection, at most a third of the targets would be
// ejected or probed.
func (t *Tracker) ejectionAllowed() bool {
	out := 0
	for _, p := range t.peers {
		if _, ok := p.state.(active); !ok {
			out++
		}
	}
	return (out+1)*3 <= len(t.peers)
}

// View returns the member's in-flight requests, cost and share for load balancing, after ending an
// ejection or a probing that is over. warmUp is how long a warming member takes to reach its
// full share.
func (t *Tracker) View(m table.Member, warmUp, now clock.Millis) picker.Stats {
	p, ok := t.peers[m.Incarnation()]
	if !ok {
		return picker.NewStats(0, 0, 1)
	}
	p.advance(now)
	share := p.share(now)
	switch m.Phase().(type) {
	case table.Warming:
		share *= ramp(now-p.firstSeen, warmUp)
	case table.Serving:
	case table.Leaving:
		share = 0
	}
	return picker.NewStats(p.inFlight, p.cost(now), share).WithErrorRate(p.decayedErrorRate(now))
}

// maxErrorRate caps the error rate in the cost of a target: targets above it are treated alike.
const maxErrorRate = 0.8

// decayedErrorRate returns the error rate, which decays linearly to 0 within RecoveryTime: a target
// that receives no requests cannot show that it has recovered.
func (p *peer) decayedErrorRate(now clock.Millis) float64 {
	return p.errorRate * max(0, 1-float64(now-p.lastErrorAt)/float64(RecoveryTime))
}

// cost returns the expected latency in milliseconds of a request at the target, increased by errors:
// an error costs more than its latency, since few errors can be made good by a retry. A part of
// the increase does not depend on the latency, so it also applies to a target without a
// successful response.
func (p *peer) cost(now clock.Millis) float64 {
	errorRate := min(p.decayedErrorRate(now), maxErrorRate)
	successRate := 1 - errorRate
	return (p.latency + errorRate*MinOutlierLatency) / successRate / successRate
}

// advance ends an ejection or a probing whose time is over.
func (p *peer) advance(now clock.Millis) {
	switch s := p.state.(type) {
	case ejected:
		if now >= s.until {
			p.state = probing{since: now}
		}
	case probing:
		if now-s.since >= RecoveryTime {
			p.state, p.ejections = active{}, 0
		}
	case active:
	}
}

// share returns the share of its regular traffic that the target may receive, from 0 to 1.
func (p *peer) share(now clock.Millis) float64 {
	share := 1.0
	switch s := p.state.(type) {
	case ejected:
		return 0
	case probing:
		share = ramp(now-s.since, RecoveryTime)
	case active:
	}
	if now < p.backoffUntil {
		share *= backoffShare
	}
	return share * p.coldShare(now)
}

// ramp grows linearly from minShare to 1 over the duration.
func ramp(elapsed, duration clock.Millis) float64 {
	if duration <= 0 || elapsed >= duration {
		return 1
	}
	return max(minShare, float64(elapsed)/float64(duration))
}
