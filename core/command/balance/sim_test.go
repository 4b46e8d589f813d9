package balance_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/command/balance"
	"verbenabank/core/command/cost"
	"verbenabank/core/command/eject"
	"verbenabank/core/query/picker"
	"verbenabank/core/state/call"
	"verbenabank/core/state/load"
	"verbenabank/core/state/result"
	"verbenabank/core/state/table"
)

const (
	slots   = 6
	service = "s"
)

// sim is a simulation of many daemons that send requests to targets with FIFO queues.
type sim struct {
	random  *rand.Rand
	now     float64
	events  events
	policy  picker.Policy
	entries []*entry
	targets []*server
	waits   []float64 // of requests that came after the warm-up
	crossed int       // of these, requests to another zone
	first   int       // of these, requests to the first target
	herd    float64   // the most that one target got in a window, over its share by capacity
	report  func(s *server, b load.Backlog) load.Backlog
	from    float64
}

// entry is a daemon that takes requests of callers.
type entry struct {
	zone    string
	tracker *eject.Tracker
	work    *balance.Estimator
	members []table.Member
	near    []table.Member
}

// server is a target and the daemon next to it.
type server struct {
	member  table.Member
	speed   float64
	running int
	queue   []*job
	work    *cost.Work
	window  int
	taken   int
	failing bool
}

type job struct {
	class   cost.Class
	cost    float64
	entry   *entry
	server  *server
	sent    balance.Sent
	arrived float64
	ticket  *cost.Ticket
}

// newSim returns a simulation with entries and targets in the zones; speeds are given to the targets in turn.
func newSim(p picker.Policy, seed uint64, entries int, zonesOfTargets []string, speeds ...float64) *sim {
	s := &sim{random: rand.New(rand.NewPCG(seed, 2)), policy: p, from: 10_000, report: func(_ *server, b load.Backlog) load.Backlog { return b }}
	var members []table.Member
	for i, zone := range zonesOfTargets {
		m := table.NewMember(table.Incarnation(i+1), "", zone, "", service, table.Serving{})
		members = append(members, m)
		s.targets = append(s.targets, &server{member: m, speed: speeds[i%len(speeds)], work: cost.NewWork()})
	}
	zones := slices.Compact(slices.Sorted(slices.Values(zonesOfTargets)))
	for i := range entries {
		e := &entry{zone: zones[i%len(zones)], tracker: eject.New(), work: balance.New(), members: members}
		e.tracker.SetMembers(members, 0)
		e.near = slices.DeleteFunc(slices.Clone(members), func(m table.Member) bool { return m.Zone() != e.zone })
		s.entries = append(s.entries, e)
	}
	return s
}

// capacity returns the requests per millisecond that all targets can serve.
func (s *sim) capacity() float64 {
	sum := 0.0
	for _, t := range s.targets {
		sum += t.speed * slots
	}
	return sum / (0.5*shortCost + 0.5*longCost) / tailFactor
}

const (
	shortCost, longCost = 40.0, 180.0
	tailFactor          = 1.225 // mean of the costs over their median
)

func (s *sim) draw() (cost.Class, float64) {
	route, mean := "short", shortCost
	if s.random.IntN(2) == 0 {
		route, mean = "long", longCost
	}
	c := mean * math.Exp(0.3*s.random.NormFloat64())
	if s.random.IntN(100) < 3 {
		c *= 7
	}
	return cost.NewClass(service, route, "GET", 0), c
}

