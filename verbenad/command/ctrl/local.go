package ctrl

import (
	"errors"

	"verbenabank/core/command/agent"
	"verbenabank/core/command/hold"
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
		l.cell.Publish(f.Snap())
	case agent.SendJoin, agent.SendRenew, agent.SendLeave, agent.SendGone:
		l.uplink.Send(f)
	case agent.AwaitQuiet:
		l.awaitQuiet(f)
	case agent.WatchShard:
		done := agent.NewShardDrained(f.Service(), f.Shard(), f.Epoch())
		l.flight.Drained(f.Service(), f.Shard(), func() { go l.Post(NewLocal(done)) })
	case agent.WatchAll:
		l.flight.Empty(func() { go l.Post(NewLocal(agent.AllDrained{})) })
	case agent.UseTarget:
		l.log.WithField("address", f.Address()).Info("ctrl: target is up")
		l.target.Use(f)
	case agent.Command:
		id := f.Order().ID()
		l.target.Command(f.Order(), func(r hold.Result) { l.Post(NewLocal(agent.NewOrderEnded(id, r))) })
	case agent.DropTarget:
		l.target.Drop()
	case agent.Reconnect:
		l.uplink.Reconnect()
	case agent.Freed:
		l.waiter.Freed()
	case agent.Violated:
		l.violated(f.Problem())
	case agent.Stopped:
		l.waiter.Stopped()
	}
}

// awaitQuiet waits for the requests that may be for keys of the shard and entered under
// another, however long they take, and only then for the shard itself.
func (l *Loop) awaitQuiet(f agent.AwaitQuiet) {
	quiet := agent.NewShardQuiet(f.Service(), f.Shard(), f.Epoch())
	l.flight.Past(f.Service(), f.SharesKeys, func() {
		l.flight.Quiet(f.Service(), f.Shard(), agent.Patience, f.Span(), func() { go l.Post(NewLocal(quiet)) })
	})
}

// violated logs an invariant that does not hold. The agent has already refused
// what broke it.
func (l *Loop) violated(problem string) {
	violations.Add(1)
	l.log.WithError(errors.New(problem)).Error("ctrl: invariant violated")
}
