package rooms_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/command/admit"
	"verbenabank/core/command/room"
	"verbenabank/core/state/call"
	"verbenabank/core/state/load"
	"verbenabank/core/state/result"
	"verbenabank/core/state/rules"
	"verbenabank/verbenad/command/rooms"
)

// The model: targets of two services, the targets of "front" call those of "back" while they run a request. Each event
// runs at its instant on a manual clock, through the limiters and Rooms of the daemons beside the targets.
const (
	modelSlots    = 6
	frontTargets  = 8
	backTargets   = 4
	modelSeconds  = 12
	modelAttempts = 4 // daemons that are tried for one request
)

// class is a kind of request in the model. Each run makes calls one after the other with the probability callShare.
type class struct {
	name, service  string
	work           clock.Millis
	goal, deadline clock.Millis
	priority       int
	perSecond      float64 // at which demand just meets capacity
	calls          int
	callShare      float64
}

var (
	order  = class{name: "order", service: "front", work: 120, goal: 500, deadline: 1200, priority: 1, perSecond: 180, calls: 2, callShare: 0.7}
	credit = class{name: "credit", service: "back", work: 100, goal: 400, deadline: 1000, priority: 0, perSecond: 120}
	lookup = class{name: "lookup", service: "back", work: 30, goal: 150, deadline: 500, priority: 1}
)

