// Package admit is the admission control of a stand-in target: it decides which requests run, wait in
// the queue or are rejected.
package admit

import (
	"slices"

	"verbenabank/core/clock"
	"verbenabank/vload/state/ledger"
	"verbenabank/vload/state/server"
)

// Sequence identifies one request between the start and the stop of a target process.
type Sequence uint64

// Controller holds the running requests, the queue and the highest epoch seen per shard. It is not
// safe for concurrent use; only the control goroutine of the target uses it.
type Controller struct {
	behavior server.Behavior
	running  map[Sequence]ledger.Request
	waiting  []queuedRequest
	epochs   map[uint32]uint64
}

type queuedRequest struct {
	sequence Sequence
	request  ledger.Request
}

// New returns the controller of a target that has no requests yet.
func New(behavior server.Behavior) *Controller {
	return &Controller{
		behavior: behavior,
		running:  make(map[Sequence]ledger.Request),
		epochs:   make(map[uint32]uint64),
	}
}

// Running returns how many requests hold a slot.
func (c *Controller) Running() int { return len(c.running) }

// Waiting returns how many requests wait for a slot.
func (c *Controller) Waiting() int { return len(c.waiting) }

// Admit takes a new request: the effect says whether it runs or is rejected. Without an effect it waits
// in the queue.
func (c *Controller) Admit(s Sequence, r ledger.Request, now clock.Millis) []Effect {
	if c.stale(r, now) {
		return []Effect{Stale{sequence: s}}
	}
	c.recordEpoch(r)
	if len(c.running) < c.behavior.Slots() {
		c.running[s] = r
		return []Effect{Run{sequence: s, at: now}}
	}
	if len(c.waiting) >= c.behavior.Backlog() {
		return []Effect{Shed{sequence: s}}
	}
	c.waiting = append(c.waiting, queuedRequest{sequence: s, request: r})
	return nil
}

// ExtendLeases renews the leases of running and waiting requests until an instant; a lease never gets
// shorter. Requests are named by the request IDs that the daemon sent with them; those that carry no
// lease are left as they are.
func (c *Controller) ExtendLeases(requestIDs []string, until clock.Millis) {
	for s, r := range c.running {
		if r.LeaseUntil() != 0 && slices.Contains(requestIDs, r.DaemonRequestID()) {
			c.running[s] = r.WithExtendedLease(until)
		}
	}
	for i, q := range c.waiting {
		if q.request.LeaseUntil() != 0 && slices.Contains(requestIDs, q.request.DaemonRequestID()) {
			c.waiting[i].request = q.request.WithExtendedLease(until)
		}
	}
}

// Commit ends a running request: it takes effect, or is rejected if fencing is checked at commit and
// its lease or epoch went stale while it ran. Waiting requests take the free slot.
func (c *Controller) Commit(s Sequence, now clock.Millis) []Effect {
	r, ok := c.running[s]
	if !ok {
		return nil
	}
	delete(c.running, s)
	var first Effect = Commit{sequence: s, at: now}
	switch c.behavior.Fencing().(type) {
	case server.AtCommit:
		if c.stale(r, now) {
			first = Stale{sequence: s}
		}
	case server.AtStart, server.Unfenced:
	}
	return append([]Effect{first}, c.startWaiting(now)...)
}

// Cancel removes a running or waiting request that was abandoned. Waiting requests take its slot.
func (c *Controller) Cancel(s Sequence, now clock.Millis) []Effect {
	delete(c.running, s)
	c.waiting = slices.DeleteFunc(c.waiting, func(q queuedRequest) bool { return q.sequence == s })
	return c.startWaiting(now)
}

// startWaiting starts queued requests in order of arrival while slots are free, and rejects those that
// went stale in the queue.
func (c *Controller) startWaiting(now clock.Millis) []Effect {
	var effects []Effect
	for len(c.waiting) > 0 && len(c.running) < c.behavior.Slots() {
		q := c.waiting[0]
		c.waiting = c.waiting[1:]
		if c.stale(q.request, now) {
			effects = append(effects, Stale{sequence: q.sequence})
			continue
		}
		c.running[q.sequence] = q.request
		effects = append(effects, Run{sequence: q.sequence, at: now})
	}
	return effects
}

// stale reports whether a target with fencing must reject the request: its lease has expired, or a
// later epoch of its shard was seen.
func (c *Controller) stale(r ledger.Request, now clock.Millis) bool {
	switch c.behavior.Fencing().(type) {
	case server.Unfenced:
		return false
	case server.AtStart, server.AtCommit:
		expired := r.LeaseUntil() != 0 && !now.Before(r.LeaseUntil())
		return expired || r.Epoch() < c.epochs[r.Shard()]
	}
	return false
}

func (c *Controller) recordEpoch(r ledger.Request) {
	c.epochs[r.Shard()] = max(c.epochs[r.Shard()], r.Epoch())
}
