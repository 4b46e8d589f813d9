// Package admit decides which requests a stand-in target runs, keeps waiting or
// refuses.
package admit

import (
	"slices"

	"verbenabank/core/clock"
	"verbenabank/vload/state/ledger"
	"verbenabank/vload/state/server"
)

// Sequence identifies one request within a run of a target.
type Sequence uint64

// Admission holds the slots, the backlog and the epochs of a target. It is for the
// control goroutine only.
type Admission struct {
	behavior server.Behavior
	running  map[Sequence]ledger.Request
	waiting  []entry
	epochs   map[uint32]uint64
}

type entry struct {
	sequence Sequence
	order    ledger.Request
}

// New returns the admission of a target without requests.
func New(behavior server.Behavior) *Admission {
	return &Admission{
		behavior: behavior,
		running:  make(map[Sequence]ledger.Request),
		epochs:   make(map[uint32]uint64),
	}
}

// Running returns how many requests hold a slot.
func (a *Admission) Running() int { return len(a.running) }

// Waiting returns how many requests wait for a slot.
func (a *Admission) Waiting() int { return len(a.waiting) }

// Arrive takes in a request: it runs, is refused, or waits if no effect says
// otherwise.
func (a *Admission) Arrive(t Sequence, o ledger.Request, now clock.Millis) []Effect {
	if a.stale(o, now) {
		return []Effect{Stale{sequence: t}}
	}
	a.remember(o)
	if len(a.running) < a.behavior.Slots() {
		a.running[t] = o
		return []Effect{Run{sequence: t, at: now}}
	}
	if len(a.waiting) >= a.behavior.Backlog() {
		return []Effect{Shed{sequence: t}}
	}
	a.waiting = append(a.waiting, entry{sequence: t, order: o})
	return nil
}

// Extend lets the leases of running and waiting requests end later. The handles are those
// that the daemon gave them.
func (a *Admission) Extend(handles []string, until clock.Millis) {
	for t, o := range a.running {
		if o.LeaseUntil() != 0 && slices.Contains(handles, o.DaemonRequestID()) {
			a.running[t] = o.WithExtendedLease(until)
		}
	}
	for i, e := range a.waiting {
		if e.order.LeaseUntil() != 0 && slices.Contains(handles, e.order.DaemonRequestID()) {
			a.waiting[i].order = e.order.WithExtendedLease(until)
		}
	}
}

// Commit ends a running request: it takes effect, or is refused if it became
// stale while it ran. Waiting requests take the free slot.
func (a *Admission) Commit(t Sequence, now clock.Millis) []Effect {
	o, ok := a.running[t]
	if !ok {
		return nil
	}
	delete(a.running, t)
	var first Effect = Commit{sequence: t, at: now}
	switch a.behavior.Fencing().(type) {
	case server.AtCommit:
		if a.stale(o, now) {
			first = Stale{sequence: t}
		}
	case server.AtStart, server.Unfenced:
	}
	return append([]Effect{first}, a.next(now)...)
}

// Withdraw forgets a request that was given up. Waiting requests take its slot.
func (a *Admission) Withdraw(t Sequence, now clock.Millis) []Effect {
	delete(a.running, t)
	a.waiting = slices.DeleteFunc(a.waiting, func(e entry) bool { return e.sequence == t })
	return a.next(now)
}

func (a *Admission) next(now clock.Millis) []Effect {
	var effects []Effect
	for len(a.waiting) > 0 && len(a.running) < a.behavior.Slots() {
		e := a.waiting[0]
		a.waiting = a.waiting[1:]
		if a.stale(e.order, now) {
			effects = append(effects, Stale{sequence: e.sequence})
			continue
		}
		a.running[e.sequence] = e.order
		effects = append(effects, Run{sequence: e.sequence, at: now})
	}
	return effects
}

// stale reports whether a target that checks must refuse the order.
func (a *Admission) stale(o ledger.Request, now clock.Millis) bool {
	switch a.behavior.Fencing().(type) {
	case server.Unfenced:
		return false
	case server.AtStart, server.AtCommit:
		lapsed := o.LeaseUntil() != 0 && !now.Before(o.LeaseUntil())
		return lapsed || o.Epoch() < a.epochs[o.Shard()]
	}
	return false
}

func (a *Admission) remember(o ledger.Request) {
	a.epochs[o.Shard()] = max(a.epochs[o.Shard()], o.Epoch())
}
