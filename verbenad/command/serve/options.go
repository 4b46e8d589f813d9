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

// WithRulesParser sets how the content of a configuration is read.
func WithRulesParser(parse func(content []byte) (rules.Rules, error)) Option {
	return func(d *Daemon) { d.parse = parse }
}

// WithCallerDialect takes callers by host and path, who are spoken to in the dialect.
func WithCallerDialect(x front.Dialect) Option { return func(d *Daemon) { d.callers = x } }

// WithTargetDialects sets how the target beside is spoken to and told what keys it holds. It is
// watched by its beats and answers and not asked for its health.
func WithTargetDialects(x owner.Dialect, k keeper.Dialect) Option {
	return func(d *Daemon) { d.speech, d.orders = x, k }
}

// WithDroppedLogLines sets what tells how many log lines were dropped.
func WithDroppedLogLines(f func() int64) Option { return func(d *Daemon) { d.dropped = f } }

// WithAdminRoutes adds handlers to the admin server.
func WithAdminRoutes(register func(r fiber.Router, door AdminAPI)) Option {
	return func(d *Daemon) { d.register = register }
}

// AdminAPI is what handlers of the admin server may ask and tell a daemon.
type AdminAPI interface {
	// Heartbeat takes the word of the target and reports whether it may be acknowledged.
	Heartbeat(b agent.Heartbeat) bool
	// Propose offers a configuration until it is decided or ctx ends.
	Propose(ctx context.Context, a logcmd.SetRules) (fleet.Verdict, error)
	// Rules returns the rules in force, confirmed by a quorum after the call; version 0
	// stands for none.
	Rules(ctx context.Context) (rules.Rules, error)
	// Instance returns the name of the instance.
	Instance() string
}

// Heartbeat takes the word of the target and reports whether it may be acknowledged.
func (d *Daemon) Heartbeat(b agent.Heartbeat) bool { return d.waiter.notice.Heartbeat(b) }

// Propose offers a configuration until it is decided or ctx ends.
func (d *Daemon) Propose(ctx context.Context, a logcmd.SetRules) (fleet.Verdict, error) {
	return d.client.Offer(ctx, a)
}

// Rules returns the rules in force, confirmed by a quorum after the call.
func (d *Daemon) Rules(ctx context.Context) (rules.Rules, error) { return d.client.Rules(ctx) }

// Instance returns the name of the instance.
func (d *Daemon) Instance() string { return d.settings.Load().Instance() }
