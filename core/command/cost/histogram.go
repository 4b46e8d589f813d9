package cost

import (
	"math"

	"verbenabank/core/clock"
)

const (
	// buckets is the number of buckets of a histogram; bucket k holds costs from ratio^k to ratio^(k+1) milliseconds.
	buckets = 40
	ratio   = 1.32
	// minCost and maxCost limit a measured cost, in milliseconds.
	minCost, maxCost = 1.0, 60_000.0
	// halfAfter is the weight at which a histogram is halved, so that it forgets older requests.
	halfAfter = 256.0
	// The mean of about recentSamples requests is compared with that of all. If they differ by more than shiftFactor,
	// the costs have shifted, and all earlier requests together keep the weight of shiftWeight requests.
	recentSamples = 16.0
	shiftFactor   = 2.0
	shiftWeight   = 4.0
)

// histogram is a distribution of costs with buckets of logarithmic width, which forgets.
type histogram struct {
	weights [buckets]float32
	total   float64
	sum     float64
	recent  float64 // moving average over recentSamples
	length  float64 // the same of the bytes of the response
	usedAt  clock.Millis
}

func bucketOf(cost float64) int {
	return min(buckets-1, max(0, int(math.Log(cost)/math.Log(ratio))))
}

// middles holds the geometric mean of the limits of each bucket.
var middles = func() (m [buckets]float64) {
	for k := range m {
		m[k] = math.Pow(ratio, float64(k)+0.5)
	}
	return m
}()

func (h *histogram) add(cost float64) {
	cost = min(max(cost, minCost), maxCost)
	if h.total == 0 {
		h.recent = cost
	}
	h.recent += (cost - h.recent) / recentSamples
	h.weights[bucketOf(cost)]++
	h.total++
	h.sum += cost
	if h.total >= halfAfter {
		h.scale(0.5)
	}
	if r := h.recent / h.mean(); h.total > recentSamples && (r > shiftFactor || r < 1/shiftFactor) {
		h.scale(shiftWeight / h.total)
	}
}

func (h *histogram) scale(by float64) {
	for k := range h.weights {
		h.weights[k] *= float32(by)
	}
	h.total *= by
	h.sum *= by
}

func (h *histogram) mean() float64 { return h.sum / h.total }

// quantile returns the middle of the bucket below whose end a share p of the weight lies.
func (h *histogram) quantile(p float64) float64 {
	left, last := p*h.total, 0
	for k, w := range h.weights {
		if w == 0 {
			continue
		}
		last = k
		if left -= float64(w); left <= 0 {
			break
		}
	}
	return middles[last]
}

// remaining returns the mean of the costs above run, less run. If no cost was above, it returns a half of run: the
// longer a request has run, the longer it is likely to go on.
func (h *histogram) remaining(run float64) float64 {
	var weight, sum float64
	for k := buckets - 1; k >= 0 && middles[k] > run; k-- {
		weight += float64(h.weights[k])
		sum += float64(h.weights[k]) * middles[k]
	}
	if weight <= 0 {
		return run / 2
	}
	return sum/weight - run
}
