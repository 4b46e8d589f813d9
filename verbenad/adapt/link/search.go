package link

import (
	"time"

	"github.com/sirupsen/logrus"

	"verbenabank/core/command/attach"
)

// searchReportInterval is the interval of the log lines of a daemon without a session.
const searchReportInterval = 2 * time.Second

// search logs how long a daemon has had no session, and what became of its attempts to open one.
type search struct {
	log      *logrus.Entry
	began    time.Time
	reported time.Time
}

func newSearch(log *logrus.Entry) *search {
	now := time.Now()
	return &search{log: log, began: now, reported: now}
}

// found logs that a session begins at the address.
func (s *search) found(address string, t attach.Tally) {
	s.entry(t).WithField("address", address).Info("link: session with the leader")
}

// report logs that there is still no session, at most once in searchReportInterval.
func (s *search) report(t attach.Tally) {
	if time.Since(s.reported) < searchReportInterval {
		return
	}
	s.reported = time.Now()
	s.entry(t).Warn("link: no session with the leader")
}

func (s *search) entry(t attach.Tally) *logrus.Entry {
	return s.log.WithFields(logrus.Fields{
		"without_ms": time.Since(s.began).Milliseconds(), "attempts": t.Attempts(), "redirects": t.Redirects(),
		"overdue": t.Overdue(), "unconnected": t.Unconnected(), "unanswered": t.Unanswered(),
	})
}
