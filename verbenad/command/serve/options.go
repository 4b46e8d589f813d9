package serve

import (
	"context"

	"github.com/gofiber/fiber/v3"

	"verbenabank/core/command/agent"
	"verbenabank/core/state/fleet"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/rules"
	"verbenabank/verbenad/adapt/front"
	"verbenabank/verbenad/adapt/keeper"
	"verbenabank/verbenad/command/owner"
)

// Option sets one property of a Daemon.
type Option func(*Daemon)

// WithParse sets how the content of a configuration is read.
func WithParse(parse func(content []byte) (rules.Rules, error)) Option {
	return func(d *Daemon) { d.parse = parse }
}

// WithCallers takes callers by host and path, who are spoken to in the dialect.
func WithCallers(x front.Dialect) Option { return func(d *Daemon) { d.callers = x } }

// WithTarget sets how the target beside is spoken to and told what keys it holds. It is
// watched by its beats and answers and not asked for its health.
func WithTarget(x owner.Dialect, k keeper.Dialect) Option {
	return func(d *Daemon) { d.speech, d.orders = x, k }
}

// WithDropped sets what tells how many log lines were dropped.
func WithDropped(f func() int64) Option { return func(d *Daemon) { d.dropped = f } }

// WithAdmin adds handlers to the admin server.
func WithAdmin(register func(r fiber.Router, door Door)) Option {
	return func(d *Daemon) { d.register = register }
}

// Door is what handlers of the admin server may ask and tell a daemon.
type Door interface {
	// Beat takes the word of the target and reports whether it may be acknowledged.
	Beat(b agent.Heartbeat) bool
	// Offer offers a configuration until it is decided or ctx ends.
	Offer(ctx context.Context, a logcmd.SetRules) (fleet.Verdict, error)
	// Rules returns the rules in force, confirmed by a quorum after the call; version 0
	// stands for none.
	Rules(ctx context.Context) (rules.Rules, error)
	// Instance returns the name of the instance.
	Instance() string
}

// Beat takes the word of the target and reports whether it may be acknowledged.
func (d *Daemon) Beat(b agent.Heartbeat) bool { return d.waiter.notice.Beat(b) }

// Offer offers a configuration until it is decided or ctx ends.
func (d *Daemon) Offer(ctx context.Context, a logcmd.SetRules) (fleet.Verdict, error) {
	return d.client.Offer(ctx, a)
}

// Rules returns the rules in force, confirmed by a quorum after the call.
func (d *Daemon) Rules(ctx context.Context) (rules.Rules, error) { return d.client.Rules(ctx) }

// Instance returns the name of the instance.
func (d *Daemon) Instance() string { return d.settings.Load().Instance() }
