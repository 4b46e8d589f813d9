package place

import "verbenabank/core/state/table"

// balanceCounts moves shards from the member with the most to the one with the fewest while
// their counts differ by more than one.
func (p *planner) balanceCounts() {
	for _, sh := range p.shards {
		from, to := p.mostLoaded(), p.leastLoaded()
		if p.movesInFlight >= maxConcurrentMoves || from.load-to.load <= 1 {
			return
		}
		h, ok := sh.ownership.(table.Owned)
		if ok && h.Owner() == from.incarnation() && h.Epoch() > 0 {
			p.movesInFlight++
			p.move(sh, h, to)
		}
	}
}
