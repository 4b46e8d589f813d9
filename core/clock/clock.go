// Package clock gives the one time type of the system: milliseconds on the
// boot clock of the machine.
//
// The boot clock is shared by every process of one machine, never steps, and
// goes on while the machine is suspended. It says nothing about other machines:
// an instant never leaves the machine that read it, only spans do.
package clock

import "time"

// Millis is an instant on a Clock, or a span between two instants, in
// milliseconds.
type Millis int64

// Span lengths in milliseconds.
const (
	Millisecond Millis = 1
	Second      Millis = 1000
	Minute      Millis = 60 * Second
)

// Add returns the instant that is span after m.
func (m Millis) Add(span Millis) Millis { return m + span }

// Sub returns the span from earlier to m.
func (m Millis) Sub(earlier Millis) Millis { return m - earlier }

// Before reports whether m is earlier than other.
func (m Millis) Before(other Millis) bool { return m < other }

// Duration returns the span m for the standard library's timers.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Clock reads the present instant. It is safe for concurrent use.
type Clock struct {
	now func() Millis
}

// Option sets one property of a Clock.
type Option func(*Clock)

// WithSource makes the clock read now, such as a Manual source in tests.
func WithSource(now func() Millis) Option {
	return func(c *Clock) { c.now = now }
}

// New returns a clock on the boot clock of the machine.
func New(opts ...Option) *Clock {
	c := &Clock{now: boot}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Now returns the present instant in milliseconds.
func (c *Clock) Now() Millis { return c.now() }
