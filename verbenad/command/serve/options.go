package serve

import (
	"context"

	"github.com/gofiber/fiber/v3"

	"verbenabank/core/command/agent"
	"verbenabank/core/command/leader"
	"verbenabank/core/command/stats"
	"verbenabank/core/query/picker"
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

// WithAveragedCapacity places the keys of ordered services by service times that are averaged over the requests of a
// window, if this daemon leads the control group.
func WithAveragedCapacity() Option {
	return func(d *Daemon) {
		d.leaderOptions = append(d.leaderOptions, leader.WithCapacityWindow(stats.CapacityWindow))
	}
}

// WithDroppedLogLines sets the function that returns the number of dropped log lines, for the gauge.
func WithDroppedLogLines(f func() int64) Option { return func(d *Daemon) { d.droppedLogLines = f } }

// WithAdminRoutes sets a function that adds handlers to the admin server. It is called once, by New.
func WithAdminRoutes(register func(r fiber.Router, api AdminAPI)) Option {
	return func(d *Daemon) { d.registerAdmin = register }
}

// WithBalancing sets how targets of pooled services are picked, by default by the latency that each daemon measures. A
// balancing in the settings takes precedence.
func WithBalancing(p picker.Policy) Option { return func(d *Daemon) { d.balancing = p } }

// AdminAPI is the interface of a daemon for handlers of the admin server. Its methods are safe for
// concurrent use.
type AdminAPI interface {
	// Heartbeat passes a heartbeat of the target to the agent and waits for its answer, for less than a
	// second. It reports whether there is one, so that the heartbeat may be acknowledged.
	Heartbeat(h agent.Heartbeat) (grant.Answer, bool)
	// HeartbeatRejected logs that a heartbeat was not valid.
	HeartbeatRejected(problem string)
	// ColdTimeRejected counts a heartbeat whose cold time is not valid. The rest of it is used.
	ColdTimeRejected()
	// Propose proposes a configuration until it is decided or ctx ends.
	Propose(ctx context.Context, r logcmd.SetRules) (fleet.Verdict, error)
	// SetZoneDrain drains a zone or ends its drain. It returns when that is decided or ctx ends.
	SetZoneDrain(ctx context.Context, zone string, drained bool) (fleet.Verdict, error)
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

// ColdTimeRejected counts a heartbeat whose cold time is not valid.
func (d *Daemon) ColdTimeRejected() { d.owner.RejectColdTime() }

// Propose proposes a configuration to the control group until it is decided or ctx ends.
func (d *Daemon) Propose(ctx context.Context, r logcmd.SetRules) (fleet.Verdict, error) {
	return d.controlClient.Propose(ctx, r)
}

// SetZoneDrain asks the control group to drain a zone or to end its drain, until it is decided or ctx ends. The order
// counts as based on the newest table that this process knows.
func (d *Daemon) SetZoneDrain(ctx context.Context, zone string, drained bool) (fleet.Verdict, error) {
	base := max(d.snapshots.Load().Table().Version(), d.loop.View().Fleet().Table().Version())
	return d.controlClient.SetZoneDrain(ctx, logcmd.NewSetZoneDrain(zone, drained, d.Instance(), base))
}

// Rules returns the rules in force, confirmed by a quorum after the call began. Version 0 means that
// there are none.
func (d *Daemon) Rules(ctx context.Context) (rules.Rules, error) { return d.controlClient.Rules(ctx) }

// Instance returns the name of the instance.
func (d *Daemon) Instance() string { return d.settings.Load().Instance() }
