// Package ranges plans the owners of key ranges of a service whose keys are ordered: grants of
// vacant ranges, moves off leaving members, and moves of busy ranges for rebalancing.
//
// Keys are weighted by their request rates, and members by the requests per second that their
// targets can run. In busy ranges a few keys carry much of the load, so a move for rebalancing
// takes the fewest keys that balance two members.
package ranges

import (
	"cmp"
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/state/load"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

const (
	// firstGrantDelay is how long the first grants of a service wait after a member joined.
	firstGrantDelay = clock.Second
	// maxFirstGrantDelay is how long the first grants of a service wait at most after its first
	// member joined. In a large fleet some members always join late.
	maxFirstGrantDelay = 2500 * clock.Millisecond
	// defaultMeanMs is the mean time in milliseconds assumed for a request as long as no target
	// of the service has reported one.
	defaultMeanMs = 100.0
	// defaultSlots is the number of concurrent requests assumed for a target in that case.
	defaultSlots = 8
	// idleCellRate is added to the rate of every cell, in requests per second, so that keys
	// without requests are distributed too.
	idleCellRate = 0.001
	// minReturnShare is the fraction of its capacity that a member may use right after a drain of its zone.
	minReturnShare = 0.1
)

// planner plans one service. A cell is a group of load.CellKeys neighboring keys that are
// counted together.
type planner struct {
	table         *table.Table
	view          load.View
	service       string
	warmUp        clock.Millis
	keyCount      int
	now           clock.Millis
	cellRates     []float64
	coldRate      float64 // requests per second that a cold target takes, 0 for any number
	members       []*member
	eligible      map[table.Incarnation]*member
	movesInFlight int
	moved         []keyRange // moved for rebalancing by this plan
	commands      []logcmd.Command
}

// member is a member of the service that is eligible to own keys.
type member struct {
	member table.Member
	cost   float64 // fraction of its capacity that one request per second uses
	rate   float64 // requests per second
}

// utilization returns the used fraction of the member's capacity; above 1 it is overloaded.
func (m *member) utilization() float64 { return m.rate * m.cost }

// Plan returns the commands that the service needs at now. Rebalancing only takes place when
// there is nothing to grant and nothing to move off ineligible owners.
func Plan(t *table.Table, v load.View, s rules.Service, o rules.Ordered, now clock.Millis) []logcmd.Command {
	p := &planner{
		table: t, view: v, service: s.Name(), warmUp: s.WarmUp(), keyCount: o.Keys(), now: now, coldRate: s.ColdRate(),
		cellRates: v.CellRates(s.Name()), eligible: map[table.Incarnation]*member{},
	}
	p.addMembers()
	if len(p.members) == 0 {
		return nil
	}
	p.grantVacant()
	p.moveOffIneligible()
	if len(p.commands) == 0 {
		p.balance()
	}
	return p.commands
}

// addMembers collects the eligible members, their costs per request and the request rates of
// the keys that they own. A member without reported target statistics gets the mean cost of the
// others.
func (p *planner) addMembers() {
	known, sum := 0, 0.0
	for _, m := range p.table.MembersOf(p.service) {
		if p.table.ZoneDrained(m.Zone()) {
			continue
		}
		switch m.Phase().(type) {
		case table.Leaving:
			continue
		case table.Warming, table.Serving:
		}
		eligible := &member{member: m}
		if stats := p.view.TargetStats(m.Incarnation()); stats.MeanTime() > 0 && stats.Slots() > 0 {
			eligible.cost = stats.MeanTime() / 1000 / float64(stats.Slots())
			known, sum = known+1, sum+eligible.cost
		}
		p.members = append(p.members, eligible)
		p.eligible[m.Incarnation()] = eligible
	}
	defaultCost := defaultMeanMs / 1000 / defaultSlots
	if known > 0 {
		defaultCost = sum / float64(known)
	}
	for _, m := range p.members {
		if m.cost == 0 {
			m.cost = defaultCost
		}
		m.cost /= p.shareOf(m.member)
		if _, warming := m.member.Phase().(table.Warming); warming && p.coldRate > 0 {
			m.cost = max(m.cost, 1/p.coldRate)
		}
	}
	for _, s := range p.table.Spans(p.service) {
		p.attribute(s)
	}
}

// shareOf returns the fraction of its capacity that a member may use. For a member whose zone is no longer drained it grows
// over the warm-up time, so that its keys come back little by little; all others may use the whole.
func (p *planner) shareOf(m table.Member) float64 {
	returned := p.view.Returned(m.Incarnation())
	if _, warming := m.Phase().(table.Warming); !warming || returned == 0 || p.warmUp <= 0 {
		return 1
	}
	return min(max(float64(p.now.Sub(returned))/float64(p.warmUp), minReturnShare), 1)
}

// attribute adds the request rate of a span to its owner, or to its next owner while it moves.
func (p *planner) attribute(s table.Span) {
	var i table.Incarnation
	switch h := s.Ownership().(type) {
	case table.Vacant:
		return
	case table.Owned:
		i = h.Owner()
	case table.Moving:
		p.movesInFlight++
		i = h.To()
	}
	if m, ok := p.eligible[i]; ok {
		m.rate += p.rangeRate(s.First(), s.Last())
	}
}

// cellRate returns the requests per second of a cell, plus idleCellRate.
func (p *planner) cellRate(c int) float64 {
	if c < len(p.cellRates) {
		return p.cellRates[c] + idleCellRate
	}
	return idleCellRate
}

// rangeRate returns the requests per second of all cells that contain keys from first to last.
func (p *planner) rangeRate(first, last table.Key) float64 {
	sum := 0.0
	for c := load.CellOf(first); c <= load.CellOf(last); c++ {
		sum += p.cellRate(c)
	}
	return sum
}

// keyRange is a range of keys, both ends included.
type keyRange struct {
	first table.Key
	last  table.Key
}

// grantVacant grants vacant keys to members.
func (p *planner) grantVacant() {
	if len(p.table.Spans(p.service)) == 0 && !p.membersSettled() {
		return
	}
	vacant := p.vacantRanges()
	a := p.newAllocator(vacant)
	for _, r := range vacant {
		a.allocate(r, func(first, last table.Key, to *member) {
			p.commands = append(p.commands, logcmd.NewGrantSpan(p.service, first, last, to.member.Incarnation()))
		})
	}
}

// vacantRanges returns the ranges of keys without an owner, adjacent ones joined.
func (p *planner) vacantRanges() []keyRange {
	var list []keyRange
	add := func(first, last table.Key) {
		if n := len(list); n > 0 && list[n-1].last+1 == first {
			list[n-1].last = last
			return
		}
		list = append(list, keyRange{first: first, last: last})
	}
	next := table.Key(0)
	for _, s := range p.table.Spans(p.service) {
		if s.First() > next {
			add(next, s.First()-1)
		}
		if _, ok := s.Ownership().(table.Vacant); ok {
			add(s.First(), s.Last())
		}
		next = s.Last() + 1
	}
	if end := table.Key(p.keyCount - 1); next <= end {
		add(next, end)
	}
	return list
}

// membersSettled reports whether no member joined within firstGrantDelay, or one joined
// maxFirstGrantDelay ago.
func (p *planner) membersSettled() bool {
	settled := true
	for _, m := range p.members {
		age := p.now.Sub(p.view.Joined(m.member.Incarnation()))
		if age >= maxFirstGrantDelay {
			return true
		}
		settled = settled && age >= firstGrantDelay
	}
	return settled
}

// moveOffIneligible moves keys off owners that are leaving, are in a drained zone or have no target of the service.
func (p *planner) moveOffIneligible() {
	var orphaned []keyRange
	epochs := map[table.Key]table.Epoch{}
	for _, s := range p.table.Spans(p.service) {
		h, ok := s.Ownership().(table.Owned)
		if _, eligible := p.eligible[h.Owner()]; !ok || eligible {
			continue
		}
		orphaned = append(orphaned, keyRange{first: s.First(), last: s.Last()})
		epochs[s.First()] = h.Epoch()
	}
	a := p.newAllocator(orphaned)
	for _, r := range orphaned {
		e := epochs[r.first]
		a.allocate(r, func(first, last table.Key, to *member) {
			p.commands = append(p.commands, logcmd.NewMoveSpan(p.service, first, last, e, to.member.Incarnation()))
		})
	}
}

// allocator distributes key ranges so that all members end up with the same utilization. It
// gives keys to one member until that has its share of the load, so that the keys of a member
// stay contiguous.
type allocator struct {
	planner    *planner
	recipients []*member           // by descending headroom
	headroom   map[*member]float64 // requests per second up to the member's share
}

func (p *planner) newAllocator(ranges []keyRange) *allocator {
	total, capacity := 0.0, 0.0
	for _, r := range ranges {
		total += p.rangeRate(r.first, r.last)
	}
	for _, m := range p.members {
		total += m.rate
		capacity += 1 / m.cost
	}
	a := &allocator{planner: p, recipients: slices.Clone(p.members), headroom: map[*member]float64{}}
	for _, m := range p.members {
		a.headroom[m] = total/m.cost/capacity - m.rate
	}
	slices.SortStableFunc(a.recipients, func(m, n *member) int { return cmp.Compare(a.headroom[n], a.headroom[m]) })
	return a
}

// allocate distributes one range, whole or in pieces, and calls assign for each piece.
func (a *allocator) allocate(r keyRange, assign func(first, last table.Key, to *member)) {
	for {
		m := a.recipients[0]
		last := r.last
		if len(a.recipients) > 1 {
			last = a.planner.splitPoint(r.first, r.last, a.headroom[m])
		}
		assign(r.first, last, m)
		rate := a.planner.rangeRate(r.first, last)
		m.rate += rate
		a.headroom[m] -= rate
		if a.headroom[m] <= 0 && len(a.recipients) > 1 {
			a.recipients = a.recipients[1:]
		}
		if last == r.last {
			return
		}
		r.first = last + 1
	}
}

// splitPoint returns the last key of the piece from first on whose request rate fills the
// headroom, at least one cell. It returns last if the remainder is too small to be split off.
func (p *planner) splitPoint(first, last table.Key, headroom float64) table.Key {
	sum := 0.0
	for c := load.CellOf(first); c <= load.CellOf(last); c++ {
		sum += p.cellRate(c)
		if sum >= headroom {
			end := table.Key((c+1)*load.CellKeys - 1)
			if end >= last || p.rangeRate(end+1, last) < minRemainder*headroom {
				return last
			}
			return end
		}
	}
	return last
}

// minRemainder is the fraction of a member's headroom below which a remainder is not split off.
const minRemainder = 0.1
