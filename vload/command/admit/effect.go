package admit

import "verbenabank/core/clock"

// Effect is what happens to a request: Run, Shed, Stale or Commit.
type Effect interface{ effect() }

// Run lets a request run.
type Run struct {
	sequence Sequence
	at       clock.Millis
}

// Sequence returns the request.
func (r Run) Sequence() Sequence { return r.sequence }

// At returns when it began.
func (r Run) At() clock.Millis { return r.at }

// Shed refuses a request because slots and backlog are full.
type Shed struct{ sequence Sequence }

// Sequence returns the request.
func (s Shed) Sequence() Sequence { return s.sequence }

// Stale refuses a request because its epoch is old or its lease has lapsed.
type Stale struct{ sequence Sequence }

// Sequence returns the request.
func (s Stale) Sequence() Sequence { return s.sequence }

// Commit lets a request take effect.
type Commit struct {
	sequence Sequence
	at       clock.Millis
}

// Sequence returns the request.
func (c Commit) Sequence() Sequence { return c.sequence }

// At returns when it took effect.
func (c Commit) At() clock.Millis { return c.at }

func (Run) effect()    {}
func (Shed) effect()   {}
func (Stale) effect()  {}
func (Commit) effect() {}
