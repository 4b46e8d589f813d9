// Package spread plans who holds the keys of an ordered service: grants of vacant keys,
// moves off members that leave, and moves of busy keys for balance.
//
// Keys are weighed by their requests and members by the requests a second that their
// targets can run. Where the load is, few keys carry much of it, so a move for balance
// takes the fewest keys that even out two members.
package spread

import (
	"cmp"
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/state/load"
	"verbenabank/core/state/order"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

const (
	// settle is how long the first grants of a service wait after the last member joined.
	settle = clock.Second
	// usualMean is the time in milliseconds of a request at a target that was not seen yet.
	usualMean = 100.0
	// usualSlots is how many requests such a target runs at once.
	usualSlots = 8
	// idleRate is the weight in requests a second of a cell without requests, so that keys
	// nobody asks for are spread too.
	idleRate = 0.001
)

type planner struct {
	table   *table.Table
	view    load.View
	service string
	keys    int
	now     clock.Millis
	rates   []float64
	members []*member
	able    map[table.Incarnation]*member
	moving  int
	out     []order.Command
}

// member is one that may take keys.
type member struct {
	member table.Member
	cost   float64 // part of its time that one request a second takes
	rate   float64 // requests per second
}

func (m *member) busy() float64 { return m.rate * m.cost }

// Plan returns the commands for the service at now.
func Plan(t *table.Table, v load.View, s rules.Service, o rules.Ordered, now clock.Millis) []order.Command {
	p := &planner{
		table: t, view: v, service: s.Name(), keys: o.Keys(), now: now,
		rates: v.Rates(s.Name()), able: map[table.Incarnation]*member{},
	}
	p.enlist()
	if len(p.members) == 0 {
		return nil
	}
	p.grant()
	p.relieve()
	if len(p.out) == 0 {
		p.balance()
	}
	return p.out
}

// enlist lists the members that may take keys, with the requests for the keys they have.
func (p *planner) enlist() {
	known, sum := 0, 0.0
	for _, m := range p.table.MembersOf(p.service) {
		switch m.Phase().(type) {
		case table.Leaving:
			continue
		case table.Warming, table.Serving:
		}
		e := &member{member: m}
		if pace := p.view.Pace(m.Incarnation()); pace.Mean() > 0 && pace.Slots() > 0 {
			e.cost = pace.Mean() / 1000 / float64(pace.Slots())
			known, sum = known+1, sum+e.cost
		}
		p.members = append(p.members, e)
		p.able[m.Incarnation()] = e
	}
	usual := usualMean / 1000 / usualSlots
	if known > 0 {
		usual = sum / float64(known)
	}
	for _, m := range p.members {
		if m.cost == 0 {
			m.cost = usual
		}
	}
	for _, s := range p.table.Spans(p.service) {
		p.count(s)
	}
}

func (p *planner) count(s table.Span) {
	var i table.Incarnation
	switch h := s.Holding().(type) {
	case table.Vacant:
		return
	case table.Owned:
		i = h.Owner()
	case table.Moving:
		p.moving++
		i = h.To()
	}
	if m, ok := p.able[i]; ok {
		m.rate += p.load(s.First(), s.Last())
	}
}

// cell returns the weight of a cell in requests per second.
func (p *planner) cell(c int) float64 {
	if c < len(p.rates) {
		return p.rates[c] + idleRate
	}
	return idleRate
}

// load returns the weight of the keys from first to last.
func (p *planner) load(first, last table.Key) float64 {
	sum := 0.0
	for c := load.CellOf(first); c <= load.CellOf(last); c++ {
		sum += p.cell(c)
	}
	return sum
}

// grant gives vacant keys to members.
func (p *planner) grant() {
	spans := p.table.Spans(p.service)
	if len(spans) == 0 && !p.settled() {
		return
	}
	next := table.Key(0)
	end := table.Key(p.keys - 1)
	for _, s := range spans {
		if s.First() > next {
			p.deal(next, s.First()-1, p.granted)
		}
		if _, ok := s.Holding().(table.Vacant); ok {
			p.deal(s.First(), s.Last(), p.granted)
		}
		next = s.Last() + 1
	}
	if next <= end {
		p.deal(next, end, p.granted)
	}
}

func (p *planner) settled() bool {
	for _, m := range p.members {
		if p.now.Sub(p.view.Joined(m.member.Incarnation())) < settle {
			return false
		}
	}
	return true
}

func (p *planner) granted(first, last table.Key, to *member) {
	p.out = append(p.out, order.NewGrantSpan(p.service, first, last, to.member.Incarnation()))
}

// relieve moves keys off owners that leave or that have no target of the service.
func (p *planner) relieve() {
	for _, s := range p.table.Spans(p.service) {
		h, ok := s.Holding().(table.Owned)
		if _, able := p.able[h.Owner()]; !ok || able {
			continue
		}
		p.deal(s.First(), s.Last(), func(first, last table.Key, to *member) {
			p.out = append(p.out, order.NewMoveSpan(p.service, first, last, h.Epoch(), to.member.Incarnation()))
		})
	}
}

// deal cuts the keys from first to last into a piece for each member that is below its
// part of the load, the one furthest below first.
func (p *planner) deal(first, last table.Key, give func(first, last table.Key, to *member)) {
	total, speed := p.load(first, last), 0.0
	for _, m := range p.members {
		total += m.rate
		speed += 1 / m.cost
	}
	room := func(m *member) float64 { return total/m.cost/speed - m.rate }
	takers := slices.Clone(p.members)
	slices.SortStableFunc(takers, func(a, b *member) int { return cmp.Compare(room(b), room(a)) })
	for n, m := range takers {
		until := last
		if n < len(takers)-1 {
			until = p.cut(first, last, room(m))
		}
		give(first, until, m)
		m.rate += p.load(first, until)
		if until == last {
			return
		}
		first = until + 1
	}
}

// cut returns the last key of a piece from first on that weighs about as much as the room,
// and one cell at least. What is left after it is worth a piece of its own.
func (p *planner) cut(first, last table.Key, room float64) table.Key {
	sum := 0.0
	for c := load.CellOf(first); c <= load.CellOf(last); c++ {
		sum += p.cell(c)
		if sum >= room {
			end := table.Key((c+1)*load.CellKeys - 1)
			if end >= last || p.load(end+1, last) < leastPart*room {
				return last
			}
			return end
		}
	}
	return last
}

// leastPart is the part of a member's room below which a rest is not cut off.
const leastPart = 0.1
