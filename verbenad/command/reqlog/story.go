// Package story logs what becomes of requests, in bounded volume: of each kind of line the
// first ones of a second are written, and the others are counted and summed up.
package reqlog

import (
	"strconv"
	"sync"

	"github.com/sirupsen/logrus"

	"verbenabank/core/clock"
	"verbenabank/core/state/result"
)

// linesEach bounds the lines of one kind in a second.
const linesEach = 10

// Logger writes lines. It is safe for concurrent use.
type Logger struct {
	clock *clock.Clock
	log   *logrus.Entry
	part  string

	mu     sync.Mutex
	second clock.Millis
	counts map[string]int
}

// New returns the story of a part of the daemon, whose lines begin with its name.
func New(c *clock.Clock, log *logrus.Entry, part string) *Logger {
	return &Logger{clock: c, log: log, part: part, counts: map[string]int{}}
}

// LogOutcome writes how a request ended at this part, unless a target answered it well.
func (s *Logger) LogOutcome(o result.Outcome, fields func() logrus.Fields) {
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
	if !s.admit(kind + " " + string(reason)) {
		return
	}
	f := fields()
	f["outcome"], f["reason"] = kind, string(reason)
	s.log.WithFields(f).Info(s.part + text)
}

// admit reports whether a line of the kind is written now, and sums up those of the last
// second that were not.
func (s *Logger) admit(kind string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := s.clock.Now() / clock.Second; second != s.second {
		for k, n := range s.counts {
			if n > linesEach {
				s.log.WithField("kind", k).WithField("more", n-linesEach).Info(s.part + ": more requests ended so in that second")
			}
		}
		s.second = second
		clear(s.counts)
	}
	s.counts[kind]++
	return s.counts[kind] <= linesEach
}
