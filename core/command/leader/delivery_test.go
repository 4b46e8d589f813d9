package leader_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/command/agent"
	"verbenabank/core/command/apply"
	"verbenabank/core/command/attach"
	"verbenabank/core/command/leader"
	"verbenabank/core/command/lease"
	"verbenabank/core/state/fleet"
	"verbenabank/core/state/load"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
)

// Costs of the leader's instance, in microseconds of its processor: what a message of a daemon takes, and a new
// session with its handshake and its full table.
const (
	messageMicros = 500
	sessionMicros = 2500
)

// How many times in turn a daemon's goroutines have to be scheduled: for a connection with its handshake and the answer
// on it, and for a message that arrives or is sent on an open one.
const (
	handshakeSteps = 8
	messageSteps   = 2
)

const (
	replicaCount = 10
	linkDelay    = 2 * clock.Millisecond
	commitDelay  = 5 * clock.Millisecond
)

// delivery is a fleet of real agents with a real leader, whose instance has a slow processor, and with the control
// group's replicas as stand-ins. It records when each daemon has each configuration.
type delivery struct {
	timeline
	state     *fleet.State
	index     uint64
	leader    *leader.Leader
	term      int
	busyUntil int64 // of the leader's processor, in microseconds
	sessions  map[leader.SessionID]*subscriber
	lastID    leader.SessionID
	leading   int // replica, -1 if none leads
	down      map[int]bool
	daemons   []*subscriber
	accepted  []acceptance
}

// acceptance is the commit of a configuration, which its operator is told at once.
type acceptance struct {
	version uint64
	at      clock.Millis
}

func newDelivery(seed uint64, daemons int) *delivery {
	d := &delivery{timeline: timeline{rand: rand.New(rand.NewPCG(seed, 2))}, state: fleet.New(), leading: -1, down: map[int]bool{}}
	d.accept(1)
	d.elect(0)
	for n := range daemons {
		d.daemons = append(d.daemons, newSubscriber(d, n))
	}
	return d
}

func (d *delivery) run(until clock.Millis) { d.runUntil(until, func() {}) }

func (d *delivery) accept(version uint64) {
	d.accepted = append(d.accepted, acceptance{version: version, at: d.now})
	d.commit(logcmd.NewSetRules(rules.New(version, fmt.Sprint(version), rules.NewService(service)), "i", "f"))
}

func (d *delivery) commit(c logcmd.Command) {
	d.index++
	next, effects := apply.Apply(d.state, d.index, 0, c)
	d.state = next
	d.step(leader.NewApplied(next, c, effects))
}

func (d *delivery) elect(replica int) {
	d.term++
	d.leading, d.sessions, d.busyUntil = replica, map[leader.SessionID]*subscriber{}, int64(d.now)*1000
	d.leader = leader.New(d.now, groupID, d.state, leader.WithLeaseParams(deliveryParams()))
	d.scheduleTick(d.term)
}

// powerOff ends all replicas without a word to the daemons.
func (d *delivery) powerOff() {
	d.term++
	d.leading, d.leader, d.sessions = -1, nil, nil
	for r := range replicaCount {
		d.down[r] = true
	}
}

func (d *delivery) powerOn() { clear(d.down) }

func (d *delivery) scheduleTick(term int) {
	if term != d.term {
		return
	}
	if d.leader.NextTick() <= d.now {
		d.step(leader.Ticked{})
	}
	d.after(max(1, d.leader.NextTick().Sub(d.now)), func() { d.scheduleTick(term) })
}

// work runs f once the leader's processor has had time for it, unless the leader is gone by then.
func (d *delivery) work(micros int64, f func()) {
	term := d.term
	d.busyUntil = max(d.busyUntil, int64(d.now)*1000) + micros
	d.after(clock.Millis(d.busyUntil/1000).Sub(d.now), func() {
		if term == d.term {
			f()
		}
	})
}

