// Package keys samples request keys from a Zipf distribution, with hot sets of keys
// that change over time.
package keys

import (
	"fmt"
	"math"
	"sort"

	"verbenabank/core/clock"
	"verbenabank/vload/state/plan"
)

// Sampler maps uniform draws to keys. It is immutable and safe for concurrent use. It
// holds the cumulative distribution of all keys.
type Sampler struct {
	keys       plan.KeyDistribution
	cumulative []float64
}

// New precomputes the cumulative distribution, in time linear in the number of keys.
func New(k plan.KeyDistribution) *Sampler {
	s := &Sampler{keys: k, cumulative: make([]float64, k.Count())}
	sum := 0.0
	for n := range s.cumulative {
		sum += math.Pow(float64(n+1), -k.Exponent())
		s.cumulative[n] = sum
	}
	for n := range s.cumulative {
		s.cumulative[n] /= sum
	}
	return s
}

// Key returns the key of a request that is due at a time after the start of the load.
// Both draws are uniform in [0, 1): hotDraw decides whether the key comes from the
// current hot set, rankDraw selects the key.
func (s *Sampler) Key(at clock.Millis, hotDraw, rankDraw float64) string {
	set, hot := s.hotSet(at)
	if hot && hotDraw*100 < s.keys.HotSets()[set].Percent() {
		return fmt.Sprintf("hot-%d-%d", set+1, int(rankDraw*float64(s.keys.HotSets()[set].Size()))+1)
	}
	n := sort.SearchFloat64s(s.cumulative, rankDraw)
	return fmt.Sprintf("key-%d", min(n, len(s.cumulative)-1)+1)
}

// hotSet returns the index of the last hot set that has begun, and whether there is
// one.
func (s *Sampler) hotSet(at clock.Millis) (int, bool) {
	found, hot := 0, false
	for n, h := range s.keys.HotSets() {
		if !at.Before(h.At()) {
			found, hot = n, true
		}
	}
	return found, hot
}
