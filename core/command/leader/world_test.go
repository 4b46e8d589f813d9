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

// movable is how many keys are placed alone now and then.
const movable = 4

// keys are those of the requests; all hash ranges have some.
var keys = func() []string {
	var list []string
	for n := range 3 * shards {
		list = append(list, fmt.Sprint("k", n))
	}
	return list
}()

// flaw is a guard that a run leaves out, to show that the run would find it
// missing.
type flaw int

const (
	sound flaw = iota
	zombieConfirms
	noWait
	releaseInFlight
	countFromAnswer
	drainOwnShardOnly
	forgetRemoved
)

// event is something that happens at an instant of the world.
type event struct {
	at  clock.Millis
	seq int
	run func()
}

type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// world runs the real agents and leaders on fakes of the log, the network, the
// clocks and the targets.
type world struct {
	flaw    flaw
	rand    *rand.Rand
	now     clock.Millis
	seq     int
	agenda  agenda
	log     []logcmd.Command
	state   *fleet.State
	office  *office
	term    int
	prompt  bool // no message is very late
	session leader.SessionID
	daemons []*daemon
	owners  map[string]table.Incarnation // by shard and epoch
	served  int
	faults  int
	grants  int
	wrong   string
}

// office is one leader; it may be deposed and not know it.
type office struct {
	world    *world
	leader   *leader.Leader
	term     int
	sessions map[leader.SessionID]*daemon
	deposed  bool
	gone     bool
}

func newWorld(seed uint64, f flaw, daemons int) *world {
	w := &world{flaw: f, rand: rand.New(rand.NewPCG(seed, 1)), state: fleet.New(), owners: map[string]table.Incarnation{}}
	r := rules.New(1, "d", rules.NewService(service, rules.WithKind(rules.NewKeyed(rules.NewPathSegment(2), shards)), rules.WithWarmUp(0)))
	w.commit(logcmd.NewSetRules(r, "i", "f"))
	w.elect()
	for n := range daemons {
		w.daemons = append(w.daemons, newDaemon(w, n))
	}
	return w
}

func (w *world) fail(format string, args ...any) {
	if w.wrong == "" {
		w.wrong = fmt.Sprintf("at %d ms: ", w.now) + fmt.Sprintf(format, args...)
	}
}

func (w *world) span(most clock.Millis) clock.Millis {
	return clock.Millis(w.rand.Int64N(int64(most) + 1))
}

func (w *world) after(span clock.Millis, run func()) {
	w.seq++
	heap.Push(&w.agenda, event{at: w.now.Add(span), seq: w.seq, run: run})
}

// run lets the world go on until the instant or the first violation.
func (w *world) run(until clock.Millis) {
	for w.agenda.Len() > 0 && w.wrong == "" && w.agenda[0].at <= until {
		e := heap.Pop(&w.agenda).(event)
		w.now = e.at
		e.run()
		w.check()
	}
}

// elect makes a new leader that knows the whole log.
func (w *world) elect() {
	w.term++
	o := &office{world: w, term: w.term, sessions: map[leader.SessionID]*daemon{}}
	counted := w.now
	if w.flaw == noWait {
		counted -= 750
	}
	o.leader = leader.New(counted, groupID, w.state)
	w.office = o
	o.timer()
}

// depose ends an office: at once, or unnoticed by the leader for a while.
func (w *world) depose() {
	w.faults++
	old := w.office
	old.deposed = true
	w.office = nil
	w.after(w.span(1500), func() {
		old.gone = true
		for _, s := range slices.Sorted(maps.Keys(old.sessions)) {
			old.sessions[s].lose(s)
		}
	})
	w.after(150+w.span(300), w.elect)
}

// commit appends a command and lets the present leader follow.
func (w *world) commit(c logcmd.Command) {
	w.log = append(w.log, c)
	next, effects := apply.Apply(w.state, uint64(len(w.log)), 0, c)
	w.state = next
	if w.office != nil {
		w.office.step(leader.NewApplied(next, c, effects))
	}
}

func (o *office) step(e leader.Event) {
	if o.gone {
		return
	}
	for _, f := range o.leader.Step(o.world.now, e) {
		o.effect(f)
	}
}

func (o *office) timer() {
	if o.gone {
		return
	}
	if o.leader.NextTick() <= o.world.now {
		o.step(leader.Ticked{})
	}
	o.world.after(max(1, o.leader.NextTick().Sub(o.world.now)), o.timer)
}

func (o *office) effect(f leader.Effect) {
	w := o.world
	switch f := f.(type) {
	case leader.Propose:
		w.after(1+w.span(20), func() { o.settle(f.Command()) })
	case leader.Confirm:
		w.after(w.span(20), func() {
			if !o.deposed || w.flaw == zombieConfirms {
				w.after(w.span(30), func() { o.step(leader.NewConfirmed(f.Token())) })
			}
		})
	case leader.SendLease:
		span := f.TTL()
		o.send(f.Session(), agent.NewLeaseGranted(f.Sequence(), span, f.RulesTTL(), f.Version(), groupID))
	case leader.SendUpdate:
		u := f.Update()
		o.send(f.Session(), agent.NewTableUpdated(u.Full(), u.From(), u.To(), u.Changes()))
	case leader.SendRejoin:
		o.send(f.Session(), agent.NewRejoinRequired(f.Incarnation()))
	}
}

// settle commits an offer, unless its leader was deposed before. An offer of a
// deposed leader may still come through before the next one takes office.
func (o *office) settle(c logcmd.Command) {
	if !o.deposed || (o.term == o.world.term && o.world.rand.IntN(2) == 0) {
		o.world.commit(c)
	}
}

func (o *office) send(s leader.SessionID, e agent.Event) {
	if d, ok := o.sessions[s]; ok {
		d.deliver(s, e)
	}
}

// check looks at every shard: one owner at an instant, one owner an epoch.
func (w *world) check() {
	for s := range table.Shard(shards) {
		w.checkShard(s)
	}
	for _, k := range keys[:movable] {
		w.checkShard(w.state.Table().ShardOf(service, k, shards))
	}
}

func (w *world) checkShard(s table.Shard) {
	var holder *daemon
	for _, d := range w.daemons {
		e, ok := d.owns(s)
		if !ok {
			continue
		}
		if holder != nil {
			w.fail("shard %d is owned by %s and %s", s, holder.name, d.name)
		}
		holder = d
		name := fmt.Sprint(s, "/", e)
		if _, ok := w.owners[name]; !ok {
			w.grants++
			w.owners[name] = d.snap.Self()
		}
		if w.owners[name] != d.snap.Self() {
			w.fail("shard %d has two owners at epoch %d", s, e)
		}
	}
}