func (d *delivery) step(e leader.Event) {
	if d.leader == nil {
		return
	}
	for _, f := range d.leader.Step(d.now, e) {
		d.effect(f)
	}
}

func (d *delivery) effect(f leader.Effect) {
	term := d.term
	switch f := f.(type) {
	case leader.Propose:
		d.after(commitDelay, func() { d.commitIn(term, f.Command()) })
	case leader.Confirm:
		d.after(commitDelay, func() {
			if term == d.term {
				d.step(leader.NewConfirmed(f.Token()))
			}
		})
	case leader.SendLease:
		d.send(f.Session(), agent.NewLeaseGranted(f.Sequence(), f.TTL(), f.RulesTTL(), f.Version(), groupID))
	case leader.SendUpdate:
		u := f.Update()
		d.send(f.Session(), agent.NewTableUpdated(u.Full(), u.From(), u.To(), u.Changes()))
	case leader.SendRejoin:
		d.send(f.Session(), agent.NewRejoinRequired(f.Incarnation()))
	}
}

func (d *delivery) commitIn(term int, c logcmd.Command) {
	if term == d.term {
		d.commit(c)
	}
}

func (d *delivery) send(id leader.SessionID, e agent.Event) {
	s, ok := d.sessions[id]
	if !ok {
		return
	}
	d.after(linkDelay+messageSteps*s.lag, func() {
		if s.session == id {
			s.step(e)
		}
	})
}

// delays returns how long each daemon took to have each version accepted from an instant on, in ascending order.
func (d *delivery) delays(from clock.Millis) []clock.Millis {
	var list []clock.Millis
	for _, a := range d.accepted {
		for _, s := range d.daemons {
			if a.at >= from {
				list = append(list, s.since(a).Sub(a.at))
			}
		}
	}
	slices.Sort(list)
	return list
}

// subscriber is one daemon: an agent, its search for the leader and its session.
type subscriber struct {
	fleet   *delivery
	name    string
	agent   *agent.Agent
	plan    *attach.Plan
	session leader.SessionID
	begun   int // attempts to open a session
	search  int // number of the search that goes on, 0 while there is a session
	snap    *snap.Snapshot
	inForce map[uint64]clock.Millis
	lag     clock.Millis // of each goroutine that is to run, in a process that requests saturate
}

func deliveryParams() lease.Params { return lease.NewParams(5*clock.Second, 100, 500, clock.Second) }

func newSubscriber(d *delivery, n int) *subscriber {
	name := fmt.Sprint("d", n)
	s := &subscriber{fleet: d, name: name, inForce: map[uint64]clock.Millis{}, snap: snap.New(table.Empty(), 0, 0, 0)}
	s.agent = agent.New(agent.WithInstance(name, fmt.Sprint("z", n%5), name), agent.WithRandom(d.rand.Uint64),
		agent.WithLeaseParams(deliveryParams()), agent.WithLastingRules())
	s.plan = attach.New(attach.WithFleetSize(func() int { return s.agent.Table().MemberCount() }),
		attach.WithRandom(func(limit clock.Millis) clock.Millis { return d.randomUpTo(limit - 1) }))
	s.search = 1
	d.after(d.randomUpTo(300), func() { s.attempt(1) })
	d.after(1, s.scheduleTick)
	return s
}

func (s *subscriber) scheduleTick() {
	if s.agent.NextTick() <= s.fleet.now {
		s.step(agent.Ticked{})
	}
	s.fleet.after(max(1, s.agent.NextTick().Sub(s.fleet.now))+s.lag, s.scheduleTick)
}

