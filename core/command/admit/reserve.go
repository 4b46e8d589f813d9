package admit

import "verbenabank/core/clock"

const (
	// reserveDivisor is the largest part of the slots that is reserved for firm requests.
	reserveDivisor = 5
	// reserveLifetime is how long slots stay reserved after the last firm request.
	reserveLifetime = 1 * clock.Second
	// reserveSmoothing is the weight of the newest sample in the mean number of running firm requests.
	reserveSmoothing = 1.0 / 32
)

// reserve keeps slots free for firm requests, so that short calls don't wait for a slot behind long requests. It
// reserves no more slots than firm requests use on average.
type reserve struct {
	running int     // firm requests that hold a slot
	mean    float64 // number of others that run when a firm request arrives
	last    clock.Millis
}

// observe records the arrival of a firm request.
func (r *reserve) observe(now clock.Millis) {
	r.mean += reserveSmoothing * (float64(r.running) - r.mean)
	r.last = now
}

// slots returns how many of all slots other requests leave free.
func (r *reserve) slots(all int, now clock.Millis) int {
	if r.last == 0 || now-r.last > reserveLifetime {
		return 0
	}
	return min(int(r.mean), all/reserveDivisor)
}

// hasSlot reports whether a request may take a slot now.
func (lm *Limiter) hasSlot(firm bool, now clock.Millis) bool {
	if firm {
		return lm.inFlight < lm.limits.slots
	}
	return lm.inFlight < lm.limits.slots && lm.inFlight-lm.reserve.running < lm.limits.slots-lm.reserve.slots(lm.limits.slots, now)
}

// EndFirm records that a firm request ends, just before its slot is released.
func (lm *Limiter) EndFirm() {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.reserve.running--
}

// onlyFirm reports whether the free slots are for firm requests only, and whether one is waiting.
func (lm *Limiter) onlyFirm(now clock.Millis) (only, waiting bool) {
	if lm.hasSlot(false, now) {
		return false, false
	}
	for _, t := range lm.waiting {
		if t.request.firm {
			return true, true
		}
	}
	return true, false
}

// firmIndex returns the index of the firm request that goes next.
func (lm *Limiter) firmIndex(now clock.Millis) int {
	first := -1
	for k, t := range lm.waiting {
		if t.request.firm && (first < 0 || lm.less(t, lm.waiting[first], now)) {
			first = k
		}
	}
	return first
}
