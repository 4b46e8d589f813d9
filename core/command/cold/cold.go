// Package cold limits the requests to a target whose caches may be empty. A target that has just started, or that has
// lost its caches, runs requests slowly for some seconds and fails above a low rate, often below its usual share.
//
// A target may turn cold at any moment, and its daemon learns of it later. The Limiter therefore bounds the requests
// in any second since the target was last known to be warm, whether or not it is known to be cold by now. A target
// that gets less than the bound is never limited; a busy one is asked for its state before the bound is reached.
package cold

import (
	"sort"

	"verbenabank/core/clock"
	"verbenabank/core/state/load"
)

// AskPause is the least time between two questions to the target. An answer says nothing about requests that were sent
// just before its question, and each question counts as a request.
const AskPause = 10 * clock.Millisecond

const (
	// window is the time to which the bound applies.
	window = clock.Second
	// maxSendDelay is how much later than it was counted a request may reach the target.
	maxSendDelay = 150 * clock.Millisecond
	// maxReportDelay is how long before its arrival a heartbeat may have been written, unless its target was silent.
	maxReportDelay = 200 * clock.Millisecond
	// maxSilence is the time without a heartbeat after which the next one may be late and is no proof of a warm target.
	maxSilence = 1500 * clock.Millisecond
	// minReportGap is the least time between two heartbeats that count: those that waited on the way arrive together.
	minReportGap = 400 * clock.Millisecond
	// maxOvertaking is how much later than a question that was sent after it a request may reach the target.
	maxOvertaking = 20 * clock.Millisecond
	// askAgainAfter is the pause after a question to the target that was not answered.
	askAgainAfter = 250 * clock.Millisecond
	// askShare is the share of the limit from which on the target is asked for its state.
	askShare = 0.85
	// reserved is the part of the bound that is not used, in requests: questions to the target may count.
	reserved = 1
	// maxLimit bounds the memory of a limiter.
	maxLimit = 1 << 14
)

// Bound is how many requests a cold target may get in any second: a multiple of the rate that it takes, plus a number
// of requests.
type Bound struct {
	overshoot float64
	slack     float64
}

// NewBound returns a bound. overshoot is the multiple of the rate that a cold target takes, and slack a number of
// requests on top.
func NewBound(overshoot, slack float64) Bound { return Bound{overshoot: overshoot, slack: slack} }

// Limit returns the highest number of requests in a second for a target that takes the rate, in requests per second,
// while it is cold. It is at least 1.
func (b Bound) Limit(rate float64) int {
	return max(1, int(min(rate*b.overshoot+b.slack, maxLimit))-reserved)
}

// Verdict is the decision on one request: Admitted, Refused or Unproven.
type Verdict interface{ verdict() }

// Admitted means that the request may go on.
type Admitted struct{}

// Refused means that the target is cold and takes no further request at present.
type Refused struct{ retryAfter clock.Millis }

// RetryAfter returns when the target takes another request.
func (r Refused) RetryAfter() clock.Millis { return r.retryAfter }

// Unproven means that the target may be cold, and takes no further request unless it is found to be warm.
type Unproven struct{ retryAfter clock.Millis }

// RetryAfter returns when the target takes another request without being found to be warm.
func (u Unproven) RetryAfter() clock.Millis { return u.retryAfter }

func (Admitted) verdict() {}
func (Refused) verdict()  {}
func (Unproven) verdict() {}

// Limiter limits the requests to one target at a time. It is not safe for concurrent use. Its memory is bounded by the
// limit.
type Limiter struct {
	longest   clock.Millis // 0 if it is not known how long targets stay cold
	sent      []clock.Millis
	next      int // index in sent of the earliest one
	entered   int // requests that entered and were not sent so far
	warmAt    clock.Millis
	foundCold clock.Millis // when the target was last reported as cold
	coldUntil clock.Millis
	heardAt   clock.Millis
	asking    bool
	askedAt   clock.Millis
	failedAt  clock.Millis
}

// never is before any instant of the clock.
const never = -clock.Minute

// maxCold bounds the time for which a target may claim to stay cold if the rules don't say it.
const maxCold = clock.Minute

// New returns the limiter of a target that may have received requests before now from an earlier process of the
// daemon. limit is the highest number of requests in a second, at least 1, and longest the time for which a target
// stays cold, 0 if it is not known.
func New(limit int, longest, now clock.Millis) *Limiter {
	l := &Limiter{}
	l.setLimit(max(1, min(limit, maxLimit)), longest, now)
	return l
}

// setLimit sets the limit, and counts as many requests that the target received just before now.
func (l *Limiter) setLimit(limit int, longest, now clock.Millis) {
	l.longest, l.next = longest, 0
	at := now - maxOvertaking
	l.sent = make([]clock.Millis, limit)
	for i := range l.sent {
		l.sent[i] = at
	}
	l.forget()
}

