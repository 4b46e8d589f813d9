// Package pulse finds out that the target beside the daemon is gone or frozen without asking
// it anything: from its beats, its answers and refused connections.
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
	every = 500 * time.Millisecond
	// muteAfter is how long a target may neither beat nor answer before it counts as frozen.
	// Beats come late at times, so it is more than three of them.
	muteAfter = 3500 * clock.Millisecond
	// verifyWithin bounds the dial that confirms a refused connection.
	verifyWithin = 200 * time.Millisecond
)

// Detector watches one target at a time. Heard and Refused are safe for concurrent use, the
// other methods are for one goroutine.
type Detector struct {
	clock    *clock.Clock
	answered func() clock.Millis
	post     func(agent.Event)
	log      *logrus.Entry
	heard    atomic.Int64
	refused  chan struct{}
	stop     func()
}

// Option sets one property of a Pulse.
type Option func(*Detector)

// WithClock sets the clock of silence.
func WithClock(c *clock.Clock) Option { return func(p *Detector) { p.clock = c } }

// WithLastResponse sets what tells when traffic last got an answer of the target.
func WithLastResponse(f func() clock.Millis) Option { return func(p *Detector) { p.answered = f } }

// WithPost sets where a loss goes.
func WithPost(post func(agent.Event)) Option { return func(p *Detector) { p.post = post } }

// WithLog sets the log.
func WithLog(e *logrus.Entry) Option { return func(p *Detector) { p.log = e } }

// New returns a pulse without a target, and its clean-up function.
func New(opts ...Option) (*Detector, func()) {
	p := &Detector{
		clock: clock.New(), answered: func() clock.Millis { return 0 }, post: func(agent.Event) {},
		log: logrus.NewEntry(logrus.StandardLogger()), refused: make(chan struct{}, 1), stop: func() {},
	}
	for _, o := range opts {
		o(p)
	}
	return p, func() { p.stop() }
}

// RecordHeartbeat takes note of a beat.
func (p *Detector) RecordHeartbeat() { p.heard.Store(int64(p.clock.Now())) }

// RecordConnRefused takes note of a refused connection.
func (p *Detector) RecordConnRefused() {
	select {
	case p.refused <- struct{}{}:
	default:
	}
}

// Watch watches the target at the address in place of the last one.
func (p *Detector) Watch(address string) {
	p.stop()
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	go p.run(ctx, address)
}

// Drop watches no target.
func (p *Detector) Drop() { p.stop() }

func (p *Detector) run(ctx context.Context, address string) {
	t := time.NewTicker(every)
	defer t.Stop()
	begun := p.clock.Now()
	for {
		var loss agent.Loss
		select {
		case <-ctx.Done():
			return
		case <-p.refused:
			loss = p.verify(ctx, address)
		case <-t.C:
			loss = p.judge(begun)
		}
		if loss != nil && ctx.Err() == nil {
			p.post(agent.NewTargetLost(loss))
			return
		}
	}
}

// judge reports a target that was silent for long.
func (p *Detector) judge(begun clock.Millis) agent.Loss {
	silent := p.clock.Now().Sub(max(begun, clock.Millis(p.heard.Load()), p.answered()))
	if silent < muteAfter {
		return nil
	}
	p.log.WithField("silent_ms", int64(silent)).Warn("pulse: target neither beats nor answers, it counts as frozen")
	return agent.Unresponsive{}
}

// verify dials once more: only a port without a listener proves that the target takes nothing more.
func (p *Detector) verify(ctx context.Context, address string) agent.Loss {
	d := net.Dialer{Timeout: verifyWithin}
	c, err := d.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = c.Close()
		return nil
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return nil
	}
	p.log.WithField("address", address).Warn("pulse: nobody listens at the address of the target, it counts as gone")
	return agent.PortClosed{}
}
