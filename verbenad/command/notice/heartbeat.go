package notice

import (
	"time"

	"verbenabank/core/command/agent"
	"verbenabank/core/state/grant"
)

// answerTimeout limits how long a heartbeat waits for its answer. Targets wait one second.
const answerTimeout = 850 * time.Millisecond

// Heartbeat passes a heartbeat of the target to the agent and waits for its answer. It reports false if
// the agent has not answered in time; the heartbeat must not be acknowledged then.
func (n *Receiver) Heartbeat(h agent.Heartbeat) (grant.Answer, bool) {
	n.onHeartbeat(h.Name())
	n.logReport(h.Report())
	id, answer := n.expectAnswer()
	defer n.forget(id)
	go n.post(h.WithID(id))
	t := time.NewTimer(answerTimeout)
	defer t.Stop()
	select {
	case a := <-answer:
		n.logAnswer(a)
		return a, true
	case <-t.C:
		n.log.Warn("keeper: heartbeat got no answer in time")
		return grant.Nothing{}, false
	}
}

// expectAnswer returns the ID of a new heartbeat and the channel for its answer.
func (n *Receiver) expectAnswer() (uint64, <-chan grant.Answer) {
	answer := make(chan grant.Answer, 1)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastID++
	n.unanswered[n.lastID] = answer
	return n.lastID, answer
}

func (n *Receiver) forget(id uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.unanswered, id)
}

// Answer hands over the agent's answer to the heartbeat with the ID. An answer that nobody waits for any
// more is dropped. It does not block.
func (n *Receiver) Answer(id uint64, a grant.Answer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if answer, ok := n.unanswered[id]; ok {
		delete(n.unanswered, id)
		answer <- a
	}
}
