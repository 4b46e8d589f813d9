// Package cost learns what requests are likely to cost and how fast targets are.
//
// The cost of a request is its service time at a target of speed 1. A request is known by what is seen at its
// arrival: its service, route, method and the size of its body. A Model keeps a distribution of costs for each such
// class and a speed for each target: what the requests that it ran were expected to cost, divided by the time that
// they took.
package cost

import (
	"maps"
	"math"
	"sync"

	"verbenabank/core/clock"
	"verbenabank/core/state/table"
)

const (
	// MaxClasses is the maximum number of classes with a distribution of their own. Requests of further ones count for
	// their service only.
	MaxClasses = 256
	// MaxTargets is the maximum number of targets with a speed.
	MaxTargets = 1024
	// InitialTime is the assumed cost of a request in milliseconds before the first measurement.
	InitialTime = 20.0
	// MinSpeed is the lowest speed of a target.
	MinSpeed = 0.05
	// MaxSpeed is the highest speed of a target.
	MaxSpeed = 8.0
	// priorSamples is the weight of the mean of the service in that of a class, and of speed 1 in that of a target, in
	// requests.
	priorSamples = 2.0
	// speedSamples is the number of requests after which a speed has forgotten most of the earlier ones.
	speedSamples = 24.0
	// allSamples is the same for the speed of all targets of a service together.
	allSamples = 256.0
	// maxSurprise limits how many times the expected time a request counts for the speed of its target: a costly request
	// at times does not make it slow, but many in a row do.
	maxSurprise = 2.5
	// speedAge is how long a speed is kept without a request.
	speedAge = 2 * clock.Minute
	// classAge is how long a class is kept without a request when there are too many.
	classAge = 2 * clock.Minute
	// sweepInterval is the least time between two removals of speeds, or of classes, that are no longer used.
	sweepInterval = clock.Second
)

// Model holds the distributions of costs and the speeds of targets. It is safe for concurrent use.
type Model struct {
	mu             sync.Mutex
	classes        map[Class]*histogram
	services       map[string]*serviceCosts
	speeds         map[table.Incarnation]*speed
	sweepAt        clock.Millis // of speeds
	sweepClassesAt clock.Millis
}

// New returns a model without measurements.
func New() *Model {
	return &Model{classes: map[Class]*histogram{}, services: map[string]*serviceCosts{}, speeds: map[table.Incarnation]*speed{}}
}

// speed is the speed of one target: the decayed sums of the expected costs and of the measured times.
type speed struct {
	expected float64
	measured float64
	usedAt   clock.Millis
}

func (s *speed) add(expected, measured, samples float64) {
	keep := 1 - 1/samples
	s.expected = s.expected*keep + expected
	s.measured = s.measured*keep + measured
}

// relative returns the speed relative to that of all targets together; expected is the cost of a usual request.
func (s *speed) relative(to *speed, expected float64) float64 {
	prior := priorSamples * expected
	return min(MaxSpeed, max(MinSpeed, (s.expected+prior)/(s.measured*to.expected/to.measured+prior)))
}

// serviceCosts is what is known of the requests of one service: the distribution of their costs, and the speed of all
// its targets together, which is 1 by definition: the costs follow until they fit.
type serviceCosts struct {
	costs histogram
	all   speed
}

// Observe records that the target took so many milliseconds for a request of the class.
func (m *Model) Observe(i table.Incarnation, c Class, took float64, now clock.Millis) {
	if math.IsNaN(took) || took < 0 {
		return
	}
	took = min(max(took, minCost), maxCost)
	m.mu.Lock()
	defer m.mu.Unlock()
	s, expected, v := m.service(c.service), m.mean(c), 1.0
	if s == nil {
		return
	}
	x := m.speed(i, now)
	usual := took
	if x != nil && s.all.measured > 0 {
		usual = min(took, maxSurprise*expected/x.relative(&s.all, expected)*s.all.measured/s.all.expected)
	}
	s.all.add(expected, usual, allSamples)
	if x != nil {
		x.add(expected, usual, speedSamples)
		v = x.relative(&s.all, expected)
	}
	if h := m.histogram(c, now); h != nil {
		h.add(took * v)
	}
	s.costs.add(took * v)
}

