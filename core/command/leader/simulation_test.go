package leader_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/command/agent"
	"verbenabank/core/command/apply"
	"verbenabank/core/command/leader"
	"verbenabank/core/state/fleet"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

const (
	service = "bookings"
	shards  = 6
	groupID = 77
)

// movableKeys is how many of the keys get a dedicated shard now and then.
const movableKeys = 4

// keys are the request keys; there are enough that every hash range has some.
var keys = func() []string {
	var list []string
	for n := range 3 * shards {
		list = append(list, fmt.Sprint("k", n))
	}
	return list
}()

// mutation is a safeguard that a run leaves out, to prove that the simulation detects its absence.
type mutation int

const (
	noMutation mutation = iota
	confirmWhenDeposed
	skipLeaseWait
	releaseInFlight
	countFromAnswer
	drainOwnShardOnly
	forgetRemoved
	grantsToAddress // calls go to whatever process listens at the address of the target
)

// event is a callback at an instant of the simulated time.
type event struct {
	at  clock.Millis
	seq int
	run func()
}

type eventQueue []event

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// timeline is the simulated time of a run with its random numbers, its events and its first violation.
type timeline struct {
	rand      *rand.Rand
	now       clock.Millis
	seq       int
	queue     eventQueue
	violation string
}

func (tl *timeline) fail(format string, args ...any) {
	if tl.violation == "" {
		tl.violation = fmt.Sprintf("at %d ms: ", tl.now) + fmt.Sprintf(format, args...)
	}
}

// randomUpTo returns a random duration of at most limit, inclusive.
func (tl *timeline) randomUpTo(limit clock.Millis) clock.Millis {
	return clock.Millis(tl.rand.Int64N(int64(limit) + 1))
}

func (tl *timeline) after(delay clock.Millis, run func()) {
	tl.seq++
	heap.Push(&tl.queue, event{at: tl.now.Add(delay), seq: tl.seq, run: run})
}

// runUntil processes events until the instant or the first violation, with a check after each.
func (tl *timeline) runUntil(until clock.Millis, check func()) {
	for tl.queue.Len() > 0 && tl.violation == "" && tl.queue[0].at <= until {
		e := heap.Pop(&tl.queue).(event)
		tl.now = e.at
		e.run()
		check()
	}
}

// simulation is a deterministic simulation of agents and leaders, which are the real ones, with a
// fake log, network, clocks and targets.
type simulation struct {
	timeline
	mutation     mutation
	log          []logcmd.Command
	state        *fleet.State
	leader       *leaderNode
	term         int
	noLongDelays bool // all messages arrive within 5 ms
	session      leader.SessionID
	daemons      []*daemon
	owners       map[string]table.Incarnation // by shard and epoch
	served       int
	faults       int
	grants       int
	drainedSince map[string]clock.Millis // zones whose drain is committed
	lateKeys     int                     // checks of keys that were closed and not handed over yet
}

// leaderNode is one leader; it may be deposed without knowing it yet.
type leaderNode struct {
	sim      *simulation
	leader   *leader.Leader
	term     int
	sessions map[leader.SessionID]*daemon
	deposed  bool // its quorum is lost; another one may be elected
	stopped  bool // it has learned that it was deposed
}

func newSimulation(seed uint64, f mutation, daemons int) *simulation {
	sm := &simulation{timeline: timeline{rand: rand.New(rand.NewPCG(seed, 1))}, mutation: f, state: fleet.New(), owners: map[string]table.Incarnation{}, drainedSince: map[string]clock.Millis{}}
	r := rules.New(1, "d", rules.NewService(service, rules.WithKind(rules.NewKeyed(rules.NewPathSegment(2), shards)), rules.WithWarmUp(0)))
	sm.commit(logcmd.NewSetRules(r, "i", "f"))
	sm.elect()
	for n := range daemons {
		sm.daemons = append(sm.daemons, newDaemon(sm, n))
	}
	return sm
}

// run processes events until the instant or the first violation.
func (sm *simulation) run(until clock.Millis) { sm.runUntil(until, sm.check) }

