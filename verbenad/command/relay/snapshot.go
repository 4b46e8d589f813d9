package relay

import (
	"time"

	"verbenabank/core/clock"
	"verbenabank/core/state/snap"
)

// rulesWait is how long a request waits for valid rules, which are missing while the daemon starts
// and can expire while the control group elects a leader.
const rulesWait = 500 * clock.Millisecond

// AwaitSnapshot returns a snapshot whose rules are valid. It blocks for at most 500 ms and reports false
// if no such snapshot was published by then.
func (r *Relay) AwaitSnapshot() (*snap.Snapshot, bool) {
	s, now := r.store.Load(), r.clock.Now()
	for end := now.Add(rulesWait); !s.RulesValid(now); s, now = r.store.Load(), r.clock.Now() {
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
