package ctrl

import (
	"errors"
	"fmt"

	"github.com/sirupsen/logrus"

	"verbenabank/core/command/agent"
	"verbenabank/core/command/hold"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
)

// stepAgent carries out what the daemon decides.
func (l *Loop) stepAgent(e agent.Event) {
	for _, f := range l.agent.Step(l.clock.Now(), e) {
		l.local(f)
	}
}

func (l *Loop) local(f agent.Effect) {
	switch f := f.(type) {
	case agent.Publish:
		l.publish(f.Snap())
	case agent.SendJoin, agent.SendRenew, agent.SendLeave, agent.SendGone:
		l.uplink.Send(f)
	case agent.AwaitQuiesced:
		l.awaitQuiet(f)
	case agent.AwaitShardDrained:
		done := agent.NewShardDrained(f.Service(), f.Shard(), f.Epoch())
		l.flight.Drained(f.Service(), f.Shard(), func() { go l.Post(NewAgentEvent(done)) })
	case agent.AwaitAllDrained:
		l.flight.Empty(func() { go l.Post(NewAgentEvent(agent.AllDrained{})) })
	case agent.UseTarget:
		l.log.WithField("address", f.Address()).Info("ctrl: target is up")
		l.target.Use(f)
	case agent.SendCall:
		id := f.Call().ID()
		l.target.SendCall(f.Call(), func(r hold.Result) { l.Post(NewAgentEvent(agent.NewCallEnded(id, r))) })
	case agent.DrainTarget:
		l.target.Drain()
	case agent.DropTarget:
		l.target.Drop()
	case agent.Reconnect:
		l.uplink.Reconnect()
	case agent.TargetReleased:
		l.waiter.Freed()
	case agent.InvariantViolated:
		l.violated(f.Problem())
	case agent.Stopped:
		l.waiter.Stopped()
	}
}

// publish shows traffic a snapshot, and logs what it changes for this daemon.
func (l *Loop) publish(s *snap.Snapshot) {
	last := l.cell.Load()
	l.cell.Publish(s)
	fields := logrus.Fields{
		"self": incarnation(s.Self()), "table": s.Table().Version(), "rules": s.Table().Rules().Version(),
		"lease_left_ms": int64(max(0, s.LeaseEnd()-l.clock.Now())),
	}
	if s.Self() != last.Self() {
		fields["was"] = incarnation(last.Self())
		l.log.WithFields(fields).Info("ctrl: own membership changed")
	}
	if s.Table().Rules().Version() != last.Table().Rules().Version() {
		fields["was_rules"] = last.Table().Rules().Version()
		l.log.WithFields(fields).Info("ctrl: rules in force")
	}
}

// incarnation returns the text of an incarnation, as the audit trail has it.
func incarnation(i table.Incarnation) string { return fmt.Sprintf("%016x", uint64(i)) }

// awaitQuiet waits for the requests that may be for keys of the shard and entered under
// another, however long they take, and only then for the shard itself.
func (l *Loop) awaitQuiet(f agent.AwaitQuiesced) {
	quiet := agent.NewShardQuiesced(f.Service(), f.Shard(), f.Epoch())
	l.flight.Past(f.Service(), f.SharesKeys, func() {
		l.flight.Quiet(f.Service(), f.Shard(), agent.LongRequestAge, f.MaxWait(), func() { go l.Post(NewAgentEvent(quiet)) })
	})
}

// violated logs an invariant that does not hold. The agent has already refused
// what broke it.
func (l *Loop) violated(problem string) {
	violations.Add(1)
	l.log.WithError(errors.New(problem)).Error("ctrl: invariant violated")
}