// service returns what is known of the service, nil if there are too many.
func (m *Model) service(name string) *serviceCosts {
	s, ok := m.services[name]
	if !ok && len(m.services) < MaxClasses {
		s = &serviceCosts{}
		m.services[name] = s
	}
	return s
}

// ObserveLength records the length in bytes of the body of a response to a request of the class.
func (m *Model) ObserveLength(c Class, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h, ok := m.classes[c]; ok && bytes >= 0 {
		h.length += (float64(bytes) - h.length) / recentSamples
	}
}

// Mean returns the expected cost of a request of the class in milliseconds.
func (m *Model) Mean(c Class) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mean(c)
}

// Quantile returns the cost in milliseconds that a share p, from 0 to 1, of the requests of the class does not exceed.
func (m *Model) Quantile(c Class, p float64) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h, ok := m.classes[c]; ok && h.total > 0 {
		return h.quantile(p)
	}
	return m.mean(c)
}

// Remaining returns the expected rest of the cost of a request of the class that has run for the time of a target of
// speed 1, in milliseconds. With a heavy tail the rest may grow with the time.
func (m *Model) Remaining(c Class, run float64) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h, ok := m.classes[c]; ok && h.total > 0 {
		return h.remaining(run)
	}
	mean := m.mean(c)
	return max(mean-run, mean/2)
}

// Estimate is the expected cost of requests of one class at one instant, for comparisons between targets.
type Estimate struct {
	mean   float64
	length float64
	all    speed
}

// ResponseLength returns the expected length of the body of the response in bytes.
func (e Estimate) ResponseLength() float64 { return e.length }

// Mean returns the expected cost in milliseconds.
func (e Estimate) Mean() float64 { return e.mean }

// Estimate returns the expected cost of a request of the class.
func (m *Model) Estimate(c Class) Estimate {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := Estimate{mean: m.mean(c)}
	if s, ok := m.services[c.service]; ok {
		e.all = s.all
	}
	if h, ok := m.classes[c]; ok {
		e.length = h.length
	}
	return e
}

// Speed returns the speed of a target of the service of the estimate, 1 if it is not known.
func (m *Model) Speed(i table.Incarnation, e Estimate) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	x, ok := m.speeds[i]
	if !ok || e.all.measured == 0 {
		return 1
	}
	return x.relative(&e.all, e.mean)
}

// Time returns the expected service time in milliseconds at the target.
func (m *Model) Time(i table.Incarnation, e Estimate) float64 { return e.mean / m.Speed(i, e) }

// Classes returns the number of classes with a distribution.
func (m *Model) Classes() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.classes)
}

// mean returns the mean cost of the class, pulled toward that of its service while few requests were measured.
func (m *Model) mean(c Class) float64 {
	of := InitialTime
	if s, ok := m.services[c.service]; ok && s.costs.total > 0 {
		of = s.costs.mean()
	}
	h, ok := m.classes[c]
	if !ok {
		return of
	}
	return (h.sum + priorSamples*of) / (h.total + priorSamples)
}

// histogram returns the distribution of the class, a new one if there is none, nil if there are too many.
func (m *Model) histogram(c Class, now clock.Millis) *histogram {
	h, ok := m.classes[c]
	if !ok {
		if len(m.classes) >= MaxClasses && now >= m.sweepClassesAt {
			m.sweepClassesAt = now + sweepInterval
			maps.DeleteFunc(m.classes, func(_ Class, h *histogram) bool { return now-h.usedAt > classAge })
		}
		if len(m.classes) >= MaxClasses {
			return nil
		}
		h = &histogram{}
		m.classes[c] = h
	}
	h.usedAt = now
	return h
}

// speed returns the speed of the target, a new one if there is none, nil if there are too many.
func (m *Model) speed(i table.Incarnation, now clock.Millis) *speed {
	s, ok := m.speeds[i]
	if !ok {
		if len(m.speeds) >= MaxTargets && now >= m.sweepAt {
			m.sweepAt = now + sweepInterval
			maps.DeleteFunc(m.speeds, func(_ table.Incarnation, s *speed) bool { return now-s.usedAt > speedAge })
		}
		if len(m.speeds) >= MaxTargets {
			return nil
		}
		s = &speed{}
		m.speeds[i] = s
	}
	s.usedAt = now
	return s
}
