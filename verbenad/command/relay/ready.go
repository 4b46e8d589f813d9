package relay

import (
	"time"

	"verbenabank/core/clock"
	"verbenabank/core/state/snap"
)

// readyWait is how long a request waits for rules that may be used, such as while
// the daemon starts or the control group changes its leader.
const readyWait = 500 * clock.Millisecond

// AwaitSnapshot returns a snapshot whose rules may be used. It waits for one for a while
// and reports false if none came.
func (r *Relay) AwaitSnapshot() (*snap.Snapshot, bool) {
	s, now := r.cell.Load(), r.clock.Now()
	for end := now.Add(readyWait); !s.RulesValid(now); s, now = r.cell.Load(), r.clock.Now() {
		if now >= end {
			return s, false
		}
		timer := time.NewTimer(end.Sub(now).Duration())
		select {
		case <-s.Superseded():
		case <-timer.C:
		}
		timer.Stop()
	}
	return s, true
}
