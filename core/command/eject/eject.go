// Package eject leaves a target of a pooled service before it is dead, and comes back
// to it by probing with a growing share of its work.
package eject

import (
	"verbenabank/core/clock"
	"verbenabank/core/query/picker"
	"verbenabank/core/state/table"
)

const (
	// Failures in a row that eject a target.
	Failures = 5
	// Outlier is how many times the median of the latencies ejects a target.
	Outlier = 4.0
	// OutlierFloor is the latency in milliseconds under which no target is ejected.
	OutlierFloor = 50.0
	// Samples is how many answers a target must have given before it can be an outlier.
	Samples = 20
	// Away is how long a target is left at first; each time in a row doubles it.
	Away = 1 * clock.Second
	// MaxAway is the longest time that a target is left.
	MaxAway = 30 * clock.Second
	// Return is how long a target takes from the first probe to its full share.
	Return = 5 * clock.Second
	// Review is the time between two comparisons of latencies.
	Review = 500 * clock.Millisecond
	// leastShare is the share of a target that is probed or begins to warm up.
	leastShare = 0.05
	// restShare is the share of a target that just turned work away.
	restShare = 0.1
	smoothing = 0.2
)

// Sample is how one attempt went: Good, Faulty, Late, Bad or Busy.
type Sample interface{ sample() }

// Success attempts were answered.
type Success struct{ span clock.Millis }

// ErrorResponse attempts were answered by the target that it failed.
type ErrorResponse struct{}

// NewSuccess returns the sample of an attempt that was answered after the span.
func NewSuccess(span clock.Millis) Success { return Success{span: span} }

// TimedOut attempts were not answered before the caller's deadline.
type TimedOut struct{ span clock.Millis }

// NewTimedOut returns the sample of an attempt that was given up after the span.
func NewTimedOut(span clock.Millis) TimedOut { return TimedOut{span: span} }

// Failed attempts failed on the target's side.
type Failed struct{}

// Rejected attempts were turned away.
type Rejected struct{ after clock.Millis }

// NewRejected returns the sample of an attempt that was turned away for the span.
func NewRejected(after clock.Millis) Rejected { return Rejected{after: after} }

func (Success) sample()       {}
func (ErrorResponse) sample() {}
func (TimedOut) sample()      {}
func (Failed) sample()        {}
func (Rejected) sample()      {}

// standing is where a target stands: active, away or probed.
type standing interface{ standing() }

type active struct{}

type away struct{ until clock.Millis }

type probed struct{ since clock.Millis }

func (active) standing() {}
func (away) standing()   {}
func (probed) standing() {}

// peer is what is known of one target.
type peer struct {
	standing standing
	seen     clock.Millis
	rest     clock.Millis
	inFlight int
	latency  float64
	faults   float64 // share of the answers by which the target said that it failed, at faulted
	faulted  clock.Millis
	samples  int
	failures int
	times    int
}

// Tracker knows the targets of one service. It is not safe for concurrent use.
type Tracker struct {
	peers  map[table.Incarnation]*peer
	review clock.Millis
}

// New returns a tracker that knows no target.
func New() *Tracker { return &Tracker{peers: map[table.Incarnation]*peer{}} }

