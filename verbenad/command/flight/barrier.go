package flight

import "verbenabank/core/state/table"

// barrier waits for the requests that were in flight when it was created.
type barrier struct {
	pending map[*request]struct{}
	notify  func()
}

// OnCurrentDrained calls notify once, when all requests that are in flight at the call, in the shards
// of the service selected by match, have left. It doesn't wait for later requests. Neither
// match nor notify may block; match is called under the lock.
func (t *Tracker) OnCurrentDrained(service string, match func(s table.Shard) bool, notify func()) {
	t.mu.Lock()
	b := &barrier{pending: map[*request]struct{}{}, notify: notify}
	for k, st := range t.shards {
		if len(st.inFlight) == 0 || k.service != service || !match(k.shard) {
			continue
		}
		for r := range st.inFlight {
			b.pending[r] = struct{}{}
		}
	}
	if len(b.pending) > 0 {
		t.barriers[b] = struct{}{}
		t.mu.Unlock()
		return
	}
	t.mu.Unlock()
	notify()
}

// completeBarriers removes a request that has left from all barriers, and returns the
// callbacks of those that wait for no other. The lock must be held.
func (t *Tracker) completeBarriers(r *request) []func() {
	var callbacks []func()
	for b := range t.barriers {
		delete(b.pending, r)
		if len(b.pending) == 0 {
			delete(t.barriers, b)
			callbacks = append(callbacks, b.notify)
		}
	}
	return callbacks
}