// attempt asks one replica for a session. One without power does not answer, and the next attempt begins beside it.
func (s *subscriber) attempt(search int) {
	if search != s.search {
		return
	}
	d := s.fleet
	s.begun++
	number, address := s.begun, s.plan.Next(replicaAddresses())
	ended := false
	d.after(attach.OverdueAfter, func() {
		if !ended && search == s.search && number == s.begun {
			d.after(s.plan.Overdue(), func() { s.attempt(search) })
		}
	})
	replica := 0
	_, _ = fmt.Sscan(address, &replica)
	switch {
	case d.down[replica]:
	case replica != d.leading:
		d.after(linkDelay+handshakeSteps*s.lag, func() {
			ended = true
			if search == s.search {
				d.after(s.plan.End(address, attach.NewRedirected(d.leaderAddress())), func() { s.attempt(search) })
			}
		})
	default:
		d.work(sessionMicros, func() {
			d.after(handshakeSteps*s.lag, func() {
				ended = true
				s.open(search)
			})
		})
	}
}

// open begins the session unless another attempt was faster, or the leader is gone.
func (s *subscriber) open(search int) {
	d := s.fleet
	if search != s.search || d.leader == nil {
		return
	}
	d.lastID++
	s.session, s.search = d.lastID, 0
	d.sessions[s.session] = s
	d.step(leader.NewSessionOpened(s.session))
	s.step(agent.Connected{})
}

func (s *subscriber) disconnect() {
	if s.session == 0 {
		return
	}
	d, id := s.fleet, s.session
	s.session, s.search = 0, s.begun+1
	delete(d.sessions, id)
	d.step(leader.NewSessionClosed(id))
	s.step(agent.Disconnected{})
	search := s.search
	d.after(s.plan.End("", attach.NewServed("")), func() { s.attempt(search) })
}

func (s *subscriber) step(e agent.Event) {
	for _, f := range s.agent.Step(s.fleet.now, e) {
		s.effect(f)
	}
}

func (s *subscriber) effect(f agent.Effect) {
	switch f := f.(type) {
	case agent.Publish:
		s.publish(f.Snap())
	case agent.SendJoin:
		s.report(leader.NewJoinRequested(s.session, f.Member(), f.Group()))
	case agent.SendRenew:
		s.report(leader.NewRenewRequested(s.session, f.Incarnation(), f.Sequence(), f.Version(), f.Releases(), load.Report{}))
	case agent.Reconnect:
		s.disconnect()
	case agent.AskRules:
		s.ask(f)
	case agent.InvariantViolated:
		s.fleet.fail("%s: %s", s.name, f.Problem())
	default: // a daemon without a target has nothing else to do
	}
}

// ask asks other daemons for rules, on connections that are open.
func (s *subscriber) ask(f agent.AskRules) {
	d := s.fleet
	for _, o := range d.daemons {
		if !slices.Contains(f.Addresses(), o.name) {
			continue
		}
		d.after(linkDelay+messageSteps*(s.lag+o.lag), func() {
			e := o.answer(f)
			d.after(linkDelay+messageSteps*s.lag, func() { s.step(e) })
		})
	}
}

// answer returns what the daemon answers to another one, as hop.Server does.
func (s *subscriber) answer(f agent.AskRules) agent.RulesAnswered {
	r := s.snap.Table().Rules()
	e := agent.NewRulesAnswered(f.Asked(), s.snap.Group(), r.Version())
	if r.Version() > f.Version() {
		e = e.WithNewer(r)
	}
	if at := s.snap.RulesConfirmed(); at > 0 {
		e = e.WithConfirmation(s.fleet.now.Sub(at))
	}
	return e
}

func (s *subscriber) publish(next *snap.Snapshot) {
	v, last := next.Table().Rules().Version(), s.snap.Table().Rules().Version()
	if v < last {
		s.fleet.fail("%s goes back from version %d to %d", s.name, last, v)
	}
	for n := last + 1; n <= v; n++ {
		s.inForce[n] = s.fleet.now
	}
	s.snap = next
}

// since returns when the daemon had a version or a later one, or now if it has none yet.
func (s *subscriber) since(a acceptance) clock.Millis {
	if at, ok := s.inForce[a.version]; ok {
		return at
	}
	return s.fleet.now
}

