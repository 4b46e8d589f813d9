package entry

import (
	"math/rand/v2"

	"verbenabank/core/clock"
	"verbenabank/core/query/route"
	"verbenabank/core/state/table"
)

// peers chooses targets of pooled services.
type peers struct {
	zone string
}

func newPeers(zone string) *peers { return &peers{zone: zone} }

// choose returns a candidate that was not tried, if there is one.
func (p *peers) choose(d route.Pooled, tried map[table.Incarnation]bool, _ clock.Millis) table.Member {
	c := d.Candidates()
	start := rand.IntN(len(c))
	for i := range c {
		m := c[(start+i)%len(c)]
		if !tried[m.Incarnation()] {
			return m
		}
	}
	return c[start]
}