// run sends requests at a rate per millisecond until the instant; entry picks the daemon of each.
func (s *sim) run(rate, until float64, entryOf func() *entry) {
	var arrive func()
	arrive = func() {
		if s.now < until {
			s.send(entryOf())
			s.after(s.random.ExpFloat64()/rate, arrive)
		}
	}
	s.after(0, arrive)
	for len(s.events) > 0 && s.now < until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

func (s *sim) anyEntry() *entry { return s.entries[s.random.IntN(len(s.entries))] }

func (s *sim) clock() clock.Millis { return clock.Millis(s.now) + 1 }

func (s *sim) send(e *entry) {
	c, amount := s.draw()
	now := s.clock()
	stats := func(m table.Member) picker.Stats { return e.tracker.View(m, 0, now) }
	var m table.Member
	switch p := s.policy.(type) {
	case picker.LeastLatency:
		m, _ = picker.Pick(e.near, e.members, stats, s.random.IntN)
	case picker.ExpectedWork:
		m, _ = e.work.Pick(p, balance.NewRequest(c, picker.ZoneCostBytes).WithCandidates(e.zone, nil, e.near, e.members), stats, now, s.random.IntN)
	}
	j := &job{class: c, cost: amount, entry: e, server: s.targets[m.Incarnation()-1], sent: e.work.Send(m.Incarnation(), c, now)}
	e.tracker.Begin(m.Incarnation())
	if j.server == s.targets[0] && s.now > s.from {
		s.first++
	}
	if m.Zone() != e.zone && s.now > s.from {
		s.crossed++
	}
	s.after(1, func() { s.arrive(j) })
}

func (s *sim) arrive(j *job) {
	t := j.server
	j.arrived = s.now
	j.ticket = t.work.Enter(j.class)
	s.countArrival(t)
	t.queue = append(t.queue, j)
	s.fill(t)
}

// windowLength is the length of the windows in which arrivals are counted.
const windowLength = 1000.0

func (s *sim) countArrival(t *server) {
	if w := int(s.now / windowLength); w != t.window {
		if s.now > s.from {
			total := 0
			for _, x := range s.targets {
				total += x.taken
			}
			for _, x := range s.targets {
				s.herd = max(s.herd, float64(x.taken)/float64(max(1, total))*float64(len(s.targets)))
			}
		}
		for _, x := range s.targets {
			x.window, x.taken = w, 0
		}
	}
	t.taken++
}

func (s *sim) fill(t *server) {
	for len(t.queue) > 0 && t.running < slots {
		j := t.queue[0]
		t.queue = t.queue[1:]
		t.running++
		if s.now > s.from {
			s.waits = append(s.waits, s.now-j.arrived)
		}
		t.work.Start(j.ticket, s.clock())
		took := j.cost / t.speed
		if t.failing {
			took = 2
		}
		s.after(took, func() { s.finish(j) })
	}
}

func (s *sim) finish(j *job) {
	t := j.server
	t.running--
	status, served := 200, clock.Millis(0)
	if t.failing {
		status = 500
	} else {
		served = t.work.Answered(j.ticket, s.clock())
	}
	t.work.Leave(j.ticket, s.clock())
	s.fill(t)
	left, mean := t.work.Left(s.clock())
	b := s.report(t, load.NewBacklog(slots, t.running, len(t.queue)).WithWork(left, mean).WithServed(served))
	s.after(1, func() {
		now := s.clock()
		e := j.entry
		reply := call.NewResponse(status, nil, nil, 0).WithBacklog(b)
		e.work.Record(j.sent, reply, now)
		e.work.End(j.sent, now)
		e.tracker.End(t.member.Incarnation())
		if result.NewAnswered(status).Failed() {
			e.tracker.Record(t.member.Incarnation(), eject.ErrorResponse{}, now)
			return
		}
		e.tracker.Record(t.member.Incarnation(), eject.NewSuccess(clock.Millis(s.now-j.arrived+1)), now)
	})
}

// shareOfFirst returns the share of the requests that the first target got.
func (s *sim) shareOfFirst() float64 { return float64(s.first) / float64(len(s.waits)) }

// percentile returns the wait that a share p of the requests did not exceed.
func (s *sim) percentile(p float64) float64 {
	sorted := slices.Sorted(slices.Values(s.waits))
	return sorted[int(p*float64(len(sorted)-1))]
}

func (s *sim) after(delay float64, run func()) {
	heap.Push(&s.events, event{at: s.now + delay, run: run})
}

type event struct {
	at  float64
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
