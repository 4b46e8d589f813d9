package admit

import "verbenabank/core/clock"

// Effect is what happens to a request: Run, Shed, Stale or Commit.
type Effect interface{ effect() }

// Run lets a request run.
type Run struct {
	ticket Ticket
	at     clock.Millis
}

// Ticket returns the request.
func (r Run) Ticket() Ticket { return r.ticket }

// At returns when it began.
func (r Run) At() clock.Millis { return r.at }

// Shed refuses a request because slots and backlog are full.
type Shed struct{ ticket Ticket }

// Ticket returns the request.
func (s Shed) Ticket() Ticket { return s.ticket }

// Stale refuses a request because its epoch is old or its lease has lapsed.
type Stale struct{ ticket Ticket }

// Ticket returns the request.
func (s Stale) Ticket() Ticket { return s.ticket }

// Commit lets a request take effect.
type Commit struct {
	ticket Ticket
	at     clock.Millis
}

// Ticket returns the request.
func (c Commit) Ticket() Ticket { return c.ticket }

// At returns when it took effect.
func (c Commit) At() clock.Millis { return c.at }

func (Run) effect()    {}
func (Shed) effect()   {}
func (Stale) effect()  {}
func (Commit) effect() {}
