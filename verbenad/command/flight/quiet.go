package flight

import (
	"sync"
	"time"

	"verbenabank/core/clock"
	"verbenabank/core/state/table"
)

// quiet waits until no request of a place is older than patience.
type quiet struct {
	patience clock.Millis
	notify   func()
}

// Quiet calls notify once: when no request of the shard is in flight for longer
// than patience, or after span. notify must not block.
func (f *Tracker) Quiet(service string, s table.Shard, patience, span clock.Millis, notify func()) {
	var once sync.Once
	tell := func() { once.Do(notify) }
	f.mu.Lock()
	t := f.tally(place{service: service, shard: s})
	t.quiet = append(t.quiet, quiet{patience: patience, notify: tell})
	told := t.quieted(f.clock.Now())
	f.mu.Unlock()
	for _, n := range told {
		n()
	}
	time.AfterFunc(span.Duration(), tell)
}

// quieted returns those to be told that the place is quiet. The lock must be held.
func (t *tally) quieted(now clock.Millis) []func() {
	if len(t.quiet) == 0 {
		return nil
	}
	oldest := clock.Millis(0)
	for v := range t.inside {
		oldest = max(oldest, now-v.since)
	}
	var told []func()
	var left []quiet
	for _, q := range t.quiet {
		if oldest <= q.patience {
			told = append(told, q.notify)
		} else {
			left = append(left, q)
		}
	}
	t.quiet = left
	return told
}
