package ctrl

import (
	"github.com/sirupsen/logrus"

	"verbenabank/core/clock"
	"verbenabank/core/command/agent"
	"verbenabank/core/command/leader"
	"verbenabank/core/command/lease"
	"verbenabank/core/command/raft"
	"verbenabank/core/state/fleet"
	"verbenabank/core/state/snap"
	"verbenabank/core/wire/codec"
)

// Option configures a Loop.
type Option func(*Loop)

// WithClock sets the monotonic clock for all leases and timers, and the wall clock for timestamps in
// the audit trail.
func WithClock(c *clock.Clock, w WallClock) Option {
	return func(l *Loop) { l.clock, l.wallClock = c, w }
}

// WithLeaseParams sets the parameters of the leases that this replica grants while it leads. The default is
// lease.DefaultParams.
func WithLeaseParams(p lease.Params) Option { return func(l *Loop) { l.leaseParams = p } }

// WithCodec sets the encoding of log entries and snapshots.
func WithCodec(c *codec.Codec) Option { return func(l *Loop) { l.codec = c } }

// WithLog sets the logger; the default is the standard one of logrus.
func WithLog(e *logrus.Entry) Option { return func(l *Loop) { l.log = e } }

// WithAgent sets the daemon's agent, which is required, and the store that its snapshots are published
// to.
func WithAgent(a *agent.Agent, s *snap.Store) Option {
	return func(l *Loop) { l.agent, l.snapshots = a, s }
}

// WithTraffic sets the connection to the local target and the tracker of its in-flight requests.
func WithTraffic(t Target, r RequestTracker) Option {
	return func(l *Loop) { l.target, l.tracker = t, r }
}

// WithUplink sets the session with the leader of the control group.
func WithUplink(u Uplink) Option { return func(l *Loop) { l.uplink = u } }

// WithMembers sets how other daemons are asked for rules. Without it they are not asked.
func WithMembers(m Members) Option { return func(l *Loop) { l.members = m } }

// WithLifecycleObserver sets the observer of target release, shutdown and failure.
func WithLifecycleObserver(o LifecycleObserver) Option { return func(l *Loop) { l.observer = o } }

// WithLeaderOptions sets further options of the leader that this replica may become.
func WithLeaderOptions(opts ...leader.Option) Option {
	return func(l *Loop) { l.leaderOptions = opts }
}

// WithReplica makes the process a control replica. The node must have been created from the stored
// log; f is the fleet state before any entry is applied or a snapshot restored.
func WithReplica(n *raft.Node, f *fleet.State, p PeerTransport, s LogStore) Option {
	return func(l *Loop) { l.node, l.fleet, l.peers, l.logStore = n, f, p, s }
}
