package ctrl

import (
	"verbenabank/core/command/leader"
	"verbenabank/core/command/raft"
)

// became starts or stops leading.
func (l *Loop) became(f raft.RoleChanged) {
	l.log.WithField("term", f.Term()).Infof("ctrl: replica is %s", roleName(f.Role()))
	switch f.Role().(type) {
	case raft.Leader:
		l.startLeading()
	case raft.Blank, raft.Learner, raft.Follower, raft.PreCandidate, raft.Candidate, raft.Elected:
		l.stopLeading()
	}
}

func (l *Loop) startLeading() {
	elections.Add(1)
	l.leader = leader.New(l.clock.Now(), l.group(), l.fleet, leader.WithLeaseParams(l.terms))
}

// stopLeading sends all daemons elsewhere.
func (l *Loop) stopLeading() {
	if l.leader == nil {
		return
	}
	l.leader = nil
	for s, o := range l.outlets {
		o.Redirect(l.leaderAddress())
		delete(l.outlets, s)
	}
}

// leaderAddress returns where the leader is reached, "" if it is not known.
func (l *Loop) leaderAddress() string {
	if l.node == nil {
		return ""
	}
	return l.node.Status().LeaderAddress()
}

// replicas returns the addresses of the group's members.
func (l *Loop) replicas() []string {
	var list []string
	for _, r := range l.node.Status().Members().List() {
		list = append(list, r.Address())
	}
	return list
}

func (l *Loop) group() uint64 { return uint64(l.node.Status().Group()) }

// open begins a session if this replica leads.
func (l *Loop) open(e SessionOpened) {
	if l.leader == nil {
		e.outlet.Redirect(l.leaderAddress())
		return
	}
	l.outlets[e.session] = e.outlet
	e.outlet.Welcome(l.group(), l.replicas())
	l.stepLeader(leader.NewSessionOpened(e.session))
}

func (l *Loop) closed(s leader.SessionID) {
	delete(l.outlets, s)
	l.stepLeader(leader.NewSessionClosed(s))
}

// offered appends an offered configuration if this replica leads.
func (l *Loop) offered(e Proposed) {
	if l.leader == nil {
		e.answer(Undecided{leader: l.leaderAddress()})
		return
	}
	l.propose(e.accept, offer{answer: e.answer})
}

// consulted asks a quorum whether this replica leads, so that the answer is not older than
// anything that was acknowledged.
func (l *Loop) consulted(e ReadRequested) {
	if l.leader == nil {
		e.answer(Unconfirmed{leader: l.leaderAddress()})
		return
	}
	l.stepNode(raft.NewConfirmRequested(l.nextToken(question(e))))
}

// stepLeader carries out what the leader decides.
func (l *Loop) stepLeader(e leader.Event) {
	if l.leader == nil {
		return
	}
	for _, f := range l.leader.Step(l.clock.Now(), e) {
		l.lead(f)
	}
}

func (l *Loop) lead(f leader.Effect) {
	switch f := f.(type) {
	case leader.Propose:
		l.propose(f.Command(), nil)
	case leader.Confirm:
		l.stepNode(raft.NewConfirmRequested(l.nextToken(round{token: f.Token()})))
	case leader.SendLease:
		l.send(f.Session(), f)
	case leader.SendUpdate:
		l.send(f.Session(), f)
	case leader.SendRejoin:
		l.send(f.Session(), f)
	}
}

func (l *Loop) send(s leader.SessionID, f leader.Effect) {
	if o, ok := l.outlets[s]; ok {
		o.Send(f, l.group())
	}
}

func roleName(r raft.Role) string {
	switch r.(type) {
	case raft.Blank:
		return "blank"
	case raft.Learner:
		return "a learner"
	case raft.Follower:
		return "a follower"
	case raft.PreCandidate:
		return "a pre-candidate"
	case raft.Candidate:
		return "a candidate"
	case raft.Elected:
		return "elected"
	case raft.Leader:
		return "the leader"
	}
	return "unknown"
}
