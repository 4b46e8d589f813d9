package agent

import (
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

const startTime = 50

func (h *harness) hear(sequence uint64, startTime uint64, phase TargetPhase) {
	h.step(NewHeartbeat("t", startTime, sequence, phase).WithService(service, "1.2.3.4:5", 9).WithID(sequence))
}

func (h *harness) serviceRules() table.Change {
	return table.NewRulesSet(rules.New(3, "d", rules.NewService(service, rules.WithKind(rules.NewKeyed(rules.NewPathSegment(2), 4)))))
}

// TestRestartedDaemonDoesNotUseATargetThatLeft delivers a heartbeat that was sent before the target said that
// it stops to a daemon that has been restarted since.
func TestRestartedDaemonDoesNotUseATargetThatLeft(t *testing.T) {
	for name, left := range map[string]table.Change{"gone": nil, "leaving": table.NewMemberSet(
		table.NewMember(1, "i", "z", "a", service, table.Leaving{}).WithTargetStartTime(startTime))} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.hear(3, startTime, Accepting{})
			h.step(Connected{})
			j, ok := find[SendJoin](h)
			h.is.True(ok)
			h.is.Equal(j.Member().TargetStartTime(), uint64(startTime))
			changes := []table.Change{h.serviceRules(), table.NewTargetLeft("i", startTime)}
			if left != nil {
				changes = append(changes, left)
			}
			h.update(changes...)
			if left != nil {
				h.update(table.NewMemberRemoved(1))
			}
			h.step(Ticked{})
			h.step(AllDrained{})
			h.now += h.agent.params.RenewInterval()
			h.step(Ticked{})
			j, ok = find[SendJoin](h)
			h.is.True(ok)
			h.is.Equal(j.Member().Service(), "") // the daemon serves callers without a target

			h.hear(4, startTime, Accepting{})
			h.is.Equal(h.agent.target.service, "")
			h.hear(1, startTime+1, Accepting{})
			h.is.Equal(h.agent.target.startTime, uint64(startTime+1)) // the next process is used
		})
	}
}

// TestExitOfAnUnknownTargetIsRemembered guards against a daemon that has just started, is told that a target exits,
// and uses that target when an earlier heartbeat arrives late.
func TestExitOfAnUnknownTargetIsRemembered(t *testing.T) {
	h := newHarness(t)
	h.hear(0, startTime, Exiting{})
	h.hear(4, startTime, Accepting{})
	h.is.Equal(h.agent.target.service, "")
	h.hear(1, startTime+1, Accepting{})
	h.is.Equal(h.agent.target.startTime, uint64(startTime+1))
}

// TestExitIsAcknowledgedOnceRecorded guards against an acknowledged exit that nobody knows of: no leader could be
// reached, and the daemon is killed (review, "standin left").
func TestExitIsAcknowledgedOnceRecorded(t *testing.T) {
	h := newHarness(t)
	h.hear(3, startTime, Accepting{})
	h.is.Equal(len(h.answers()), 1)
	h.step(Connected{})
	j, _ := find[SendJoin](h)
	h.update(h.serviceRules(), table.NewMemberSet(j.Member()))
	h.step(Disconnected{})
	h.hear(0, startTime, Exiting{})
	h.is.Equal(len(h.answers()), 0)
	h.step(Connected{})
	l, ok := find[SendLeave](h)
	h.is.True(ok)
	h.is.True(l.TargetLeft())
	h.update(table.NewTargetLeft("i", startTime))
	h.is.Equal(len(h.answers()), 1)
}

func TestLeaderLearnsThatATargetLeft(t *testing.T) {
	is := is.New(t)
	for name, c := range map[string]struct {
		event Event
		left  bool
	}{"target stops": {NewHeartbeat("t", startTime, 4, Retiring{}).WithService(service, "1.2.3.4:5", 9), true}, "daemon stops": {StopRequested{}, false}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.hear(3, startTime, Accepting{})
			h.step(Connected{})
			j, _ := find[SendJoin](h)
			h.update(h.serviceRules(), table.NewMemberSet(j.Member()))
			h.step(c.event)
			l, ok := find[SendLeave](h)
			is.True(ok)
			is.Equal(l.TargetLeft(), c.left)
		})
	}
}
