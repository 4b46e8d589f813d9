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

// stepAgent passes an event to the agent and carries out the effects.
func (l *Loop) stepAgent(e agent.Event) {
	l.rulesSource = rulesSource(e)
	for _, f := range l.agent.Step(l.clock.Now(), e) {
		l.runAgentEffect(f)
	}
}

// rulesSource returns where rules that an event puts in force come from, as it appears in the log.
func rulesSource(e agent.Event) string {
	if _, ok := e.(agent.RulesAnswered); ok {
		return "member"
	}
	return "leader"
}

func (l *Loop) runAgentEffect(f agent.Effect) {
	switch f := f.(type) {
	case agent.Publish:
		l.publishSnapshot(f.Snap())
	case agent.SendJoin, agent.SendRenew, agent.SendLeave, agent.SendGone:
		l.uplink.Send(f)
	case agent.AwaitQuiesced:
		l.awaitQuiesced(f)
	case agent.AwaitShardDrained:
		drained := agent.NewShardDrained(f.Service(), f.Shard(), f.Epoch())
		l.tracker.OnDrained(f.Service(), f.Shard(), func() { go l.Post(NewAgentEvent(drained)) })
	case agent.AwaitAllDrained:
		l.tracker.OnAllDrained(func() { go l.Post(NewAgentEvent(agent.AllDrained{})) })
	case agent.UseTarget:
		l.log.WithField("address", f.Address()).Info("ctrl: target is up")
		l.target.Use(f)
	case agent.ReportCold:
		l.target.ReportCold(f)
	case agent.SendCall:
		id := f.Call().ID()
		l.target.SendCall(f.Call(), func(r hold.Result) { l.Post(NewAgentEvent(agent.NewCallEnded(id, r))) })
	case agent.IdentifyTarget:
		l.target.Identify(func(name string, r hold.Result) { l.Post(NewAgentEvent(agent.NewTargetIdentified(name, r))) })
	case agent.AnswerHeartbeat:
		l.observer.HeartbeatAnswered(f.ID(), f.Answer())
	case agent.AskRules:
		l.askRules(f)
	case agent.RulesLapsed:
		rulesLapses.Add(1)
		l.log.WithField("rules", l.snapshots.Load().Table().Rules().Version()).Warn("ctrl: the rules are unconfirmed")
	case agent.RulesRenewed:
		l.log.WithFields(logrus.Fields{"rules": l.snapshots.Load().Table().Rules().Version(), "lapsed_ms": int64(f.After())}).
			Info("ctrl: the rules are confirmed again")
	case agent.DrainTarget:
		l.target.Drain()
	case agent.DropTarget:
		l.target.Drop()
	case agent.Reconnect:
		l.uplink.Reconnect()
	case agent.TargetReleased:
		l.observer.TargetReleased()
	case agent.InvariantViolated:
		l.reportViolation(f.Problem())
	case agent.Stopped:
		l.observer.Stopped()
	}
}

// publishSnapshot makes a snapshot visible to the traffic goroutines, and logs changes of this daemon's
// membership and of the rules.
func (l *Loop) publishSnapshot(s *snap.Snapshot) {
	previous := l.snapshots.Load()
	l.snapshots.Publish(s)
	l.logDrainedZones(previous, s)
	fields := logrus.Fields{
		"self": incarnation(s.Self()), "table": s.Table().Version(), "rules": s.Table().Rules().Version(),
		"lease_left_ms": int64(max(0, s.LeaseEnd()-l.clock.Now())),
	}
	if s.Self() != previous.Self() {
		fields["was"] = incarnation(previous.Self())
		l.log.WithFields(fields).Info("ctrl: own membership changed")
	}
	if s.Table().Rules().Version() != previous.Table().Rules().Version() {
		fields["was_rules"] = previous.Table().Rules().Version()
		fields["source"] = l.rulesSource
		fields["unconfirmed_ms"] = int64(previous.RulesAge(l.clock.Now()))
		l.log.WithFields(fields).Info("ctrl: rules in force")
	}
}

// askRules asks other members for newer rules. The answers are posted from other goroutines.
func (l *Loop) askRules(f agent.AskRules) {
	if l.members != nil {
		l.members.AskRules(f, func(e agent.RulesAnswered) { l.Post(NewAgentEvent(e)) })
	}
}

// incarnation formats an incarnation as in the audit trail.
func incarnation(i table.Incarnation) string { return fmt.Sprintf("%016x", uint64(i)) }

// awaitQuiesced waits in two steps. The first has no time limit: it is over once the requests have ended that
// are in flight now under other shards but may be for keys of this one. The second waits, for at most MaxWait,
// until no request of the shard itself is older than agent.LongRequestAge.
func (l *Loop) awaitQuiesced(f agent.AwaitQuiesced) {
	quiesced := agent.NewShardQuiesced(f.Service(), f.Shard(), f.Epoch())
	l.tracker.OnCurrentDrained(f.Service(), f.SharesKeys, func() {
		l.tracker.OnQuiesced(f.Service(), f.Shard(), agent.LongRequestAge, f.MaxWait(), func() { go l.Post(NewAgentEvent(quiesced)) })
	})
}

// reportViolation counts and logs an invariant violation. The process continues, since the agent has
// already rejected the event that caused it.
func (l *Loop) reportViolation(problem string) {
	invariantViolations.Add(1)
	l.log.WithError(errors.New(problem)).Error("ctrl: invariant violated")
}
