// Package detect is a passive failure detector for the target on the same instance. It sends no health
// requests: it detects from heartbeats, from responses to other requests and from refused connections
// that the target accepts no more connections or is unresponsive.
package detect

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"verbenabank/core/clock"
	"verbenabank/core/command/agent"
)

const (
	// checkInterval is how often the time since the last heartbeat or response is checked.
	checkInterval = 500 * time.Millisecond
	// unresponsiveAfter is the time without a heartbeat or a response after which a target counts as
	// unresponsive. It is more than three heartbeat intervals, since heartbeats may be late.
	unresponsiveAfter = 3500 * clock.Millisecond
	// verifyTimeout is the time-out of the dial that confirms a refused connection.
	verifyTimeout = 200 * time.Millisecond
)

// Detector is a failure detector that watches one target at a time. RecordHeartbeat and RecordConnRefused
// are safe for concurrent use, the other methods are for one goroutine.
type Detector struct {
	clock         *clock.Clock
	lastResponse  func() clock.Millis
	post          func(agent.Event)
	log           *logrus.Entry
	lastHeartbeat atomic.Int64
	refused       chan struct{}
	stop          func()
}

// Option sets one property of a Detector.
type Option func(*Detector)

// WithClock sets the clock that measures the time without a heartbeat or a response.
func WithClock(c *clock.Clock) Option { return func(d *Detector) { d.clock = c } }

// WithLastResponse sets the function that returns when the target last answered a request, 0 if it has not
// yet. It is called from another goroutine.
func WithLastResponse(f func() clock.Millis) Option { return func(d *Detector) { d.lastResponse = f } }

// WithPost sets the function that receives the agent.TargetLost event, from another goroutine and at most
// once for each target.
func WithPost(post func(agent.Event)) Option { return func(d *Detector) { d.post = post } }

// WithLog sets the log, by default the standard logger.
func WithLog(e *logrus.Entry) Option { return func(d *Detector) { d.log = e } }

// New returns a detector without a target, and a function that stops it.
func New(opts ...Option) (*Detector, func()) {
	d := &Detector{
		clock: clock.New(), lastResponse: func() clock.Millis { return 0 }, post: func(agent.Event) {},
		log: logrus.NewEntry(logrus.StandardLogger()), refused: make(chan struct{}, 1), stop: func() {},
	}
	for _, o := range opts {
		o(d)
	}
	return d, func() { d.stop() }
}

// RecordHeartbeat records that the target sent a heartbeat.
func (d *Detector) RecordHeartbeat() { d.lastHeartbeat.Store(int64(d.clock.Now())) }

// RecordConnRefused records that the target's address refused a connection. The target is reported as lost only if
// it refuses another one.
func (d *Detector) RecordConnRefused() {
	select {
	case d.refused <- struct{}{}:
	default:
	}
}

// Watch starts to watch the target at the address, in place of the previous one.
func (d *Detector) Watch(address string) {
	d.stop()
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	go d.run(ctx, address)
}

// Drop stops watching.
func (d *Detector) Drop() { d.stop() }

func (d *Detector) run(ctx context.Context, address string) {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	started := d.clock.Now()
	for {
		var loss agent.Loss
		select {
		case <-ctx.Done():
			return
		case <-d.refused:
			loss = d.verify(ctx, address)
		case <-t.C:
			loss = d.checkSilence(started)
		}
		if loss != nil && ctx.Err() == nil {
			d.post(agent.NewTargetLost(loss))
			return
		}
	}
}

// checkSilence returns a loss if the target has sent neither heartbeats nor responses for
// unresponsiveAfter.
func (d *Detector) checkSilence(started clock.Millis) agent.Loss {
	silent := d.clock.Now().Sub(max(started, clock.Millis(d.lastHeartbeat.Load()), d.lastResponse()))
	if silent < unresponsiveAfter {
		return nil
	}
	d.log.WithField("silent_ms", int64(silent)).Warn("pulse: no heartbeat and no response from the target; it counts as unresponsive")
	return agent.Unresponsive{}
}

// verify dials the target once more and returns a loss if the connection is refused: only that proves that
// the target accepts no more connections.
func (d *Detector) verify(ctx context.Context, address string) agent.Loss {
	dialer := net.Dialer{Timeout: verifyTimeout}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = c.Close()
		return nil
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return nil
	}
	d.log.WithField("address", address).Warn("pulse: target address refuses connections; the target counts as lost")
	return agent.PortClosed{}
}