// elect starts a new leader that has applied the whole log.
func (sm *simulation) elect() {
	sm.term++
	ln := &leaderNode{sim: sm, term: sm.term, sessions: map[leader.SessionID]*daemon{}}
	counted := sm.now
	if sm.mutation == skipLeaseWait {
		counted -= 750
	}
	ln.leader = leader.New(counted, groupID, sm.state)
	sm.leader = ln
	ln.scheduleTick()
}

// depose cuts the leader off from its quorum; the leader itself learns of it up to 1.5 s later.
func (sm *simulation) depose() {
	sm.faults++
	old := sm.leader
	old.deposed = true
	sm.leader = nil
	sm.after(sm.randomUpTo(1500), func() {
		old.stopped = true
		for _, s := range slices.Sorted(maps.Keys(old.sessions)) {
			old.sessions[s].disconnect(s)
		}
	})
	sm.after(150+sm.randomUpTo(300), sm.elect)
}

// commit appends a command to the log, applies it and tells the current leader.
func (sm *simulation) commit(c logcmd.Command) {
	sm.log = append(sm.log, c)
	next, effects := apply.Apply(sm.state, uint64(len(sm.log)), 0, c)
	sm.state = next
	if sm.leader != nil {
		sm.leader.step(leader.NewApplied(next, c, effects))
	}
}

func (ln *leaderNode) step(e leader.Event) {
	if ln.stopped {
		return
	}
	for _, f := range ln.leader.Step(ln.sim.now, e) {
		ln.effect(f)
	}
}

func (ln *leaderNode) scheduleTick() {
	if ln.stopped {
		return
	}
	if ln.leader.NextTick() <= ln.sim.now {
		ln.step(leader.Ticked{})
	}
	ln.sim.after(max(1, ln.leader.NextTick().Sub(ln.sim.now)), ln.scheduleTick)
}

func (ln *leaderNode) effect(f leader.Effect) {
	sm := ln.sim
	switch f := f.(type) {
	case leader.Propose:
		sm.after(1+sm.randomUpTo(20), func() { ln.commitProposal(f.Command()) })
	case leader.Confirm:
		sm.after(sm.randomUpTo(20), func() {
			if !ln.deposed || sm.mutation == confirmWhenDeposed {
				sm.after(sm.randomUpTo(30), func() { ln.step(leader.NewConfirmed(f.Token())) })
			}
		})
	case leader.SendLease:
		ttl := f.TTL()
		ln.send(f.Session(), agent.NewLeaseGranted(f.Sequence(), ttl, f.RulesTTL(), f.Version(), groupID))
	case leader.SendUpdate:
		u := f.Update()
		ln.send(f.Session(), agent.NewTableUpdated(u.Full(), u.From(), u.To(), u.Changes()))
	case leader.SendRejoin:
		ln.send(f.Session(), agent.NewRejoinRequired(f.Incarnation()))
	}
}

// commitProposal commits a proposal, unless its leader was deposed before. Until the next leader is
// elected, a proposal of a deposed leader is still committed in half of the cases.
func (ln *leaderNode) commitProposal(c logcmd.Command) {
	if !ln.deposed || (ln.term == ln.sim.term && ln.sim.rand.IntN(2) == 0) {
		ln.sim.commit(c)
	}
}

func (ln *leaderNode) send(s leader.SessionID, e agent.Event) {
	if d, ok := ln.sessions[s]; ok {
		d.deliver(s, e)
	}
}

// check verifies for every shard that it has at most one owner at a time, and one per epoch.
func (sm *simulation) check() {
	for s := range table.Shard(shards) {
		sm.checkShard(s)
	}
	for _, k := range keys[:movableKeys] {
		sm.checkShard(sm.state.Table().ShardOf(service, k, shards))
	}
}

func (sm *simulation) checkShard(s table.Shard) {
	var owner *daemon
	for _, d := range sm.daemons {
		e, ok := d.owns(s)
		if !ok {
			continue
		}
		sm.checkDrained(s, d)
		if owner != nil {
			sm.fail("shard %d is owned by %s and %s", s, owner.name, d.name)
		}
		owner = d
		name := fmt.Sprint(s, "/", e)
		if _, ok := sm.owners[name]; !ok {
			sm.grants++
			sm.owners[name] = d.snap.Self()
		}
		if sm.owners[name] != d.snap.Self() {
			sm.fail("shard %d has two owners at epoch %d", s, e)
		}
	}
}
