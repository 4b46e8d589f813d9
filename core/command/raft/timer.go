package raft

import "verbenabank/core/clock"

// timers holds the instants at which the node acts by itself.
type timers struct {
	election  clock.Millis // start an election
	heartbeat clock.Millis // start a round
	round     clock.Millis // start a round that was asked for
	quorum    clock.Millis // step down if a quorum is silent
	hello     clock.Millis // greet the seeds
	transfer  clock.Millis // give up the handover
}

func noTimers() timers {
	return timers{election: Never, heartbeat: Never, round: Never, quorum: Never, hello: Never, transfer: Never}
}

// NextTick returns the instant at which the node next needs Ticked, Never if it
// waits for events only.
func (n *Node) NextTick() clock.Millis {
	t := n.timer
	return min(t.election, t.heartbeat, t.round, t.quorum, t.hello, t.transfer)
}

// runTimers acts on all timers that are due. Greetings come first, since a group
// that they found starts an election at once.
func (n *Node) runTimers() {
	t := &n.timer
	if n.now >= t.hello {
		n.sayHello()
	}
	if n.now >= t.quorum {
		n.checkQuorum()
	}
	if n.now >= t.transfer {
		n.endTransfer()
	}
	if n.now >= t.election {
		n.preCampaign()
	}
	if n.now >= t.heartbeat || n.now >= t.round {
		n.startRound()
	}
}

// resetElection sets the election timer anew, if this replica may lead.
func (n *Node) resetElection() {
	n.timer.election = Never
	if n.mayLead() {
		spread := int64(ElectionMax - ElectionMin)
		n.timer.election = n.now.Add(ElectionMin + clock.Millis(n.random.Int64N(spread+1)))
	}
}