// forget drops what is known about the target.
func (l *Limiter) forget() {
	l.warmAt, l.foundCold, l.coldUntil, l.heardAt, l.askedAt, l.failedAt, l.asking = never, never, never, never, never, never, false
}

// Update sets the limit and the longest cold time, if they differ from those set before.
func (l *Limiter) Update(limit int, longest, now clock.Millis) {
	l.longest = longest
	if limit = max(1, min(limit, maxLimit)); limit != len(l.sent) {
		l.setLimit(limit, longest, now)
	}
}

// Replace begins with another process of the target, which has received no request.
func (l *Limiter) Replace() {
	for i := range l.sent {
		l.sent[i] = never
	}
	l.forget()
}

// Enter decides whether a request may wait for its turn at the target. One that is admitted is counted until Leave.
func (l *Limiter) Enter(now clock.Millis) Verdict {
	waiting := 0
	if l.isCold(now) {
		waiting = l.entered
	}
	if l.counted(now)+waiting >= len(l.sent) {
		return l.refusal(waiting, now)
	}
	l.entered++
	return Admitted{}
}

// Leave ends the wait of a request that entered, before it is sent or when it is not.
func (l *Limiter) Leave() { l.entered = max(0, l.entered-1) }

// Send decides whether a request may be sent now, and counts it if so.
func (l *Limiter) Send(now clock.Millis) Verdict {
	if l.counted(now) >= len(l.sent) {
		return l.refusal(0, now)
	}
	l.count(now)
	return Admitted{}
}

func (l *Limiter) count(now clock.Millis) {
	l.sent[l.next] = now
	l.next = (l.next + 1) % len(l.sent)
}

// counted returns the number of requests that a target may have received within a second while it was cold.
func (l *Limiter) counted(now clock.Millis) int { return len(l.sent) - l.firstCounted(now) }

// firstCounted returns the position of the first request that counts, in the order of their sending.
func (l *Limiter) firstCounted(now clock.Millis) int {
	since := max(now-window-maxSendDelay, l.warmAt-maxOvertaking)
	return sort.Search(len(l.sent), func(i int) bool { return l.at(i) > since })
}

// at returns when the request at a position in the order of sending was sent.
func (l *Limiter) at(i int) clock.Millis { return l.sent[(l.next+i)%len(l.sent)] }

// refusal returns the verdict on a request behind others that wait.
func (l *Limiter) refusal(waiting int, now clock.Millis) Verdict {
	after := window + maxSendDelay
	if waiting < len(l.sent) {
		after = max(1, l.at(waiting)+after-now)
	}
	if l.isCold(now) {
		return Refused{retryAfter: after}
	}
	return Unproven{retryAfter: after}
}

func (l *Limiter) isCold(now clock.Millis) bool { return now < l.coldUntil }

// Report records a heartbeat that names the time for which the target stays cold, 0 if it is warm. The heartbeat of a
// target that was silent may have waited on the way: only Answered, or the next one in time, shows then that it is warm.
func (l *Limiter) Report(left, now clock.Millis) {
	gap := now - l.heardAt
	switch {
	case left > 0:
		l.setCold(left, now)
	case gap < minReportGap:
		return
	case gap <= maxSilence:
		l.setWarm(now - maxReportDelay)
	}
	l.heardAt = now
}

// Ask reports whether the target is to be asked now whether it is cold, and counts the question as a request. Answered
// or Failed must follow.
func (l *Limiter) Ask(now clock.Millis) bool {
	unknown := l.warmAt == never || float64(l.counted(now)) >= askShare*float64(len(l.sent))
	if l.asking || l.isCold(now) || now-l.askedAt < AskPause || now-l.failedAt < askAgainAfter || !unknown {
		return false
	}
	l.asking, l.askedAt = true, now
	l.count(now)
	return true
}

// Answered records the answer to a question that was sent at an instant: for how long the target stays cold, 0 if it
// is warm.
func (l *Limiter) Answered(asked, left, now clock.Millis) {
	l.asking = false
	if left > 0 {
		l.setCold(left, now)
		return
	}
	l.setWarm(asked)
}

// Failed records that a question was not answered.
func (l *Limiter) Failed(now clock.Millis) { l.asking, l.failedAt = false, now }

func (l *Limiter) setCold(left, now clock.Millis) {
	limit := maxCold
	if l.longest > 0 {
		limit = l.longest
	}
	l.foundCold, l.coldUntil = now, now+min(left, limit)
}

// setWarm records that the target was warm at an instant, unless it was found to be cold later.
func (l *Limiter) setWarm(at clock.Millis) {
	if at < l.foundCold {
		return
	}
	l.warmAt, l.coldUntil = max(l.warmAt, at), never
}

// State returns how long the target is known to stay cold and how many requests it takes at present, the zero value if
// it is not known to be cold.
func (l *Limiter) State(now clock.Millis) load.ColdStart {
	if !l.isCold(now) {
		return load.ColdStart{}
	}
	return load.NewColdStart(l.coldUntil-now, max(0, len(l.sent)-l.counted(now)-l.entered))
}
