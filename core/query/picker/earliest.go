package picker

import (
	"math"

	"verbenabank/core/state/table"
)

const (
	// nearChoices and allChoices are how many random targets near by and anywhere are compared. The figures of targets
	// are some requests old: the more targets all daemons compare, the more of them pick the same one.
	nearChoices = 4
	allChoices  = 4
	// unknownFactor multiplies the mean wait at the other targets for one whose wait is not known.
	unknownFactor = 2.0
	// errorPenalty is the time in milliseconds that is added to a request that is likely to fail.
	errorPenalty = 50.0
)

// Prospect is what is expected of one more request at a target.
type Prospect struct {
	way       float64
	wait      float64
	time      float64
	errorRate float64
	share     float64
	known     bool
}

// NewProspect returns the prospect of a request at a target with the expected wait and service time in milliseconds.
// If known is false, the wait is not known; it is assumed to be longer than that of other targets, but at most the service
// time, so that a target without reports is tried when the others are overloaded.
func NewProspect(wait, time float64, known bool) Prospect {
	return Prospect{wait: wait, time: time, share: 1, known: known}
}

// WithWay sets the cost of the way to the target and back in milliseconds.
func (p Prospect) WithWay(way float64) Prospect {
	p.way = way
	return p
}

// WithHealth sets the share of requests that fail, at most maxErrorRate, and the fraction of its normal load that the
// target should get, from 0 (none) to 1.
func (p Prospect) WithHealth(errorRate, share float64) Prospect {
	p.errorRate, p.share = min(errorRate, maxErrorRate), share
	return p
}

// maxErrorRate caps the error rate of a target: targets above it are treated alike.
const maxErrorRate = 0.8

// completion returns the expected time until a complete response, given the wait at targets without a known one.
// Errors multiply it, since few can be made good by a retry; so a target that fails fast does not look fast.
func (p Prospect) completion(usualWait float64) float64 {
	wait, success := p.wait, 1-p.errorRate
	if !p.known {
		wait += min(unknownFactor*usualWait, p.time)
	}
	return p.way + (wait+p.time+p.errorRate*errorPenalty)/success/success
}

// PickEarliest chooses the member with the earliest expected completion among some random ones of near, a subset of
// all, some of all, and own, which holds the target of this instance if it is a candidate. A member with a
// share below 1 takes part in as many choices. It reports false if every share is 0.
func PickEarliest(own, near, all []table.Member, prospectOf func(*table.Member) Prospect, randIntN func(n int) int) (table.Member, bool) {
	var c choice
	for i := range own[:min(1, len(own))] {
		c.add(&own[i], prospectOf(&own[i]), randIntN)
	}
	c.sample(near, nearChoices, prospectOf, randIntN)
	c.sample(all, allChoices, prospectOf, randIntN)
	if c.n == 0 {
		return firstWithShare(all, prospectOf, randIntN)
	}
	return *c.earliest(), true
}

// maxConsidered is the most members that are considered for one choice.
const maxConsidered = 1 + 2*maxSamples

// choice is the set of members that are considered. Those drawn by their share are compared; if there are none, all are.
type choice struct {
	members   [maxConsidered]*table.Member
	prospects [maxConsidered]Prospect
	drawn     [maxConsidered]bool
	n         int
	drawnN    int
}

// shareSteps is the number of steps in which shares below 1 are told apart.
const shareSteps = 1000

// add adds the member, which is drawn with a probability of its share.
func (c *choice) add(m *table.Member, p Prospect, randIntN func(n int) int) {
	if p.share <= 0 {
		return
	}
	c.members[c.n], c.prospects[c.n] = m, p
	if p.share >= 1 || float64(randIntN(shareSteps)) < p.share*shareSteps {
		c.drawn[c.n] = true
		c.drawnN++
	}
	c.n++
}

// sample adds random members of the list until n of them are drawn.
func (c *choice) sample(list []table.Member, n int, prospectOf func(*table.Member) Prospect, randIntN func(n int) int) {
	if len(list) == 0 {
		return
	}
	before := c.drawnN
	for i := 0; i < maxSamples && c.drawnN-before < n; i++ {
		m := &list[randIntN(len(list))]
		if !c.has(m.Incarnation()) {
			c.add(m, prospectOf(m), randIntN)
		}
	}
}

func (c *choice) has(i table.Incarnation) bool {
	for _, m := range c.members[:c.n] {
		if m.Incarnation() == i {
			return true
		}
	}
	return false
}

// earliest returns the drawn member with the earliest completion. If none is drawn, as when all have rejected requests
// lately, the completion is divided by the share.
func (c *choice) earliest() *table.Member {
	usual, best, least := c.usualWait(), 0, math.Inf(1)
	for k := range c.n {
		v := c.prospects[k].completion(usual)
		switch {
		case c.drawnN == 0:
			v /= c.prospects[k].share
		case !c.drawn[k]:
			continue
		}
		if v < least {
			best, least = k, v
		}
	}
	return c.members[best]
}

// usualWait returns the mean of the known waits, 0 if none is known.
func (c *choice) usualWait() float64 {
	sum, known := 0.0, 0
	for _, p := range c.prospects[:c.n] {
		if p.known {
			sum += p.wait
			known++
		}
	}
	return sum / float64(max(1, known))
}

// firstWithShare returns the first member whose share is above 0, starting at a random position.
func firstWithShare(list []table.Member, prospectOf func(*table.Member) Prospect, randIntN func(n int) int) (table.Member, bool) {
	if len(list) == 0 {
		return table.Member{}, false
	}
	start := randIntN(len(list))
	for i := range list {
		m := &list[(start+i)%len(list)]
		if prospectOf(m).share > 0 {
			return *m, true
		}
	}
	return table.Member{}, false
}
