package admit

import "verbenabank/core/clock"

// Effect is a decision about a request: Run, Shed, Stale or Commit.
type Effect interface{ effect() }

// Run starts a request, which holds a slot from then on.
type Run struct {
	sequence Sequence
	at       clock.Millis
}

// Sequence identifies the request.
func (r Run) Sequence() Sequence { return r.sequence }

// At returns when the request started, on the boot clock.
func (r Run) At() clock.Millis { return r.at }

// Shed rejects a request because all slots are taken and the queue is full.
type Shed struct{ sequence Sequence }

// Sequence identifies the request.
func (s Shed) Sequence() Sequence { return s.sequence }

// Stale rejects a request because a later epoch of its shard was seen or its lease has expired.
type Stale struct{ sequence Sequence }

// Sequence identifies the request.
func (s Stale) Sequence() Sequence { return s.sequence }

// Commit makes the effect of a request permanent.
type Commit struct {
	sequence Sequence
	at       clock.Millis
}

// Sequence identifies the request.
func (c Commit) Sequence() Sequence { return c.sequence }

// At returns when the request committed, on the boot clock.
func (c Commit) At() clock.Millis { return c.at }

func (Run) effect()    {}
func (Shed) effect()   {}
func (Stale) effect()  {}
func (Commit) effect() {}
