// Package breaker holds requests back from an owner that has refused their key, so that the requests of
// hundreds of daemons for one popular key don't take the time that its owner needs to hand the key over.
//
// For each key there is a circuit breaker: it opens when the owner says that it doesn't own or hold the
// key, lets one probe through at a time, each after a longer pause, and closes when the owner serves the
// key again. A key that gets another owner starts anew.
package breaker

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/table"
)

const (
	// MinPause is the time from the first refusal to the first probe. It doubles with each refused probe.
	MinPause = 100 * clock.Millisecond
	// MaxPause is the longest time between two probes.
	MaxPause = 400 * clock.Millisecond
	// maxOpen is how many keys are remembered. Beyond it, requests for further ones are not held back.
	maxOpen = 4096
)

// Key identifies a key of a service at one owner.
type Key struct {
	service string
	key     string
	owner   table.Incarnation
}

// NewKey returns the identity of the key of a service at its owner.
func NewKey(service, key string, owner table.Incarnation) Key {
	return Key{service: service, key: key, owner: owner}
}

// Breaker holds the circuit breakers of all keys. It is not safe for concurrent use.
type Breaker struct{ open map[Key]*circuit }

// circuit is an open circuit breaker.
type circuit struct {
	nextProbe clock.Millis
	pause     clock.Millis
	closed    chan struct{}
}

// New returns a breaker that is closed for all keys.
func New() *Breaker { return &Breaker{open: map[Key]*circuit{}} }

// Verdict says what becomes of a request: Admitted or HeldBack.
type Verdict interface{ verdict() }

// Admitted requests are sent to the owner; Record is told how that ended.
type Admitted struct{ probe bool }

// HeldBack requests are not sent to the owner now.
type HeldBack struct{ closed <-chan struct{} }

// Closed returns a channel that is closed as soon as the owner serves the key again.
func (h HeldBack) Closed() <-chan struct{} { return h.closed }

func (Admitted) verdict() {}
func (HeldBack) verdict() {}

// Outcome is how an admitted request ended: Refused, Served or Unclear.
type Outcome interface{ outcome() }

// Refused means that the owner has said that it doesn't own or hold the key.
type Refused struct{}

// Served means that the owner holds the key, whether or not it ran the request.
type Served struct{}

// Unclear means that nothing is known about the key.
type Unclear struct{}

func (Refused) outcome() {}
func (Served) outcome()  {}
func (Unclear) outcome() {}

// Check decides on a request for the key. While the breaker is open, the admitted ones are probes.
func (b *Breaker) Check(k Key, now clock.Millis) Verdict {
	c, ok := b.open[k]
	switch {
	case !ok:
		return Admitted{}
	case now < c.nextProbe:
		return HeldBack{closed: c.closed}
	}
	c.nextProbe = now + c.pause
	return Admitted{probe: true}
}

// Record records how an admitted request ended. Once the breaker is open, only probes count: the others were
// sent before.
func (b *Breaker) Record(k Key, a Admitted, o Outcome, now clock.Millis) {
	c, open := b.open[k]
	switch o.(type) {
	case Refused:
		switch {
		case !open:
			b.add(k, now)
		case a.probe:
			c.pause = min(2*c.pause, MaxPause)
			c.nextProbe = now + c.pause
		}
	case Served:
		if open && a.probe {
			delete(b.open, k)
			close(c.closed)
		}
	case Unclear:
	}
}

// add opens the breaker of a key. If too many are open, it forgets those that nobody has asked for lately.
func (b *Breaker) add(k Key, now clock.Millis) {
	if len(b.open) >= maxOpen {
		for other, c := range b.open {
			if now > c.nextProbe+MaxPause {
				delete(b.open, other)
				close(c.closed)
			}
		}
	}
	if len(b.open) < maxOpen {
		b.open[k] = &circuit{nextProbe: now + MinPause, pause: MinPause, closed: make(chan struct{})}
	}
}
