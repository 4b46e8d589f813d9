package flight

import "verbenabank/core/state/table"

// past waits until requests that were inside at one instant have left.
type past struct {
	left   map[*visit]struct{}
	notify func()
}

// Past calls notify once, when all requests have left that are inside at the call, of the
// shards of the service that match chooses. match must not block, and notify neither.
func (f *Tracker) Past(service string, match func(s table.Shard) bool, notify func()) {
	f.mu.Lock()
	p := &past{left: map[*visit]struct{}{}, notify: notify}
	for at, t := range f.places {
		if len(t.inside) == 0 || at.service != service || !match(at.shard) {
			continue
		}
		for v := range t.inside {
			p.left[v] = struct{}{}
		}
	}
	if len(p.left) > 0 {
		f.past[p] = struct{}{}
		f.mu.Unlock()
		return
	}
	f.mu.Unlock()
	notify()
}

// pass returns those to be told that the requests before them have left, now that v has.
// The lock must be held.
func (f *Tracker) pass(v *visit) []func() {
	var told []func()
	for p := range f.past {
		delete(p.left, v)
		if len(p.left) == 0 {
			delete(f.past, p)
			told = append(told, p.notify)
		}
	}
	return told
}
