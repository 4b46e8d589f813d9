package metric

import (
	"cmp"
	"slices"

	"verbenabank/core/clock"
	"verbenabank/vload/state/call"
)

// Unavailable says for how long keys were not served.
type Unavailable struct {
	seconds int
	asked   int
	longest clock.Millis
}

// NewUnavailable returns the unavailable time of the calls of a run whose load
// began at an instant. An answer that took longer than within counts as none.
func NewUnavailable(calls []call.Call, within, from clock.Millis) Unavailable {
	groups := make(map[key][]call.Call)
	for _, c := range calls {
		k := key{service: c.Request().Service(), name: c.Request().Key()}
		groups[k] = append(groups[k], c)
	}
	var u Unavailable
	for _, g := range groups {
		slices.SortStableFunc(g, func(a, b call.Call) int { return cmp.Compare(a.DueAt(), b.DueAt()) })
		u.count(g, within, from)
		u.longest = max(u.longest, gap(g, within))
	}
	return u
}

func (u *Unavailable) count(calls []call.Call, within, from clock.Millis) {
	served := make(map[clock.Millis]bool)
	for _, c := range calls {
		second := (c.DueAt() - from) / clock.Second
		served[second] = served[second] || inTime(c, within)
	}
	for _, ok := range served {
		u.asked++
		if !ok {
			u.seconds++
		}
	}
}

func inTime(c call.Call, within clock.Millis) bool {
	return Answered(c) && c.Latency() <= within.Duration()
}

// gap returns the longest time from a request of a key that was not answered in
// time to the end of the last such request before the next that was.
func gap(calls []call.Call, within clock.Millis) clock.Millis {
	longest, since, until, open := clock.Millis(0), clock.Millis(0), clock.Millis(0), false
	for _, c := range calls {
		if inTime(c, within) {
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

// Seconds returns the seconds, summed over keys, in which a key was asked for
// and no request for it was answered in time.
func (u Unavailable) Seconds() int { return u.seconds }

// Share returns these seconds as a share of all seconds in which keys were
// asked for.
func (u Unavailable) Share() float64 { return ratio(u.seconds, u.asked) }

// Longest returns the longest time that a key was seen not to be served.
func (u Unavailable) Longest() clock.Millis { return u.longest }
