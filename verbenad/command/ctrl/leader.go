package ctrl

import (
	"verbenabank/core/command/leader"
	"verbenabank/core/command/raft"
)

// roleChanged logs the new Raft role of this replica, and starts or stops the leader.
func (l *Loop) roleChanged(f raft.RoleChanged) {
	l.log.WithField("term", f.Term()).Infof("ctrl: replica is %s", roleName(f.Role()))
	switch f.Role().(type) {
	case raft.Leader:
		l.startLeading()
	case raft.Blank, raft.Learner, raft.Follower, raft.PreCandidate, raft.Candidate, raft.Elected:
		l.stopLeading()
	}
}

// startLeading creates the leader from the current fleet state.
func (l *Loop) startLeading() {
	electionsWon.Add(1)
	options := append([]leader.Option{leader.WithLeaseParams(l.leaseParams)}, l.leaderOptions...)
	l.leader = leader.New(l.clock.Now(), l.group(), l.fleet, options...)
}

// stopLeading discards the leader and redirects all daemons to the new one.
func (l *Loop) stopLeading() {
	if l.leader == nil {
		return
	}
	l.leader = nil
	for id, s := range l.sessions {
		s.Redirect(l.leaderAddress())
		delete(l.sessions, id)
	}
}

// leaderAddress returns the address of the leader, "" if it is not known.
func (l *Loop) leaderAddress() string {
	if l.node == nil {
		return ""
	}
	return l.node.Status().LeaderAddress()
}

// replicaAddresses returns the addresses of all replicas in the control group.
func (l *Loop) replicaAddresses() []string {
	var list []string
	for _, r := range l.node.Status().Members().List() {
		list = append(list, r.Address())
	}
	return list
}

// group returns the identifier of the control group.
func (l *Loop) group() uint64 { return uint64(l.node.Status().Group()) }

// openSession opens a daemon's session if this replica leads, and redirects the daemon otherwise.
func (l *Loop) openSession(e SessionOpened) {
	if l.leader == nil {
		e.session.Redirect(l.leaderAddress())
		return
	}
	l.sessions[e.id] = e.session
	e.session.Welcome(l.group(), l.replicaAddresses())
	l.stepLeader(leader.NewSessionOpened(e.id))
}

func (l *Loop) closeSession(id leader.SessionID) {
	delete(l.sessions, id)
	l.stepLeader(leader.NewSessionClosed(id))
}

// proposeRules proposes a configuration to the replicated log if this replica leads.
func (l *Loop) proposeRules(e Proposed) {
	if l.leader == nil {
		e.reply(Undecided{leader: l.leaderAddress()})
		return
	}
	l.propose(e.proposal, pendingProposal{reply: e.reply})
}

// requestRead starts a linearizable read: a quorum has to confirm that this replica leads, so that
// the result is not older than anything that was acknowledged.
func (l *Loop) requestRead(e ReadRequested) {
	if l.leader == nil {
		e.reply(Unconfirmed{leader: l.leaderAddress()})
		return
	}
	l.stepNode(raft.NewConfirmRequested(l.registerToken(pendingRead(e))))
}

// stepLeader passes an event to the leader and carries out the effects. The event is discarded if this
// replica does not lead.
func (l *Loop) stepLeader(e leader.Event) {
	if l.leader == nil {
		return
	}
	for _, f := range l.leader.Step(l.clock.Now(), e) {
		l.runLeaderEffect(f)
	}
}

func (l *Loop) runLeaderEffect(f leader.Effect) {
	switch f := f.(type) {
	case leader.Propose:
		l.propose(f.Command(), nil)
	case leader.Confirm:
		l.stepNode(raft.NewConfirmRequested(l.registerToken(leaderConfirmation{token: f.Token()})))
	case leader.SendLease:
		l.sendToSession(f.Session(), f)
	case leader.SendUpdate:
		l.sendToSession(f.Session(), f)
	case leader.SendRejoin:
		l.sendToSession(f.Session(), f)
	}
}

func (l *Loop) sendToSession(id leader.SessionID, f leader.Effect) {
	if s, ok := l.sessions[id]; ok {
		s.Send(f, l.group())
	}
}

// roleName returns the role as it appears in the log.
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