// SetMembers makes members the targets that are known.
func (t *Tracker) SetMembers(members []table.Member, now clock.Millis) {
	next := make(map[table.Incarnation]*peer, len(members))
	for _, m := range members {
		p, ok := t.peers[m.Incarnation()]
		if !ok {
			p = &peer{standing: active{}, seen: now}
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

// Record takes in how an attempt at the target went.
func (t *Tracker) Record(i table.Incarnation, s Sample, now clock.Millis) {
	p, ok := t.peers[i]
	if !ok {
		return
	}
	switch s := s.(type) {
	case Success:
		p.answered(float64(s.span))
	case ErrorResponse:
		p.failures = 0
		p.faults = p.faulty(now)
		p.faults += smoothing * (1 - p.faults)
		p.faulted = now
	case TimedOut:
		t.late(p, float64(s.span), now)
	case Failed:
		t.failed(p, now)
	case Rejected:
		p.rest = now + max(s.after, 100*clock.Millisecond)
	}
	if now >= t.review {
		t.review = now + Review
		t.outliers(now)
	}
}

func (p *peer) answered(span float64) {
	p.failures = 0
	p.faults -= smoothing * p.faults
	p.samples++
	if p.samples == 1 {
		p.latency = span
		return
	}
	p.latency += smoothing * (span - p.latency)
}

// late is a failure of the target only if it took far longer than it does at other times: the
// deadline may have been too short for any target.
func (t *Tracker) late(p *peer, span float64, now clock.Millis) {
	if span >= max(OutlierFloor, Outlier*p.latency) {
		t.failed(p, now)
		return
	}
	p.latency += smoothing * max(0, span-p.latency)
}

// failed ejects the target after enough failures in a row, or after one while it is probed.
func (t *Tracker) failed(p *peer, now clock.Millis) {
	p.failures++
	switch p.standing.(type) {
	case probed:
		t.eject(p, now)
	case active:
		if p.failures >= Failures && t.mayEject() {
			t.eject(p, now)
		}
	case away:
	}
}

func (t *Tracker) eject(p *peer, now clock.Millis) {
	p.standing = away{until: now + min(Away<<min(p.times, 5), MaxAway)}
	p.times++
	p.failures, p.samples, p.latency = 0, 0, 0
}

// mayEject reports whether a third of the targets at most will be away or probed.
func (t *Tracker) mayEject() bool {
	out := 0
	for _, p := range t.peers {
		if _, ok := p.standing.(active); !ok {
			out++
		}
	}
	return (out+1)*3 <= len(t.peers)
}

// View returns what is known of the member, and moves it on when its time is over. warmUp
// is how long a warming member takes to its full share.
func (t *Tracker) View(m table.Member, warmUp, now clock.Millis) picker.Stats {
	p, ok := t.peers[m.Incarnation()]
	if !ok {
		return picker.NewStats(0, 0, 1)
	}
	p.advance(now)
	share := p.share(now)
	switch m.Phase().(type) {
	case table.Warming:
		share *= ramp(now-p.seen, warmUp)
	case table.Serving:
	case table.Leaving:
		share = 0
	}
	return picker.NewStats(p.inFlight, p.cost(now), share)
}

// mostFaults is the share of failures beyond which a target is not told from worse ones.
const mostFaults = 0.8

// faulty returns the share of failures as it counts at now: it fades, since a target that gets no
// work can show no better.
func (p *peer) faulty(now clock.Millis) float64 {
	return p.faults * max(0, 1-float64(now-p.faulted)/float64(Return))
}

// cost returns the expected time in milliseconds of a request at the target. One that fails counts
// for more than the time that it took, since few of its failures can be made good, and for some time
// even if it never answered well.
func (p *peer) cost(now clock.Millis) float64 {
	faults := min(p.faulty(now), mostFaults)
	good := 1 - faults
	return (p.latency + faults*OutlierFloor) / good / good
}

// advance ends the time away and the probing.
func (p *peer) advance(now clock.Millis) {
	switch s := p.standing.(type) {
	case away:
		if now >= s.until {
			p.standing = probed{since: now}
		}
	case probed:
		if now-s.since >= Return {
			p.standing, p.times = active{}, 0
		}
	case active:
	}
}

func (p *peer) share(now clock.Millis) float64 {
	share := 1.0
	switch s := p.standing.(type) {
	case away:
		return 0
	case probed:
		share = ramp(now-s.since, Return)
	case active:
	}
	if now < p.rest {
		share *= restShare
	}
	return share
}

// ramp grows from leastShare to 1 over the span.
func ramp(passed, span clock.Millis) float64 {
	if span <= 0 || passed >= span {
		return 1
	}
	return max(leastShare, float64(passed)/float64(span))
}
