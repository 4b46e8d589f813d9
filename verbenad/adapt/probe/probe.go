// Package probe finds out that the target beside the daemon is gone or frozen.
//
// A refused connection proves that no process listens. Silence counts only while
// traffic gets no answers either, since health reports lag or mislead.
package probe

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"verbenabank/core/clock"
	"verbenabank/core/command/agent"
)

// Bounds of the probe.
const (
	every    = 100 * time.Millisecond
	patience = 200 * time.Millisecond
	// muteAfter is how long a target may answer nothing before it counts as
	// frozen.
	muteAfter = 700 * clock.Millisecond
	// refusals is how many refused connections in a row make a target dead.
	refusals = 2
	// headBytes is the size in bytes of the largest head of an answer.
	headBytes = 16 << 10
)

// Probe watches one target at a time. Its methods are for one goroutine, but for
// the function given to New.
type Probe struct {
	clock    *clock.Clock
	answered func() clock.Millis
	post     func(agent.Event)
	log      *logrus.Entry
	client   *http.Client
	stop     func()
}

// Option sets one property of a Probe.
type Option func(*Probe)

// WithClock sets the clock of silence.
func WithClock(c *clock.Clock) Option { return func(p *Probe) { p.clock = c } }

// WithLastResponse sets what tells when traffic last got an answer of the target.
func WithLastResponse(f func() clock.Millis) Option { return func(p *Probe) { p.answered = f } }

// WithPost sets where a loss goes.
func WithPost(post func(agent.Event)) Option { return func(p *Probe) { p.post = post } }

// WithLog sets where the probe logs.
func WithLog(e *logrus.Entry) Option { return func(p *Probe) { p.log = e } }

// New returns a probe without a target and the function that ends it.
func New(opts ...Option) (*Probe, func()) {
	p := &Probe{
		clock:    clock.New(),
		answered: func() clock.Millis { return 0 },
		post:     func(agent.Event) {},
		log:      logrus.NewEntry(logrus.StandardLogger()),
		client:   &http.Client{Timeout: patience, Transport: &http.Transport{MaxIdleConns: 1, MaxResponseHeaderBytes: headBytes}},
		stop:     func() {},
	}
	for _, o := range opts {
		o(p)
	}
	return p, func() { p.stop() }
}

// Watch begins to probe the target at address in place of the last one.
func (p *Probe) Watch(address string) {
	p.stop()
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	go p.run(ctx, address)
}

// Drop ends probing.
func (p *Probe) Drop() { p.stop() }

func (p *Probe) run(ctx context.Context, address string) {
	t := time.NewTicker(every)
	defer t.Stop()
	alive, refused := p.clock.Now(), 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		switch err := p.ask(ctx, address); {
		case err == nil:
			alive, refused = p.clock.Now(), 0
		case errors.Is(err, syscall.ECONNREFUSED):
			refused++
		default:
			refused = 0
		}
		if ctx.Err() != nil {
			return
		}
		if loss := p.judge(max(alive, p.answered()), refused); loss != nil {
			p.log.WithField("address", address).Warn("probe: target is lost")
			p.post(agent.NewTargetLost(loss))
			return
		}
	}
}

// judge returns the loss, nil if the target is still there.
func (p *Probe) judge(alive clock.Millis, refused int) agent.Loss {
	switch {
	case refused >= refusals:
		return agent.Dead{}
	case p.clock.Now().Sub(alive) >= muteAfter:
		return agent.Unresponsive{}
	}
	return nil
}

// ask sends one health request. Any answer counts as a sign of life.
func (p *Probe) ask(ctx context.Context, address string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/health", nil)
	if err != nil {
		return err
	}
	a, err := p.client.Do(r)
	if err != nil {
		return err
	}
	return a.Body.Close()
}
