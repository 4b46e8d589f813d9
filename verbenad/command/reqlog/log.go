// Package reqlog logs the outcomes of failed requests at a limited rate: of each kind of
// line, the first ones in a second are written, and the others are counted and summarized
// in one line.
package reqlog

import (
	"strconv"
	"sync"

	"github.com/sirupsen/logrus"

	"verbenabank/core/clock"
	"verbenabank/core/state/result"
)

// maxLinesPerSecond limits the lines of each kind.
const maxLinesPerSecond = 10

// Logger is a rate-limited request log. It is safe for concurrent use.
type Logger struct {
	clock *clock.Clock
	log   *logrus.Entry
	part  string

	mu     sync.Mutex
	second clock.Millis
	counts map[string]int
}

// New returns the request log of a part of the daemon. Its lines start with the name of
// the part.
func New(c *clock.Clock, log *logrus.Entry, part string) *Logger {
	return &Logger{clock: c, log: log, part: part, counts: map[string]int{}}
}

// LogOutcome logs the outcome of a request, unless the target answered it without a failure.
// fields is called only if the line is written.
func (l *Logger) LogOutcome(o result.Outcome, fields func() logrus.Fields) {
	kind, reason, text := "", result.Reason(""), ": request has no answer"
	switch o := o.(type) {
	case result.Answered:
		if !o.Failed() {
			return
		}
		kind, reason, text = "answered", result.Reason(strconv.Itoa(o.Status())), ": the target answered that it failed"
	case result.Refused:
		kind, reason = "refused", o.Reason()
	case result.Unknown:
		kind, reason = "unknown", o.Reason()
	}
	if !l.allow(kind + " " + string(reason)) {
		return
	}
	f := fields()
	f["outcome"], f["reason"] = kind, string(reason)
	l.log.WithFields(f).Info(l.part + text)
}

// LogReset logs that the connection of a caller is reset, since the response to a request broke off or could
// not be written. fields is called only if the line is written.
func (l *Logger) LogReset(reason result.Reason, fields func() logrus.Fields) {
	if !l.allow("reset " + string(reason)) {
		return
	}
	f := fields()
	f["outcome"], f["reason"] = "reset", string(reason)
	l.log.WithFields(f).Info(l.part + ": connection of the caller is reset")
}

// allow counts a line of the kind and reports whether it is within the limit of the
// present second. With the first line of a new second it also logs the number of dropped
// lines of each kind.
func (l *Logger) allow(kind string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := l.clock.Now() / clock.Second; second != l.second {
		for k, n := range l.counts {
			if n > maxLinesPerSecond {
				l.log.WithField("kind", k).WithField("more", n-maxLinesPerSecond).Info(l.part + ": more requests ended so in that second")
			}
		}
		l.second = second
		clear(l.counts)
	}
	l.counts[kind]++
	return l.counts[kind] <= maxLinesPerSecond
}
