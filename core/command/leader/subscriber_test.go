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
			e := agent.AnswerRules(f, o.snap, d.now)
			d.after(linkDelay+messageSteps*s.lag, func() { s.step(e) })
		})
	}
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
