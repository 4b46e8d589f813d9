package raft

import "verbenabank/core/clock"

// timers holds the times at which the node acts without another event.
type timers struct {
	election  clock.Millis // start an election
	heartbeat clock.Millis // start a heartbeat round
	round     clock.Millis // start a round for confirmation requests
	quorum    clock.Millis // step down if there was no contact with a quorum
	hello     clock.Millis // send Hello
	transfer  clock.Millis // abort the leadership transfer
}

func noTimers() timers {
	return timers{election: Never, heartbeat: Never, round: Never, quorum: Never, hello: Never, transfer: Never}
}

// NextTick returns the time at which the node next needs Ticked, Never if no timer is set.
func (n *Node) NextTick() clock.Millis {
	t := n.timer
	return min(t.election, t.heartbeat, t.round, t.quorum, t.hello, t.transfer)
}

// runTimers handles all timers that are due. Hello comes first, since it may bootstrap a group, and
// that starts an election at once.
func (n *Node) runTimers() {
	t := &n.timer
	if n.now >= t.hello {
		n.sendHello()
	}
	if n.now >= t.quorum {
		n.checkQuorum()
	}
	if n.now >= t.transfer {
		n.abortTransfer()
	}
	if n.now >= t.election {
		n.preCampaign()
	}
	if n.now >= t.heartbeat || n.now >= t.round {
		n.startRound()
	}
}

// resetElection restarts the election timeout with a random duration, if this replica may lead.
func (n *Node) resetElection() {
	n.timer.election = Never
	if n.mayLead() {
		spread := int64(ElectionTimeoutMax - ElectionTimeoutMin)
		n.timer.election = n.now.Add(ElectionTimeoutMin + clock.Millis(n.random.Int64N(spread+1)))
	}
}
