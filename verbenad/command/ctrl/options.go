package ctrl

import (
	"github.com/sirupsen/logrus"

	"verbenabank/core/clock"
	"verbenabank/core/command/agent"
	"verbenabank/core/command/lease"
	"verbenabank/core/command/raft"
	"verbenabank/core/state/fleet"
	"verbenabank/core/state/snap"
	"verbenabank/core/wire/codec"
)

// Option sets one part of a Loop.
type Option func(*Loop)

// WithClock sets the clock that all leases and timers count on, and the wall
// clock of the audit trail.
func WithClock(c *clock.Clock, stamp Stamp) Option {
	return func(l *Loop) { l.clock, l.stamp = c, stamp }
}

// WithLeaseParams sets the terms of the leases that this replica gives when it leads.
func WithLeaseParams(t lease.Params) Option { return func(l *Loop) { l.terms = t } }

// WithCodec sets the encoding of log entries and snapshots.
func WithCodec(c *codec.Codec) Option { return func(l *Loop) { l.codec = c } }

// WithLog sets where the loop logs.
func WithLog(e *logrus.Entry) Option { return func(l *Loop) { l.log = e } }

// WithAgent sets the daemon's agent and where it publishes snapshots.
func WithAgent(a *agent.Agent, c *snap.Store) Option {
	return func(l *Loop) { l.agent, l.cell = a, c }
}

// WithTraffic sets the traffic side of the daemon.
func WithTraffic(t Target, f Flight) Option {
	return func(l *Loop) { l.target, l.flight = t, f }
}

// WithUplink sets the way to the leader.
func WithUplink(u Uplink) Option { return func(l *Loop) { l.uplink = u } }

// WithLifecycleObserver sets who is told about the end of a leave and of the process.
func WithLifecycleObserver(w Waiter) Option { return func(l *Loop) { l.waiter = w } }

// WithReplica makes the process a control replica that starts from a stored
// state.
func WithReplica(n *raft.Node, f *fleet.State, p Peers, d Log) Option {
	return func(l *Loop) { l.node, l.fleet, l.peers, l.disk = n, f, p, d }
}
