package clock

import "sync/atomic"

// Manual is a source that moves only when told to, for tests. It is safe for
// concurrent use.
type Manual struct {
	now atomic.Int64
}

// NewManual returns a source that stands at start.
func NewManual(start Millis) *Manual {
	m := &Manual{}
	m.now.Store(int64(start))
	return m
}

// Now returns the instant the source stands at.
func (m *Manual) Now() Millis { return Millis(m.now.Load()) }

// Advance moves the source forward by span.
func (m *Manual) Advance(span Millis) { m.now.Add(int64(span)) }
