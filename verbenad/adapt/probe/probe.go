// Package probe detects with active health checks that the target on the same instance is dead or
// unresponsive.
//
// A refused connection proves that no process listens. Missing health responses count only while other
// requests get no responses either, since health reports may be late or wrong.
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
	"verbenabank/core/wire/heads"
)

const (
	// interval and timeout are those of a health request.
	interval = 100 * time.Millisecond
	timeout  = 200 * time.Millisecond
	// unresponsiveAfter is the time without any response after which a target counts as
	// unresponsive.
	unresponsiveAfter = 700 * clock.Millisecond
	// deadAfterRefusals is the number of consecutive refused connections after which a target counts
	// as dead.
	deadAfterRefusals = 2
	// maxHeaderBytes is the size in bytes of the largest header of a response.
	maxHeaderBytes = 16 << 10
)

// Probe watches one target at a time. Its methods, and the function that New returns, are for one
// goroutine.
type Probe struct {
	clock        *clock.Clock
	lastResponse func() clock.Millis
	post         func(agent.Event)
	log          *logrus.Entry
	client       *http.Client
	stop         func()
}

// Option sets one property of a Probe.
type Option func(*Probe)

// WithClock sets the clock that measures the time without a response.
func WithClock(c *clock.Clock) Option { return func(p *Probe) { p.clock = c } }

// WithLastResponse sets the function that returns when the target last answered a request, 0 if it has not
// yet. It is called from another goroutine.
func WithLastResponse(f func() clock.Millis) Option { return func(p *Probe) { p.lastResponse = f } }

// WithPost sets the function that receives the agent.TargetLost event, from another goroutine and at most
// once for each target.
func WithPost(post func(agent.Event)) Option { return func(p *Probe) { p.post = post } }

// WithLog sets the log, by default the standard logger.
func WithLog(e *logrus.Entry) Option { return func(p *Probe) { p.log = e } }

// New returns a probe without a target, and a function that stops it.
func New(opts ...Option) (*Probe, func()) {
	p := &Probe{
		clock:        clock.New(),
		lastResponse: func() clock.Millis { return 0 },
		post:         func(agent.Event) {},
		log:          logrus.NewEntry(logrus.StandardLogger()),
		client: &http.Client{Timeout: timeout, Transport: &http.Transport{
			MaxIdleConns: 1, MaxResponseHeaderBytes: maxHeaderBytes, DialContext: heads.DialContext,
		}},
		stop: func() {},
	}
	for _, o := range opts {
		o(p)
	}
	return p, func() { p.stop() }
}

// Watch starts to probe the target at the address, in place of the previous one.
func (p *Probe) Watch(address string) {
	p.stop()
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	go p.run(ctx, address)
}

// Drop stops probing.
func (p *Probe) Drop() { p.stop() }

func (p *Probe) run(ctx context.Context, address string) {
	t := time.NewTicker(interval)
	defer t.Stop()
	lastSeen, refusals := p.clock.Now(), 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		switch err := p.check(ctx, address); {
		case err == nil:
			lastSeen, refusals = p.clock.Now(), 0
		case errors.Is(err, syscall.ECONNREFUSED):
			refusals++
		default:
			refusals = 0
		}
		if ctx.Err() != nil {
			return
		}
		if loss := p.assess(max(lastSeen, p.lastResponse()), refusals); loss != nil {
			p.log.WithField("address", address).Warn("probe: target is dead or unresponsive")
			p.post(agent.NewTargetLost(loss))
			return
		}
	}
}

// assess returns how the target was lost, nil if it was not.
func (p *Probe) assess(lastSeen clock.Millis, refusals int) agent.Loss {
	switch {
	case refusals >= deadAfterRefusals:
		return agent.Dead{}
	case p.clock.Now().Sub(lastSeen) >= unresponsiveAfter:
		return agent.Unresponsive{}
	}
	return nil
}

// check sends a health request. A response with any status counts as success, but one with a broken head is none.
func (p *Probe) check(ctx context.Context, address string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/health", nil)
	if err != nil {
		return err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
