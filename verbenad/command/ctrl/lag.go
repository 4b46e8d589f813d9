package ctrl

import (
	"expvar"

	"github.com/sirupsen/logrus"

	"verbenabank/core/clock"
)

const (
	// lagWindow is the interval of the published maximum.
	lagWindow = clock.Second
	// maxNormalLag is the largest lag that is not logged.
	maxNormalLag = 200 * clock.Millisecond
)

// controlLag is the largest lag of the last lagWindow, in milliseconds.
var controlLag = expvar.NewInt("verbenad.control_lag_ms")

// lagMonitor measures how late the control goroutine runs when a timer is due. In a process whose processor is
// saturated by requests, renewals, sessions and configurations are that late at each of their steps.
type lagMonitor struct {
	log     *logrus.Entry
	begin   clock.Millis // of the window
	largest clock.Millis
}

func newLagMonitor(log *logrus.Entry) *lagMonitor { return &lagMonitor{log: log} }

// record takes the lag of a timer that was due and is handled now. Once in a window it publishes the largest.
func (m *lagMonitor) record(now, due clock.Millis) {
	m.largest = max(m.largest, now.Sub(due))
	if now.Sub(m.begin) < lagWindow {
		return
	}
	controlLag.Set(int64(m.largest))
	if m.largest > maxNormalLag {
		m.log.WithField("lag_ms", int64(m.largest)).Warn("ctrl: the control goroutine runs late")
	}
	m.begin, m.largest = now, 0
}
