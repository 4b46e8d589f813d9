package front

import (
	"sync"

	"github.com/sirupsen/logrus"

	"verbenabank/core/clock"
	"verbenabank/core/state/result"
)

// linesEach bounds the lines of one outcome and reason in a second. Further ones are counted
// and summed up in one line.
const linesEach = 10

// story logs the requests that were not answered, in bounded volume.
type story struct {
	mu     sync.Mutex
	second clock.Millis
	counts map[string]int
}

// tell logs how a request ended, unless a target answered it.
func (f *Front) tell(x *exchange, o result.Outcome) {
	kind, reason := "", result.Reason("")
	switch o := o.(type) {
	case result.Answered:
		return
	case result.Refused:
		kind, reason = "refused", o.Reason()
	case result.Unknown:
		kind, reason = "unknown", o.Reason()
	}
	now := f.clock.Now()
	if !f.story.admit(f.log, kind+" "+string(reason), now) {
		return
	}
	f.log.WithFields(logrus.Fields{
		"request": x.ask.id, "route": x.route, "service": x.service, "key": x.number, "outcome": kind,
		"reason": string(reason), "asked": x.asked, "by": x.by, "table": x.version, "took_ms": int64(now - x.began),
	}).Info("front: request has no answer")
}

// admit reports whether a line of the kind is written now, and sums up those that were not.
func (s *story) admit(log *logrus.Entry, kind string, now clock.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := now / clock.Second; second != s.second || s.counts == nil {
		for k, n := range s.counts {
			if n > linesEach {
				log.WithField("kind", k).WithField("more", n-linesEach).Info("front: more requests had no answer in that second")
			}
		}
		s.second, s.counts = second, map[string]int{}
	}
	s.counts[kind]++
	return s.counts[kind] <= linesEach
}
