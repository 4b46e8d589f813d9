// Package spread plans who holds the keys of an ordered service: grants of vacant keys,
// moves off members that leave, and moves of busy keys for balance.
//
// Keys are weighed by their requests and members by the requests a second that their
// targets can run. Where the load is, few keys carry much of it, so a move for balance
// takes the fewest keys that even out two members.
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
	taken   []run // moved by this plan
	out     []logcmd.Command
}

// member is one that may take keys.
type member struct {
	member table.Member
	cost   float64 // part of its time that one request a second takes
	rate   float64 // requests per second
}

func (m *member) busy() float64 { return m.rate * m.cost }

// Plan returns the commands for the service at now.
func Plan(t *table.Table, v load.View, s rules.Service, o rules.Ordered, now clock.Millis) []logcmd.Command {
	p := &planner{
		table: t, view: v, service: s.Name(), keys: o.Keys(), now: now,
		rates: v.CellRates(s.Name()), able: map[table.Incarnation]*member{},
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
		if pace := p.view.TargetStats(m.Incarnation()); pace.MeanTime() > 0 && pace.Slots() > 0 {
			e.cost = pace.MeanTime() / 1000 / float64(pace.Slots())
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
	switch h := s.Ownership().(type) {
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

// run is a run of keys.
type run struct {
	first table.Key
	last  table.Key
}

// grant gives vacant keys to members.
func (p *planner) grant() {
	if len(p.table.Spans(p.service)) == 0 && !p.settled() {
		return
	}
	vacant := p.vacant()
	d := p.dealer(vacant)
	for _, r := range vacant {
		d.deal(r, func(first, last table.Key, to *member) {
			p.out = append(p.out, logcmd.NewGrantSpan(p.service, first, last, to.member.Incarnation()))
		})
	}
}

// vacant returns the runs of keys that nobody holds.
func (p *planner) vacant() []run {
	var list []run
	add := func(first, last table.Key) {
		if n := len(list); n > 0 && list[n-1].last+1 == first {
			list[n-1].last = last
			return
		}
		list = append(list, run{first: first, last: last})
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
	if end := table.Key(p.keys - 1); next <= end {
		add(next, end)
	}
	return list
}

func (p *planner) settled() bool {
	for _, m := range p.members {
		if p.now.Sub(p.view.Joined(m.member.Incarnation())) < settle {
			return false
		}
	}
	return true
}

// relieve moves keys off owners that leave or that have no target of the service.
func (p *planner) relieve() {
	var runs []run
	epochs := map[table.Key]table.Epoch{}
	for _, s := range p.table.Spans(p.service) {
		h, ok := s.Ownership().(table.Owned)
		if _, able := p.able[h.Owner()]; !ok || able {
			continue
		}
		runs = append(runs, run{first: s.First(), last: s.Last()})
		epochs[s.First()] = h.Epoch()
	}
	d := p.dealer(runs)
	for _, r := range runs {
		e := epochs[r.first]
		d.deal(r, func(first, last table.Key, to *member) {
			p.out = append(p.out, logcmd.NewMoveSpan(p.service, first, last, e, to.member.Incarnation()))
		})
	}
}

// dealer hands out runs of keys so that members end up with equal parts of the load. It goes
// on with one member until that has its part, so that the keys of a member stay together.
type dealer struct {
	planner *planner
	takers  []*member // the one furthest below its part first
	room    map[*member]float64
}

func (p *planner) dealer(runs []run) *dealer {
	total, speed := 0.0, 0.0
	for _, r := range runs {
		total += p.load(r.first, r.last)
	}
	for _, m := range p.members {
		total += m.rate
		speed += 1 / m.cost
	}
	d := &dealer{planner: p, takers: slices.Clone(p.members), room: map[*member]float64{}}
	for _, m := range p.members {
		d.room[m] = total/m.cost/speed - m.rate
	}
	slices.SortStableFunc(d.takers, func(a, b *member) int { return cmp.Compare(d.room[b], d.room[a]) })
	return d
}

// deal hands out one run, whole or in pieces.
func (d *dealer) deal(r run, give func(first, last table.Key, to *member)) {
	for {
		m := d.takers[0]
		until := r.last
		if len(d.takers) > 1 {
			until = d.planner.cut(r.first, r.last, d.room[m])
		}
		give(r.first, until, m)
		weight := d.planner.load(r.first, until)
		m.rate += weight
		d.room[m] -= weight
		if d.room[m] <= 0 && len(d.takers) > 1 {
			d.takers = d.takers[1:]
		}
		if until == r.last {
			return
		}
		r.first = until + 1
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