// event is a function that runs at an instant.
type event struct {
	at  clock.Millis
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// node is one daemon with its target.
type node struct {
	service string
	limiter *admit.Limiter
	rooms   *rooms.Rooms // nil for the order of before
	waiting []*queued
	gone    bool
}

// queued is a request that waits for its ticket.
type queued struct {
	ticket *admit.Ticket
	decide func(admitted bool)
}

// model plays the requests.
type model struct {
	time   *clock.Manual
	random *rand.Rand
	queue  events
	seq    int
	nodes  []*node
	pools  map[string][]*node
	asked  map[string]int
	inTime map[string]int
	wasted int // runs that failed since a call was refused
}

func newModel(withRooms bool) *model {
	m := &model{time: clock.NewManual(1), random: rand.New(rand.NewPCG(1, 2)), pools: map[string][]*node{}, asked: map[string]int{}, inTime: map[string]int{}}
	for i := range frontTargets + backTargets {
		n := &node{service: "front", limiter: admit.New(admit.NewLimits(modelSlots, 64, 500), admit.WithOrder(admit.CostAware{}))}
		if i >= frontTargets {
			n.service = "back"
		}
		if withRooms {
			n.rooms = rooms.New(rooms.WithClock(clock.New(clock.WithSource(m.time.Now))), rooms.WithRandom(m.random.Float64))
		}
		m.nodes = append(m.nodes, n)
		m.pools[n.service] = append(m.pools[n.service], n)
	}
	return m
}

func (m *model) after(d clock.Millis, run func()) {
	m.seq++
	heap.Push(&m.queue, event{at: m.time.Now() + max(0, d), seq: m.seq, run: run})
}

// play runs the events up to the instant.
func (m *model) play(until clock.Millis) {
	for len(m.queue) > 0 && m.queue[0].at <= until {
		e := heap.Pop(&m.queue).(event)
		m.time.Advance(e.at - m.time.Now())
		e.run()
		for _, n := range m.nodes {
			n.poll()
		}
	}
}

// poll hands out the decisions of the limiter.
func (n *node) poll() {
	for changed := true; changed; {
		changed = false
		kept := n.waiting[:0:0]
		list := n.waiting
		n.waiting = nil
		for _, q := range list {
			select {
			case d := <-q.ticket.Ready():
				_, ok := d.(admit.Admitted)
				changed = true
				q.decide(ok)
			default:
				kept = append(kept, q)
			}
		}
		n.waiting = append(kept, n.waiting...)
	}
}

// offer sends requests of the class at random instants with the mean rate, at random daemons.
func (m *model) offer(c class, rate float64, until clock.Millis) {
	gap := clock.Millis(m.random.ExpFloat64() * 1000 / rate)
	m.after(gap, func() {
		if m.time.Now() < until {
			start := m.time.Now()
			m.asked[c.name]++
			m.request(m.nodes[m.random.IntN(len(m.nodes))], c, start+c.deadline, func(ok bool) {
				if ok && m.time.Now() <= start+c.goal {
					m.inTime[c.name]++
				}
			})
			m.offer(c, rate, until)
		}
	})
}

// request sends a request of the class from the entry, to several targets if they refuse it.
func (m *model) request(entry *node, c class, deadline clock.Millis, done func(ok bool)) {
	id := fmt.Sprint(m.random.Uint64())
	tried := map[*node]bool{}
	start := m.time.Now()
	goal := start + c.goal
	end := func(o result.Outcome) {
		if entry.rooms != nil {
			entry.rooms.End(c.name, o)
		}
		done(o == nil)
	}
	refused := result.NewRefused(result.Overloaded, 0)
	var try func()
	try = func() {
		t := m.pick(c.service, tried)
		if t == nil || len(tried) >= modelAttempts || m.time.Now() >= deadline || (entry.rooms != nil && (entry.rooms.Refuses(c.name, id) || entry.rooms.Throttles(c.name))) {
			end(refused)
			return
		}
		tried[t] = true
		m.after(1, func() {
			q := call.NewRequest(c.service, "GET", "/", call.WithID(id), call.WithClass(c.name), call.WithOrigin(entry.service),
				call.WithPolicy(c.priority, goal-m.time.Now(), true))
			m.serve(t, q, c, deadline, func(ok, ran bool, told load.Room) {
				final := false
				if entry.rooms != nil && !t.gone {
					final = entry.rooms.Learn(c.name, id, told, !ran)
				}
				switch {
				case ran && ok:
					end(nil)
				case ran:
					done(false)
				case final:
					end(refused)
				default:
					try()
				}
			})
		})
	}
	try()
}

// pick returns the less loaded of two random targets that were not tried.
func (m *model) pick(service string, tried map[*node]bool) *node {
	var best *node
	for range 8 {
		n := m.pools[service][m.random.IntN(len(m.pools[service]))]
		if !tried[n] && (best == nil || n.limiter.Waiting() < best.limiter.Waiting()) {
			best = n
		}
	}
	return best
}

// serve runs a request at a target, as the daemon beside it decides.
func (m *model) serve(n *node, q call.Request, c class, deadline clock.Millis, reply func(ok, ran bool, told load.Room)) {
	if n.gone {
		reply(false, false, load.Room{})
		return
	}
	now := m.time.Now()
	var arrival room.Arrival
	if n.rooms != nil {
		arrival = n.rooms.Arrive(q)
	}
	answer := func(ok, ran bool) {
		if n.rooms == nil {
			reply(ok, ran, load.Room{})
			return
		}
		reply(ok, ran, n.rooms.Room(q, arrival))
	}
	if _, turned := arrival.(room.Turned); turned {
		answer(false, false)
		return
	}
	wait := max(50, q.LatencyGoal()/2)
	p := room.NewPlace(q.Priority(), wait, n.limiter.MaxQueueTime(c.name, now, deadline)).
		WithGoal(q.LatencyGoal(), n.limiter.ClassServiceTime(c.name)).For(arrival, deadline-now)
	r := admit.NewRequest(deadline, p.Wait()).WithPriority(p.Rank(), now+q.LatencyGoal(), p.Stay()).WithClass(c.name)
	if p.Firm() {
		r = r.Firm(p.Patience())
	}
	w := &queued{ticket: n.limiter.Submit(now, r, admit.NewLimits(modelSlots, 64, rules.DefaultQueueWait))}
	decided := false
	w.decide = func(admitted bool) {
		decided = true
		if _, outer := arrival.(room.Outer); outer {
			n.rooms.Decided(q, admitted)
		}
		if !admitted {
			answer(false, false)
			return
		}
		begin := m.time.Now()
		m.run(n, c, deadline, func(ok bool) {
			if p.Firm() {
				n.limiter.EndFirm()
			}
			n.limiter.ReleaseClass(c.name, m.time.Now(), m.time.Now()-begin)
			answer(ok, true)
		})
	}
	n.waiting = append(n.waiting, w)
	m.after(p.Stay(), func() {
		n.poll()
		if !decided {
			n.limiter.Cancel(w.ticket)
			n.drop(w)
			w.decide(false)
		}
	})
}

func (n *node) drop(w *queued) {
	for i, q := range n.waiting {
		if q == w {
			n.waiting = append(n.waiting[:i:i], n.waiting[i+1:]...)
			return
		}
	}
}

// run works on a request and makes its calls.
func (m *model) run(n *node, c class, deadline clock.Millis, done func(ok bool)) {
	work := clock.Millis(float64(c.work) * (0.5 + m.random.Float64()))
	calls := 0
	if m.random.Float64() < c.callShare {
		calls = c.calls
	}
	m.after(work, func() { m.makeCalls(n, calls, deadline, done) })
}

func (m *model) makeCalls(n *node, left int, deadline clock.Millis, done func(ok bool)) {
	if left == 0 || m.time.Now() >= deadline {
		done(left == 0 && m.time.Now() < deadline)
		return
	}
	m.request(n, lookup, min(deadline, m.time.Now()+lookup.deadline), func(ok bool) {
		if !ok {
			m.wasted++
			done(false)
			return
		}
		m.makeCalls(n, left-1, deadline, done)
	})
}

// outcome is what one play served.
type outcome struct {
	perSecond     float64
	order, credit float64 // shares of the requests that were served in time
	wasted        float64 // per second
}

func play(withRooms bool, times float64, during func(m *model)) outcome {
	m := newModel(withRooms)
	const end = modelSeconds * clock.Second
	for _, c := range []class{order, credit} {
		m.offer(c, c.perSecond*times, end)
	}
	if during != nil {
		m.after(end/2, func() { during(m) })
	}
	m.play(end + 2*clock.Second)
	share := func(c class) float64 { return float64(m.inTime[c.name]) / float64(m.asked[c.name]) }
	return outcome{
		perSecond: float64(m.inTime[order.name]+m.inTime[credit.name]) / modelSeconds, order: share(order), credit: share(credit),
		wasted: float64(m.wasted) / modelSeconds,
	}
}

// TestGoodputLevelsOut guards against goodput that falls while demand grows beyond capacity, since requests run whose
// calls are refused.
func TestGoodputLevelsOut(t *testing.T) {
	is := is.New(t)
	t.Log("| demand | before: in time/s | order | credit | wasted runs/s | after: in time/s | order | credit | wasted runs/s |")
	peak := 0.0
	for _, times := range []float64{0.2, 0.5, 0.8, 1, 1.25, 1.5, 2, 2.5, 3} {
		before, after := play(false, times, nil), play(true, times, nil)
		t.Logf("| %.2f | %.0f | %.2f | %.2f | %.0f | %.0f | %.2f | %.2f | %.0f |", times,
			before.perSecond, before.order, before.credit, before.wasted, after.perSecond, after.order, after.credit, after.wasted)
		if times >= 1 {
			peak = max(peak, after.perSecond)
			is.True(after.perSecond >= 0.9*peak) // within 10% of level
			mean := (after.order*order.perSecond + after.credit*credit.perSecond) / (order.perSecond + credit.perSecond)
			is.True(min(after.order, after.credit) >= mean/4) // no class is starved
		}
	}
}

// TestGoodputAfterLossOfTargets guards against collapse when the capacity falls under load: half of the targets of both
// services vanish, or all targets of the called service.
func TestGoodputAfterLossOfTargets(t *testing.T) {
	is := is.New(t)
	lose := func(services ...string) func(m *model) {
		return func(m *model) {
			for _, s := range services {
				for _, n := range m.pools[s][:len(m.pools[s])/2] {
					n.gone = true
				}
			}
		}
	}
	half := lose("front", "back")
	whole := play(true, 1, nil)
	for _, times := range []float64{0.5, 1, 1.5} {
		before, after := play(false, times, half), play(true, times, half)
		t.Logf("half lost midway, demand %.2f: before %.0f/s in time, %.0f wasted; after %.0f/s, %.0f wasted",
			times, before.perSecond, before.wasted, after.perSecond, after.wasted)
		if times >= 1 {
			is.True(after.perSecond >= 0.9*0.75*whole.perSecond) // the mean of full and half capacity
		}
	}
	dead := play(true, 1, func(m *model) {
		for _, n := range m.pools["back"] {
			n.gone = true
		}
	})
	t.Logf("callee lost midway: %.0f/s in time, order %.2f, %.0f wasted", dead.perSecond, dead.order, dead.wasted)
	is.True(dead.order > whole.order/2) // requests that make no calls go on
}
