// Package admit decides which requests a stand-in target runs, keeps waiting or
// refuses.
package admit

import (
	"slices"

	"verbenabank/core/clock"
	"verbenabank/vload/state/ledger"
	"verbenabank/vload/state/server"
)

// Ticket identifies one request within a run of a target.
type Ticket uint64

// Desk holds the slots, the backlog and the epochs of a target. It is for the
// control goroutine only.
type Desk struct {
	behavior server.Behavior
	running  map[Ticket]ledger.Order
	waiting  []entry
	epochs   map[uint32]uint64
}

type entry struct {
	ticket Ticket
	order  ledger.Order
}

// New returns the desk of a target without requests.
func New(behavior server.Behavior) *Desk {
	return &Desk{
		behavior: behavior,
		running:  make(map[Ticket]ledger.Order),
		epochs:   make(map[uint32]uint64),
	}
}

// Running returns how many requests hold a slot.
func (d *Desk) Running() int { return len(d.running) }

// Waiting returns how many requests wait for a slot.
func (d *Desk) Waiting() int { return len(d.waiting) }

// Arrive takes in a request: it runs, is refused, or waits if no effect says
// otherwise.
func (d *Desk) Arrive(t Ticket, o ledger.Order, now clock.Millis) []Effect {
	if d.stale(o, now) {
		return []Effect{Stale{ticket: t}}
	}
	d.remember(o)
	if len(d.running) < d.behavior.Slots() {
		d.running[t] = o
		return []Effect{Run{ticket: t, at: now}}
	}
	if len(d.waiting) >= d.behavior.Backlog() {
		return []Effect{Shed{ticket: t}}
	}
	d.waiting = append(d.waiting, entry{ticket: t, order: o})
	return nil
}

// Commit ends a running request: it takes effect, or is refused if it became
// stale while it ran. Waiting requests take the free slot.
func (d *Desk) Commit(t Ticket, now clock.Millis) []Effect {
	o, ok := d.running[t]
	if !ok {
		return nil
	}
	delete(d.running, t)
	var first Effect = Commit{ticket: t, at: now}
	switch d.behavior.Fencing().(type) {
	case server.AtCommit:
		if d.stale(o, now) {
			first = Stale{ticket: t}
		}
	case server.AtStart, server.Unfenced:
	}
	return append([]Effect{first}, d.next(now)...)
}

// Withdraw forgets a request that was given up. Waiting requests take its slot.
func (d *Desk) Withdraw(t Ticket, now clock.Millis) []Effect {
	delete(d.running, t)
	d.waiting = slices.DeleteFunc(d.waiting, func(e entry) bool { return e.ticket == t })
	return d.next(now)
}

func (d *Desk) next(now clock.Millis) []Effect {
	var effects []Effect
	for len(d.waiting) > 0 && len(d.running) < d.behavior.Slots() {
		e := d.waiting[0]
		d.waiting = d.waiting[1:]
		if d.stale(e.order, now) {
			effects = append(effects, Stale{ticket: e.ticket})
			continue
		}
		d.running[e.ticket] = e.order
		effects = append(effects, Run{ticket: e.ticket, at: now})
	}
	return effects
}

// stale reports whether a target that checks must refuse the order.
func (d *Desk) stale(o ledger.Order, now clock.Millis) bool {
	switch d.behavior.Fencing().(type) {
	case server.Unfenced:
		return false
	case server.AtStart, server.AtCommit:
		lapsed := o.Lease() != 0 && !now.Before(o.Lease())
		return lapsed || o.Epoch() < d.epochs[o.Shard()]
	}
	return false
}

func (d *Desk) remember(o ledger.Order) {
	d.epochs[o.Shard()] = max(d.epochs[o.Shard()], o.Epoch())
}
