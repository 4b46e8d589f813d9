package clock

import "sync/atomic"

// Manual is a clock source for tests whose time changes only through Advance. It is safe for
// concurrent use.
type Manual struct {
	now atomic.Int64
}

// NewManual returns a source whose time is start.
func NewManual(start Millis) *Manual {
	m := &Manual{}
	m.now.Store(int64(start))
	return m
}

// Now returns the current time of the source.
func (m *Manual) Now() Millis { return Millis(m.now.Load()) }

// Advance moves the time forward by d.
func (m *Manual) Advance(d Millis) { m.now.Add(int64(d)) }
