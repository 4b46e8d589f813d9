// Package backlog keeps the last backlog that each target reported, and estimates what the target has left to do now.
//
// A report ages: other daemons send requests too, and the target goes on working. So the estimate moves from the
// reported work to the mean of earlier reports, at the rate at which the target works, and what this daemon has
// sent since the report is added. Deciding by old figures as if they were new makes all daemons pick the same target
// (M. Mitzenmacher, "How Useful Is Old Information?", 2000).
package backlog

import (
	"maps"
	"math"
	"sync"

	"verbenabank/core/clock"
	"verbenabank/core/state/load"
	"verbenabank/core/state/table"
)

const (
	// MaxAge is how long a report is used.
	MaxAge = 10 * clock.Second
	// MaxTargets is the maximum number of targets that a Table knows.
	MaxTargets = 1024
	// meanAge is the time constant of the mean of the reports of one target.
	meanAge = 2 * clock.Second
	// drift is the rate at which the estimate moves from the last report to the mean of the reports, as a fraction of
	// the rate at which the target works: the work that others send makes up for the rest.
	drift = 0.25
	// maxWork limits the work of one report per slot, in milliseconds, so that a false report cannot keep requests
	// away for longer than until the next one.
	maxWork = 60_000
	// maxCorrection limits the factor by which estimates for one target are corrected.
	maxCorrection = 32.0
	// comparisons is the number of requests over which predictions are compared with what came.
	comparisons = 8.0
	// usualRequests is the number of requests of usual duration that are added to those in flight.
	usualRequests = 3.0
	// tolerance is how far the mean of the requests may exceed the prediction without a correction, as a fraction of it.
	tolerance = 0.5
	// correctionAge is how long a target without requests keeps its correction, which falls linearly: it cannot show
	// that it has recovered.
	correctionAge = 5 * clock.Second
	// assumedSlots is the number of slots of a target without a fresh report, for the requests of this daemon.
	assumedSlots = 4.0
	// sweepInterval is the least time between two removals of targets that are no longer used.
	sweepInterval = clock.Second
)

// Table holds the last report of each target. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	targets map[table.Incarnation]*target
	sweepAt clock.Millis
}

// target is what is known of one target. Work is in milliseconds of one slot.
type target struct {
	last         load.Backlog
	at           clock.Millis // when last arrived
	slots        float64      // of last, 0 if no report arrived
	lastWork     float64      // of last
	lastRequests float64      // of last
	meanTime     float64      // of last
	meanWork     float64
	meanRequests float64
	sentWork     float64 // of the requests sent since the last report that are still in flight
	sent         int     // number of these requests
	inFlight     int
	openSince    float64 // sum of the instants at which the requests in flight were sent
	openExpected float64 // sum of their predicted times
	usedAt       clock.Millis

	predictionError float64 // moving average of the time of a request over the predicted one as of comparedAt
	comparedAt      clock.Millis
}

// New returns a table without reports.
func New() *Table { return &Table{targets: map[table.Incarnation]*target{}} }

// Record replaces the last report of the target by one that arrived at now. A report that is not known is ignored.
func (t *Table) Record(i table.Incarnation, b load.Backlog, now clock.Millis) {
	if !b.Known() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.target(i, now)
	if x == nil {
		return
	}
	weight := 1.0
	if x.fresh(now) {
		weight = 1 - math.Exp(-float64(max(1, now-x.at))/float64(meanAge))
	}
	x.last, x.at, x.sentWork, x.sent = b, now, 0, 0
	x.slots, x.meanTime = float64(b.Slots()), float64(max(1, b.MeanTime()))
	x.lastWork, x.lastRequests = min(float64(b.Work()), maxWork*x.slots), float64(b.Running()+b.Waiting())
	x.meanWork += weight * (x.lastWork - x.meanWork)
	x.meanRequests += weight * (x.lastRequests - x.meanRequests)
}

// Sent is a request that this daemon has sent to a target. Done must be called with it when the request has ended. The
// zero value stands for a request that is not counted, since the table was full.
type Sent struct {
	target table.Incarnation
	cost   float64
	at     clock.Millis

	predicted float64 // time in milliseconds until its response
}

// Replied corrects the estimates for the target by a request that was answered at now: if its requests take longer
// than predicted, the reports are false or something else delays them.
func (t *Table) Replied(s Sent, now clock.Millis) { t.compare(s, now, false) }

// Overdue corrects the estimates by a request that was not answered by now.
func (t *Table) Overdue(s Sent, now clock.Millis) { t.compare(s, now, true) }

func (t *Table) compare(s Sent, now clock.Millis, atLeast bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x, ok := t.targets[s.target]
	if !ok || s.predicted <= 0 {
		return
	}
	r := min(float64(now-s.at)/s.predicted, maxCorrection)
	before := x.decayedError(now)
	if atLeast && r < before {
		return
	}
	x.predictionError, x.comparedAt = before+(r-before)/comparisons, now
}

