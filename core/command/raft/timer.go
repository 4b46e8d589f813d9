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
		spread := int64(n.electionTimeoutMax() - n.electionTimeoutMin())
		n.timer.election = n.now.Add(n.electionTimeoutMin() + clock.Millis(n.random.Int64N(spread+1)))
	}
}

// maxTimeoutScale is the largest factor of the election timeouts.
const maxTimeoutScale = 5

// daemonsPerTimeoutScale is the number of daemons for which the election timeouts grow by their base: a leader
// of many daemons is busy for longer at a time, above all when all of them attach to it.
const daemonsPerTimeoutScale = 64

// TimeoutScale returns the factor of the election timeouts for a group that serves a number of daemons.
func TimeoutScale(daemons int) int {
	return max(1, min(maxTimeoutScale, daemons/daemonsPerTimeoutScale))
}

// SetTimeoutScale sets the factor of the election timeouts from now on; timers that are running are not
// changed. Replicas may differ in it.
func (n *Node) SetTimeoutScale(scale int) { n.timeoutScale = clock.Millis(max(1, scale)) }

func (n *Node) electionTimeoutMin() clock.Millis { return ElectionTimeoutMin * n.timeoutScale }

func (n *Node) electionTimeoutMax() clock.Millis { return ElectionTimeoutMax * n.timeoutScale }
