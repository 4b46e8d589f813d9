// Package eject leaves a target of a pooled service before it is dead, and comes back
// to it by probing with a growing share of its work.
package eject

import (
	"verbenabank/core/clock"
	"verbenabank/core/query/choose"
	"verbenabank/core/state/table"
)

const (
	// ConsecutiveFailures in a row that eject a target.
	ConsecutiveFailures = 5
	// OutlierFactor is how many times the median of the latencies ejects a target.
	OutlierFactor = 4.0
	// MinOutlierLatency is the latency in milliseconds under which no target is ejected.
	MinOutlierLatency = 50.0
	// MinSamples is how many answers a target must have given before it can be an outlier.
	MinSamples = 20
	// BaseEjectionTime is how long a target is left at first; each time in a row doubles it.
	BaseEjectionTime = 1 * clock.Second
	// MaxEjectionTime is the longest time that a target is left.
	MaxEjectionTime = 30 * clock.Second
	// RecoveryTime is how long a target takes from the first probe to its full share.
	RecoveryTime = 5 * clock.Second
	// OutlierInterval is the time between two comparisons of latencies.
	OutlierInterval = 500 * clock.Millisecond
	// minShare is the share of a target that is probed or begins to warm up.
	minShare = 0.05
	// backoffShare is the share of a target that just turned work away.
	backoffShare     = 0.1
	latencySmoothing = 0.2
)

// Sample is how one attempt went: Good, Faulty, Late, Bad or Busy.
type Sample interface{ sample() }

// Good attempts were answered.
type Good struct{ span clock.Millis }

// Faulty attempts were answered by the target that it failed.
type Faulty struct{}

// NewGood returns the sample of an attempt that was answered after the span.
func NewGood(span clock.Millis) Good { return Good{span: span} }

// Late attempts were not answered before the caller's deadline.
type Late struct{ span clock.Millis }

// NewLate returns the sample of an attempt that was given up after the span.
func NewLate(span clock.Millis) Late { return Late{span: span} }

// Bad attempts failed on the target's side.
type Bad struct{}

// Busy attempts were turned away.
type Busy struct{ retryAfter clock.Millis }

// NewBusy returns the sample of an attempt that was turned away for the span.
func NewBusy(after clock.Millis) Busy { return Busy{retryAfter: after} }

func (Good) sample()   {}
func (Faulty) sample() {}
func (Late) sample()   {}
func (Bad) sample()    {}
func (Busy) sample()   {}

// ejectionState is where a target stands: active, away or probed.
type ejectionState interface{ ejectionState() }

type active struct{}

type ejected struct{ until clock.Millis }

type probing struct{ since clock.Millis }

func (active) ejectionState()  {}
func (ejected) ejectionState() {}
func (probing) ejectionState() {}

// peer is what is known of one target.
type peer struct {
	state               ejectionState
	firstSeen           clock.Millis
	backoffUntil        clock.Millis
	inFlight            int
	latency             float64
	errorRate           float64 // share of the answers by which the target said that it failed, at faulted
	lastErrorAt         clock.Millis
	samples             int
	consecutiveFailures int
	ejections           int
}

// Tracker knows the targets of one service. It is not safe for concurrent use.
type Tracker struct {
	peers            map[table.Incarnation]*peer
	nextOutlierCheck clock.Millis
}

// New returns a tracker that knows no target.
func New() *Tracker { return &Tracker{peers: map[table.Incarnation]*peer{}} }

// Keep makes members the targets that are known.
func (t *Tracker) Keep(members []table.Member, now clock.Millis) {
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

// Begin counts a request to the target.
func (t *Tracker) Begin(i table.Incarnation) {
	if p, ok := t.peers[i]; ok {
		p.inFlight++
	}
}

// End counts a request to the target as over.
func (t *Tracker) End(i table.Incarnation) {
	if p, ok := t.peers[i]; ok && p.inFlight > 0 {
		p.inFlight--
	}
}

// Note takes in how an attempt at the target went.
func (t *Tracker) Note(i table.Incarnation, s Sample, now clock.Millis) {
	p, ok := t.peers[i]
	if !ok {
		return
	}
	switch s := s.(type) {
	case Good:
		p.recordSuccess(float64(s.span))
	case Faulty:
		p.consecutiveFailures = 0
		p.errorRate = p.decayedErrorRate(now)
		p.errorRate += latencySmoothing * (1 - p.errorRate)
		p.lastErrorAt = now
	case Late:
		t.recordTimeout(p, float64(s.span), now)
	case Bad:
		t.recordFailure(p, now)
	case Busy:
		p.backoffUntil = now + max(s.retryAfter, 100*clock.Millisecond)
	}
	if now >= t.nextOutlierCheck {
		t.nextOutlierCheck = now + OutlierInterval
		t.ejectOutliers(now)
	}
}

func (p *peer) recordSuccess(span float64) {
	p.consecutiveFailures = 0
	p.errorRate -= latencySmoothing * p.errorRate
	p.samples++
	if p.samples == 1 {
		p.latency = span
		return
	}
	p.latency += latencySmoothing * (span - p.latency)
}

// recordTimeout is a failure of the target only if it took far longer than it does at other times: the
// deadline may have been too short for any target.
func (t *Tracker) recordTimeout(p *peer, span float64, now clock.Millis) {
	if span >= max(MinOutlierLatency, OutlierFactor*p.latency) {
		t.recordFailure(p, now)
		return
	}
	p.latency += latencySmoothing * max(0, span-p.latency)
}

// recordFailure ejects the target after enough failures in a row, or after one while it is probed.
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

// ejectionAllowed reports whether a third of the targets at most will be away or probed.
func (t *Tracker) ejectionAllowed() bool {
	out := 0
	for _, p := range t.peers {
		if _, ok := p.state.(active); !ok {
			out++
		}
	}
	return (out+1)*3 <= len(t.peers)
}

// View returns what is known of the member, and moves it on when its time is over. warmUp
// is how long a warming member takes to its full share.
func (t *Tracker) View(m table.Member, warmUp, now clock.Millis) choose.View {
	p, ok := t.peers[m.Incarnation()]
	if !ok {
		return choose.NewView(0, 0, 1)
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
	return choose.NewView(p.inFlight, p.cost(now), share)
}

// maxErrorRate is the share of failures beyond which a target is not told from worse ones.
const maxErrorRate = 0.8

// decayedErrorRate returns the share of failures as it counts at now: it fades, since a target that gets no
// work can show no better.
func (p *peer) decayedErrorRate(now clock.Millis) float64 {
	return p.errorRate * max(0, 1-float64(now-p.lastErrorAt)/float64(RecoveryTime))
}

// cost returns the expected time in milliseconds of a request at the target. One that fails counts
// for more than the time that it took, since few of its failures can be made good, and for some time
// even if it never answered well.
func (p *peer) cost(now clock.Millis) float64 {
	faults := min(p.decayedErrorRate(now), maxErrorRate)
	good := 1 - faults
	return (p.latency + faults*MinOutlierLatency) / good / good
}

// advance ends the time away and the probing.
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
	return share
}

// ramp grows from leastShare to 1 over the span.
func ramp(passed, span clock.Millis) float64 {
	if span <= 0 || passed >= span {
		return 1
	}
	return max(minShare, float64(passed)/float64(span))
}
