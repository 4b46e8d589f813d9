// Package keys chooses the key of a request by a Zipf distribution, with hot
// sets that move.
package keys

import (
	"fmt"
	"math"
	"sort"

	"verbenabank/core/clock"
	"verbenabank/vload/state/plan"
)

// Sampler maps uniform draws to keys. It is immutable and safe for concurrent use.
type Sampler struct {
	keys       plan.KeyDistribution
	cumulative []float64
}

// New returns a sampler of the keys.
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

// Key returns the key of a request at a time after the start of the load. Both
// draws are uniform in [0, 1): heat decides whether a hot key is asked for, rank
// which key it is.
func (s *Sampler) Key(at clock.Millis, heat, rank float64) string {
	set, hot := s.set(at)
	if hot && heat*100 < s.keys.HotSets()[set].Percent() {
		return fmt.Sprintf("hot-%d-%d", set+1, int(rank*float64(s.keys.HotSets()[set].Size()))+1)
	}
	n := sort.SearchFloat64s(s.cumulative, rank)
	return fmt.Sprintf("key-%d", min(n, len(s.cumulative)-1)+1)
}

// set returns the index of the hot set at a time.
func (s *Sampler) set(at clock.Millis) (int, bool) {
	found, hot := 0, false
	for n, h := range s.keys.HotSets() {
		if !at.Before(h.At()) {
			found, hot = n, true
		}
	}
	return found, hot
}
