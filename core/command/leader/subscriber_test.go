package leader_test

import (
	"fmt"
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/command/agent"
	"verbenabank/core/command/attach"
	"verbenabank/core/command/leader"
	"verbenabank/core/command/lease"
	"verbenabank/core/state/load"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
)

// subscriber is one daemon: an agent, its search for the leader and its session.
type subscriber struct {
	fleet   *delivery
	name    string
	agent   *agent.Agent
	plan    *attach.Plan
	session leader.SessionID
	process int  // number of the present process
	search  int  // number of the search for a session, which rises at its beginning and at its end
	begun   int  // attempts to open a session
	pending bool // the newest attempt is open and not overdue
	due     int  // number of the attempt that is to begin next
	cut     bool // nothing passes between the daemon and the replicas
	snap    *snap.Snapshot
	inForce map[uint64]clock.Millis
	lag     clock.Millis // of each goroutine that is to run, in a process that requests saturate
}

func deliveryParams() lease.Params { return lease.NewParams(5*clock.Second, 100, 500, clock.Second) }

func newSubscriber(d *delivery, n int) *subscriber {
	s := &subscriber{fleet: d, name: fmt.Sprint("d", n), inForce: map[uint64]clock.Millis{}}
	s.start()
	return s
}

// start starts a process of the daemon.
func (s *subscriber) start() {
	d := s.fleet
	s.process++
	s.snap = snap.New(table.Empty(), 0, 0, 0)
	s.agent = agent.New(agent.WithInstance(s.name, "z", s.name), agent.WithRandom(d.rand.Uint64),
		agent.WithLeaseParams(deliveryParams()), agent.WithLastingRules())
	s.plan = attach.New(attach.WithFleetSize(func() int { return s.agent.Table().MemberCount() }),
		attach.WithRandom(func(limit clock.Millis) clock.Millis { return d.randomUpTo(limit - 1) }))
	s.schedule(d.randomUpTo(300))
	process := s.process
	d.after(1, func() { s.scheduleTick(process) })
}

func (s *subscriber) scheduleTick(process int) {
	if process != s.process {
		return
	}
	if s.agent.NextTick() <= s.fleet.now {
		s.step(agent.Ticked{})
	}
	s.fleet.after(max(1, s.agent.NextTick().Sub(s.fleet.now))+s.lag, func() { s.scheduleTick(process) })
}

// schedule sets when the next attempt to open a session begins, in place of the time set before.
func (s *subscriber) schedule(delay clock.Millis) {
	s.due++
	due := s.due
	s.fleet.after(delay, func() {
		if due == s.due {
			s.attempt()
		}
	})
}

// attempt asks one replica for a session. One without power does not answer, nor does any to a daemon that is cut off,
// and the next attempt begins beside it.
func (s *subscriber) attempt() {
	d := s.fleet
	s.begun++
	s.pending = true
	number, search, address := s.begun, s.search, s.plan.Next(replicaAddresses())
	d.after(attach.OverdueAfter, func() {
		if s.pending && number == s.begun && search == s.search {
			s.pending = false
			s.schedule(s.plan.Overdue())
		}
	})
	replica := 0
	_, _ = fmt.Sscan(address, &replica)
	switch {
	case d.down[replica] || s.cut:
	case replica != d.leading:
		d.after(linkDelay+handshakeSteps*s.lag, func() { s.redirected(search, number, address) })
	default:
		d.work(sessionMicros, func() { d.after(handshakeSteps*s.lag, func() { s.open(search) }) })
	}
}

// redirected takes the leader's address from a replica, as link.finder does.
func (s *subscriber) redirected(search, number int, address string) {
	if search != s.search {
		return
	}
	delay := s.plan.End(address, attach.NewRedirected(s.fleet.leaderAddress()))
	if number == s.begun || !s.pending {
		s.pending = false
		s.schedule(delay)
	}
}

// open begins the session unless another attempt was faster, or the leader is gone.
func (s *subscriber) open(search int) {
	d := s.fleet
	if search != s.search || d.leader == nil || s.cut {
		return
	}
	d.lastID++
	s.due++
	s.session, s.search, s.pending = d.lastID, s.search+1, false
	d.sessions[s.session] = s
	d.step(leader.NewSessionOpened(s.session))
	s.step(agent.Connected{})
}

func (s *subscriber) disconnect() {
	if s.session == 0 {
		return
	}
	s.endSession()
	s.step(agent.Disconnected{})
	s.schedule(s.plan.End("", attach.NewServed("")))
}

// endSession ends the session at the leader, unless it is gone.
func (s *subscriber) endSession() {
	d, id := s.fleet, s.session
	s.session = 0
	s.search++
	delete(d.sessions, id)
	d.step(leader.NewSessionClosed(id))
}

// restart replaces the process by one that knows nothing.
func (s *subscriber) restart() {
	if s.session != 0 {
		s.endSession()
	}
	s.search++
	s.start()
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
		process := s.process
		d.after(linkDelay+messageSteps*(s.lag+o.lag), func() {
			e := agent.AnswerRules(f, o.snap, d.now)
			d.after(linkDelay+messageSteps*s.lag, func() {
				if process == s.process {
					before := s.snap.Table().Rules().Version()
					s.step(e)
					d.byMembers += int(min(1, s.snap.Table().Rules().Version()-before))
				}
			})
		})
	}
}

func (s *subscriber) publish(next *snap.Snapshot) {
	v, last := next.Table().Rules().Version(), s.snap.Table().Rules().Version()
	if v < last {
		s.fleet.fail("%s goes back from version %d to %d", s.name, last, v)
	}
	s.checkConfirmation(next)
	for n := last + 1; n <= v; n++ {
		s.inForce[n] = s.fleet.now
	}
	s.snap = next
}

// checkConfirmation requires that rules which were confirmed at an instant were the newest ones then.
func (s *subscriber) checkConfirmation(next *snap.Snapshot) {
	v := next.Table().Rules().Version()
	for _, a := range s.fleet.accepted {
		if a.at < next.RulesConfirmed() && a.version > v {
			s.fleet.fail("%s has version %d confirmed at %d, but version %d was accepted at %d", s.name, v, next.RulesConfirmed(), a.version, a.at)
		}
	}
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
		if _, ok := d.sessions[id]; ok && !s.cut {
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
