package place

import "verbenabank/core/state/table"

// even moves shards from the member with most to the one with least while they
// differ by more than one.
func (p *planner) even() {
	for _, sh := range p.shards {
		from, to := p.most(), p.least()
		if p.moving >= movesAtOnce || from.load-to.load <= 1 {
			return
		}
		h, ok := sh.holding.(table.Owned)
		if ok && h.Owner() == from.incarnation() && h.Epoch() > 0 {
			p.moving++
			p.move(sh, h, to)
		}
	}
}
