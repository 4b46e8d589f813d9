package metric

import (
	"cmp"
	"slices"

	"verbenabank/core/clock"
	"verbenabank/vload/state/call"
)

// Unavailability measures how long keys were not served.
type Unavailability struct {
	seconds   int
	requested int
	longest   clock.Millis
}

// NewUnavailability computes the unavailability from the calls of a run whose load
// began at from. A response that took longer than within counts as no response.
func NewUnavailability(calls []call.Call, within, from clock.Millis) Unavailability {
	groups := make(map[key][]call.Call)
	for _, c := range calls {
		k := key{service: c.Request().Service(), name: c.Request().Key()}
		groups[k] = append(groups[k], c)
	}
	var u Unavailability
	for _, g := range groups {
		slices.SortStableFunc(g, func(a, b call.Call) int { return cmp.Compare(a.DueAt(), b.DueAt()) })
		u.countSeconds(g, within, from)
		u.longest = max(u.longest, longestOutage(g, within))
	}
	return u
}

// countSeconds adds the seconds of one key, counted from the start of the load.
func (u *Unavailability) countSeconds(calls []call.Call, within, from clock.Millis) {
	served := make(map[clock.Millis]bool)
	for _, c := range calls {
		second := (c.DueAt() - from) / clock.Second
		served[second] = served[second] || answeredInTime(c, within)
	}
	for _, ok := range served {
		u.requested++
		if !ok {
			u.seconds++
		}
	}
}

func answeredInTime(c call.Call, within clock.Millis) bool {
	return Answered(c) && c.Latency() <= within.Duration()
}

// longestOutage returns the longest outage in the calls of one key, which are sorted
// by due time. An outage begins when the first request that is not answered in time
// is due, and lasts until the last such request ends or the next request that is
// answered in time is due, whichever comes first.
func longestOutage(calls []call.Call, within clock.Millis) clock.Millis {
	longest, since, until, open := clock.Millis(0), clock.Millis(0), clock.Millis(0), false
	for _, c := range calls {
		if answeredInTime(c, within) {
			longest, open, until = max(longest, min(until, c.DueAt())-since), false, 0
			continue
		}
		if !open {
			since, open = c.DueAt(), true
		}
		until = max(until, c.DueAt()+clock.Millis(c.Latency().Milliseconds()))
	}
	if open {
		longest = max(longest, until-since)
	}
	return longest
}

// Seconds returns the number of key-seconds without service: seconds, summed over
// all keys, in which a key was requested and none of its requests was answered in
// time.
func (u Unavailability) Seconds() int { return u.seconds }

// Share returns Seconds as a fraction of all key-seconds with requests.
func (u Unavailability) Share() float64 { return ratio(u.seconds, u.requested) }

// Longest returns the longest observed outage of a single key.
func (u Unavailability) Longest() clock.Millis { return u.longest }
