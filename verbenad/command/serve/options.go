package serve

import (
	"context"

	"github.com/gofiber/fiber/v3"

	"verbenabank/core/command/agent"
	"verbenabank/core/state/fleet"
	"verbenabank/core/state/grant"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/rules"
	"verbenabank/verbenad/adapt/front"
	"verbenabank/verbenad/adapt/grants"
	"verbenabank/verbenad/command/owner"
	"verbenabank/verbenad/command/rooms"
)

// Option configures a Daemon.
type Option func(*Daemon)

// WithRulesParser sets the parser of configurations. The default parses the product's own format.
func WithRulesParser(parse func(content []byte) (rules.Rules, error)) Option {
	return func(d *Daemon) { d.parseRules = parse }
}

// WithCallerDialect routes requests of callers by host and path, with the header names and error responses of
// the dialect. Without it callers use the daemon's own protocol.
func WithCallerDialect(x front.Dialect) Option { return func(d *Daemon) { d.callerDialect = x } }

// WithTargetDialects sets the dialect of requests to the local target, and of the calls that grant and release
// its keys. The health of the target is then determined by its heartbeats and responses, without probes.
func WithTargetDialects(x owner.Dialect, g grants.Dialect) Option {
	return func(d *Daemon) { d.targetDialect, d.grantDialect = x, g }
}

// WithRooms lets calls of targets that run a request go before new requests, and limits new requests at targets whose
// calls have too little room.
func WithRooms() Option {
	return func(d *Daemon) { d.rooms = rooms.New(rooms.WithClock(d.clock), rooms.WithLog(d.logger())) }
}

// WithDroppedLogLines sets the function that returns the number of dropped log lines, for the gauge.
func WithDroppedLogLines(f func() int64) Option { return func(d *Daemon) { d.droppedLogLines = f } }

// WithAdminRoutes sets a function that adds handlers to the admin server. It is called once, by New.
func WithAdminRoutes(register func(r fiber.Router, api AdminAPI)) Option {
	return func(d *Daemon) { d.registerAdmin = register }
}

// AdminAPI is the interface of a daemon for handlers of the admin server. Its methods are safe for
// concurrent use.
type AdminAPI interface {
	// Heartbeat passes a heartbeat of the target to the agent and waits for its answer, for less than a
	// second. It reports whether there is one, so that the heartbeat may be acknowledged.
	Heartbeat(h agent.Heartbeat) (grant.Answer, bool)
	// HeartbeatRejected logs that a heartbeat was not valid.
	HeartbeatRejected(problem string)
	// Propose proposes a configuration until it is decided or ctx ends.
	Propose(ctx context.Context, r logcmd.SetRules) (fleet.Verdict, error)
	// Rules returns the rules in force, confirmed by a quorum after the call began. Version 0 means
	// that there are none.
	Rules(ctx context.Context) (rules.Rules, error)
	// Instance returns the name of the instance.
	Instance() string
}

// Heartbeat passes a heartbeat of the target to the agent and waits for its answer, for less than a second.
// It reports whether there is one, so that the heartbeat may be acknowledged.
func (d *Daemon) Heartbeat(h agent.Heartbeat) (grant.Answer, bool) {
	return d.lifecycle.notice.Heartbeat(h)
}

// HeartbeatRejected logs that a heartbeat was not valid.
func (d *Daemon) HeartbeatRejected(problem string) { d.lifecycle.notice.HeartbeatRejected(problem) }

// Propose proposes a configuration to the control group until it is decided or ctx ends.
func (d *Daemon) Propose(ctx context.Context, r logcmd.SetRules) (fleet.Verdict, error) {
	return d.controlClient.Propose(ctx, r)
}

// Rules returns the rules in force, confirmed by a quorum after the call began. Version 0 means that
// there are none.
func (d *Daemon) Rules(ctx context.Context) (rules.Rules, error) { return d.controlClient.Rules(ctx) }

// Instance returns the name of the instance.
func (d *Daemon) Instance() string { return d.settings.Load().Instance() }
