// Package clock provides the time type of the system: milliseconds on the boot clock of the
// machine.
//
// The boot clock is shared by all processes of a machine, never steps, and continues to run
// while the machine is suspended. It is unrelated to the clocks of other machines: points in
// time are never sent to another machine, only durations are.
package clock

import "time"

// Millis is a point in time on a Clock, or a duration, in milliseconds.
type Millis int64

// Common durations.
const (
	Millisecond Millis = 1
	Second      Millis = 1000
	Minute      Millis = 60 * Second
)

// Add returns the time d after m.
func (m Millis) Add(d Millis) Millis { return m + d }

// Sub returns the duration from earlier to m.
func (m Millis) Sub(earlier Millis) Millis { return m - earlier }

// Before reports whether m is earlier than other.
func (m Millis) Before(other Millis) bool { return m < other }

// Duration returns the duration m as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Clock reads the current time. It is safe for concurrent use.
type Clock struct {
	now func() Millis
}

// Option sets one property of a Clock.
type Option func(*Clock)

// WithSource sets the function that returns the current time, such as Manual.Now in tests. It
// must be safe for concurrent use.
func WithSource(now func() Millis) Option {
	return func(c *Clock) { c.now = now }
}

// New returns a clock that reads the boot clock of the machine unless opts say otherwise.
func New(opts ...Option) *Clock {
	c := &Clock{now: readBootClock}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Now returns the current time in milliseconds.
func (c *Clock) Now() Millis { return c.now() }