// Sent counts a request of an expected service time in milliseconds as sent to the target.
func (t *Table) Sent(i table.Incarnation, cost float64, now clock.Millis) Sent {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.target(i, now)
	if x == nil {
		return Sent{}
	}
	s := Sent{target: i, cost: cost, at: now, predicted: cost + x.wait(now)}
	x.inFlight++
	x.openSince += float64(now)
	x.openExpected += s.predicted
	x.sent++
	x.sentWork += cost
	return s
}

// Done counts a request as ended.
func (t *Table) Done(s Sent, now clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x, ok := t.targets[s.target]
	if !ok || x.inFlight == 0 {
		return
	}
	x.inFlight--
	x.openSince -= float64(s.at)
	x.openExpected = max(0, x.openExpected-s.predicted)
	x.usedAt = now
	if s.at >= x.at && x.sent > 0 {
		x.sent--
		x.sentWork = max(0, x.sentWork-s.cost)
	}
}

// Expected returns what the target is expected to have left to do at now.
func (t *Table) Expected(i table.Incarnation, now clock.Millis) Expected {
	t.mu.Lock()
	defer t.mu.Unlock()
	x, ok := t.targets[i]
	if !ok {
		return Expected{}
	}
	return x.expected(now)
}

// Wait returns the expected time until a slot of the target becomes free, with the correction, and whether a report of
// the target is fresh enough. It is Expected(i, now).Wait() x Expected(i, now).Correction() in one step.
func (t *Table) Wait(i table.Incarnation, now clock.Millis) (wait, correction float64, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x, ok := t.targets[i]
	if !ok {
		return 0, 1, false
	}
	correction = x.correction(now)
	return x.wait(now) * correction, correction, x.fresh(now)
}

// Len returns the number of targets that the table knows.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.targets)
}

// target returns the entry of a target, a new one if there is none, nil if the table is full.
func (t *Table) target(i table.Incarnation, now clock.Millis) *target {
	x, ok := t.targets[i]
	if !ok {
		if len(t.targets) >= MaxTargets && now >= t.sweepAt {
			t.sweepAt = now + sweepInterval
			maps.DeleteFunc(t.targets, func(_ table.Incarnation, x *target) bool { return x.inFlight == 0 && now-x.usedAt > MaxAge })
		}
		if len(t.targets) >= MaxTargets {
			return nil
		}
		x = &target{}
		t.targets[i] = x
	}
	x.usedAt = now
	return x
}

func (x *target) fresh(now clock.Millis) bool { return x.slots > 0 && now-x.at <= MaxAge }

// decayedError returns the prediction error, 1 if there were no comparisons lately.
func (x *target) decayedError(now clock.Millis) float64 {
	if x.comparedAt == 0 {
		return 1
	}
	return 1 + (x.predictionError-1)*max(0, 1-float64(now-x.comparedAt)/float64(correctionAge))
}

// overdue returns by how much the requests in flight together exceed their predicted times. Some more requests of usual
// duration are added, so that a single long one says little.
func (x *target) overdue(now clock.Millis) float64 {
	if x.inFlight == 0 || x.openExpected == 0 {
		return 0
	}
	n := float64(x.inFlight)
	return min(maxCorrection, (n*float64(now)-x.openSince)/(x.openExpected*(1+usualRequests/n)))
}

// correction returns the factor by which estimates for the target are corrected.
func (x *target) correction(now clock.Millis) float64 {
	return max(1, x.decayedError(now)-tolerance, x.overdue(now)-tolerance)
}

func (x *target) expected(now clock.Millis) Expected {
	e := Expected{inFlight: x.inFlight, sent: x.sent, correction: x.correction(now), wait: x.wait(now)}
	e.work, e.requests = x.left(now)
	if x.fresh(now) {
		e.last, e.age = x.last, now-x.at
	}
	return e
}

// left returns the expected work left and the expected number of requests.
func (x *target) left(now clock.Millis) (work, requests float64) {
	work, requests = x.sentWork, float64(x.sent)
	if !x.fresh(now) {
		return work, requests
	}
	moved := drift * float64(max(0, now-x.at)) * x.slots
	work += toward(x.lastWork, x.meanWork, moved)
	requests += toward(x.lastRequests, x.meanRequests, moved/x.meanTime)
	return work, requests
}

// wait returns the expected time until a slot becomes free.
func (x *target) wait(now clock.Millis) float64 {
	slots := assumedSlots
	if x.fresh(now) {
		slots = x.slots
	}
	work, requests := x.left(now)
	occupied := min(1, requests/slots)
	return work / slots * occupied * occupied
}

// toward returns a value moved toward another one by at most distance.
func toward(from, to, distance float64) float64 {
	if from < to {
		return min(to, from+distance)
	}
	return max(to, from-distance)
}