func (s *subscriber) report(e leader.Event) {
	d, id := s.fleet, s.session
	d.after(linkDelay+messageSteps*s.lag, func() {
		if _, ok := d.sessions[id]; ok {
			d.work(messageMicros, func() { d.step(e) })
		}
	})
}

func (d *delivery) leaderAddress() string {
	if d.leading < 0 {
		return ""
	}
	return replicaAddresses()[d.leading]
}

func replicaAddresses() []string {
	var list []string
	for r := range replicaCount {
		list = append(list, fmt.Sprint(r))
	}
	return list
}

const (
	settledAt    = 8 * clock.Second
	saturatedLag = 100 * clock.Millisecond
)

// loseLeader runs a fleet that loses all replicas at once for 1.3 s, gets its next leader 1.5 s later, and then a new
// configuration every 700 ms. It returns when the new leader stands.
func loseLeader(d *delivery) clock.Millis {
	const off, election, interval, versions = 1340, 1500, 700, 8
	d.run(settledAt)
	d.powerOff()
	d.run(settledAt + off)
	d.powerOn()
	d.run(settledAt + off + election)
	d.elect(3)
	elected := d.now
	for v := range uint64(versions) {
		d.run(d.now + interval/7)
		d.accept(v + 2)
		d.run(d.now + interval)
	}
	d.run(d.now + 6000)
	return elected
}

// saturate makes each goroutine of a daemon wait for its turn, from when the fleet is settled on.
func (d *delivery) saturate(n int) { d.after(settledAt, func() { d.daemons[n].lag = saturatedLag }) }

// TestConfigurationReachesDaemonsWithoutALeader guards against a daemon that uses an old configuration for seconds after
// its successor was acknowledged: all replicas ended at once, and each daemon looks for the new leader with a processor
// that others may saturate with requests for popular keys, so that no attempt to open a session ends in time.
func TestConfigurationReachesDaemonsWithoutALeader(t *testing.T) {
	const bound = 2 * clock.Second // of the time from the acknowledgement to the use by all daemons
	for _, size := range []int{30, 100, 300} {
		t.Run(fmt.Sprint(size, " daemons"), func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(5) {
				d := newDelivery(seed, size)
				d.saturate(0)
				elected := loseLeader(d)
				is.Equal(d.violation, "")
				list := d.delays(elected)
				is.True(len(list) > 0)
				t.Logf("seed %d, %d deliveries, ms: p50 %d, p90 %d, p99 %d, max %d", seed, len(list),
					list[len(list)/2], list[len(list)*9/10], list[len(list)*99/100], list[len(list)-1])
				is.True(list[len(list)-1] <= bound)
			}
		})
	}
}

// TestSupersededConfigurationsAreNotSent guards against a daemon behind a slow link that gets each configuration of a
// series after the link was free again, with the newest one last.
func TestSupersededConfigurationsAreNotSent(t *testing.T) {
	is := is.New(t)
	d := newDelivery(1, 2)
	d.run(settledAt)
	for _, from := range []uint64{d.state.Table().Version(), 0} { // a daemon that lags, and one that joins
		d.accept(d.state.Table().Rules().Version() + 1)
		d.accept(d.state.Table().Rules().Version() + 1)
		newest := d.state.Table().Rules().Version()
		d.step(leader.NewSessionOpened(900))
		var sent []uint64
		for _, f := range d.leader.Step(d.now, leader.NewRenewRequested(900, d.daemons[0].snap.Self(), 1, from, nil, load.Report{})) {
			if u, ok := f.(leader.SendUpdate); ok {
				sent = append(sent, configurations(u.Update())...)
			}
		}
		is.Equal(sent, []uint64{newest})
	}
}

// configurations returns the versions that an update carries.
func configurations(u leader.Update) []uint64 {
	var list []uint64
	for _, c := range u.Changes() {
		if r, ok := c.(table.RulesSet); ok {
			list = append(list, r.Rules().Version())
		}
	}
	return list
}
