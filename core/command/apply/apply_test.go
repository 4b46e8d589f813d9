package apply

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/state/fleet"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

const service = "bookings"

func newRules(version uint64, digest string, shards int) rules.Rules {
	k := rules.WithKind(rules.NewKeyed(rules.NewPathSegment(2), shards))
	return rules.New(version, digest, rules.NewService(service, k))
}

func newJoin(i table.Incarnation) logcmd.Command {
	return logcmd.NewJoin(table.NewMember(i, fmt.Sprint("i-", i), "z", "a", service, table.Serving{}))
}

// fixture applies commands one after the other.
type fixture struct {
	is    *is.I
	fleet *fleet.State
	index uint64
}

// newFixture starts with rules of version 2 with 4 shards, the members 7 and 8, and shard 0 owned
// by 7 at epoch 1.
func newFixture(t *testing.T) *fixture {
	fx := &fixture{is: is.New(t), fleet: fleet.New()}
	fx.propose(logcmd.NewSetRules(newRules(2, "two", 4), "i", "f"))
	fx.applies(newJoin(7))
	fx.applies(newJoin(8))
	fx.applies(logcmd.NewGrant(service, 0, 0, 7))
	return fx
}

func (fx *fixture) apply(c logcmd.Command) []Effect {
	fx.index++
	next, effects := Apply(fx.fleet, fx.index, 0, c)
	fx.fleet = next
	fx.is.Equal(next.Index(), fx.index)
	return effects
}

func (fx *fixture) applies(c logcmd.Command) {
	fx.is.Helper()
	for _, e := range fx.apply(c) {
		if r, ok := e.(Rejected); ok {
			fx.is.NoErr(r.Err())
		}
	}
}

// rejects checks that the command is rejected and leaves the table as it is.
func (fx *fixture) rejects(c logcmd.Command, want Kind) {
	fx.is.Helper()
	before := fx.fleet.Table()
	effects := fx.apply(c)
	fx.is.Equal(len(effects), 1)
	r, ok := effects[0].(Rejected)
	fx.is.True(ok)
	fx.is.Equal(r.Err().Kind(), want)
	fx.is.Equal(fx.fleet.Table(), before)
}

func (fx *fixture) propose(c logcmd.SetRules) fleet.Verdict {
	for _, e := range fx.apply(c) {
		if d, ok := e.(Decided); ok {
			return d.Verdict()
		}
	}
	return nil
}

func (fx *fixture) ownership(s table.Shard) table.Ownership {
	return fx.fleet.Table().Ownership(service, s)
}

func TestFirstOfConcurrentProposalsWins(t *testing.T) {
	fx := newFixture(t)
	fx.is.Equal(fx.propose(logcmd.NewSetRules(newRules(3, "mine", 4), "i", "f")), fleet.Accepted{})
	fx.is.Equal(fx.propose(logcmd.NewSetRules(newRules(3, "theirs", 4), "j", "g")), fleet.NewConflict("mine", fleet.NewOrigin("i", "f")))
	fx.is.Equal(fx.propose(logcmd.NewSetRules(newRules(3, "mine", 4), "i", "f")), fleet.Repeated{})
	fx.is.Equal(fx.propose(logcmd.NewSetRules(newRules(2, "two", 4), "i", "f")), fleet.NewOlder(3))
	fx.is.Equal(fx.fleet.Table().Rules().Digest(), "mine")
	fx.is.Equal(fx.fleet.Origin(), fleet.NewOrigin("i", "f"))
	audit := fx.fleet.Audit()
	fx.is.Equal(audit[len(audit)-3].Outcome(), "refused: the version was taken by i:f")
}

func TestShardCountIsFixedWhileShardsAreOwned(t *testing.T) {
	fx := newFixture(t)
	v := fx.propose(logcmd.NewSetRules(newRules(3, "x", 8), "i", "f"))
	_, invalid := v.(fleet.Invalid)
	fx.is.True(invalid)
	fx.is.Equal(fx.fleet.Table().Rules().Version(), uint64(2))
	fx.applies(logcmd.NewGrant(service, 1, 0, 7))
	fx.is.Equal(fx.propose(logcmd.NewSetRules(rules.New(3, "none"), "i", "f")), fleet.Accepted{}) // the service leaves the rules
	_, invalid = fx.propose(logcmd.NewSetRules(newRules(4, "y", 8), "i", "f")).(fleet.Invalid)
	fx.is.True(invalid) // and returns with another shard count
}

func TestCommandsWithStaleEpochAreRejected(t *testing.T) {
	fx := newFixture(t)
	fx.rejects(logcmd.NewGrant(service, 0, 1, 8), UnexpectedOwnership) // owned
	fx.rejects(logcmd.NewGrant(service, 1, 5, 8), StaleEpoch)
	fx.rejects(logcmd.NewGrant(service, 1, 0, 99), UnknownMember)
	fx.rejects(logcmd.NewMove(service, 0, 9, 8), StaleEpoch)
	fx.rejects(logcmd.NewMove(service, 0, 1, 7), UnexpectedOwnership) // to itself
	fx.rejects(logcmd.NewRelease(service, 0, 1), UnexpectedOwnership) // not moving
	fx.applies(logcmd.NewMove(service, 0, 1, 8))
	fx.rejects(logcmd.NewRelease(service, 0, 2), StaleEpoch)
	fx.applies(logcmd.NewRelease(service, 0, 1))
	fx.is.Equal(fx.ownership(0), table.NewOwned(8, 2))
	fx.rejects(logcmd.NewRelease(service, 0, 1), UnexpectedOwnership) // sent twice
}

func TestExpiredOwnerLeavesItsShardsVacant(t *testing.T) {
	fx := newFixture(t)
	fx.applies(logcmd.NewExpire(7, logcmd.LeaseExpired))
	fx.is.Equal(fx.ownership(0), table.NewVacant(1))
	fx.rejects(logcmd.NewExpire(7, logcmd.LeaseExpired), UnknownMember)
	fx.applies(logcmd.NewGrant(service, 0, 1, 8))
	fx.is.Equal(fx.ownership(0), table.NewOwned(8, 2))
}

// TestExpiredSuccessorVoidsTheMove checks that the shard stays with its owner under the next epoch,
// so that a release in flight is rejected.
func TestExpiredSuccessorVoidsTheMove(t *testing.T) {
	fx := newFixture(t)
	fx.applies(logcmd.NewMove(service, 0, 1, 8))
	fx.applies(logcmd.NewExpire(8, logcmd.LeaseExpired))
	fx.is.Equal(fx.ownership(0), table.NewOwned(7, 2))
	fx.rejects(logcmd.NewRelease(service, 0, 1), UnexpectedOwnership)
}

func TestLeavingSuccessorGetsNothing(t *testing.T) {
	fx := newFixture(t)
	fx.applies(logcmd.NewMove(service, 0, 1, 8))
	fx.applies(logcmd.NewSetPhase(8, table.Leaving{}))
	fx.applies(logcmd.NewRelease(service, 0, 1))
	fx.is.Equal(fx.ownership(0), table.NewVacant(1))
	fx.rejects(logcmd.NewGrant(service, 0, 1, 8), MemberLeaving)
	fx.rejects(logcmd.NewSetPhase(8, table.Serving{}), MemberLeaving) // a leaving member can't return
}

func TestOverrideIsAddedAndRemoved(t *testing.T) {
	fx := newFixture(t)
	key := ""
	for n := 0; table.HashShard(key, 4) != 0 || key == ""; n++ {
		key = fmt.Sprint("k", n)
	}
	fx.applies(logcmd.NewAddOverride(service, key))
	dedicated := fx.fleet.Table().ShardOf(service, key, 4)
	fx.is.Equal(dedicated, table.FirstOverride)
	fx.is.Equal(fx.ownership(dedicated), table.NewOwned(7, 1)) // at first with the owner of its range
	fx.rejects(logcmd.NewAddOverride(service, key), AlreadyPlaced)
	fx.applies(logcmd.NewMove(service, dedicated, 1, 8))
	fx.rejects(logcmd.NewRemoveOverride(service, key), DifferentOwners)
	fx.applies(logcmd.NewRelease(service, dedicated, 1))
	fx.rejects(logcmd.NewRemoveOverride(service, key), DifferentOwners)
	fx.applies(logcmd.NewMove(service, dedicated, 2, 7))
	fx.applies(logcmd.NewRelease(service, dedicated, 2))
	fx.applies(logcmd.NewRemoveOverride(service, key))
	fx.is.Equal(fx.fleet.Table().ShardOf(service, key, 4), table.Shard(0))
	fx.rejects(logcmd.NewRemoveOverride(service, key), NotPlaced)
	fx.applies(logcmd.NewAddOverride(service, key))
	fx.is.Equal(fx.fleet.Table().ShardOf(service, key, 4), table.FirstOverride+1) // shard numbers are not reused
}

// TestTargetThatLeftDoesNotJoinAgain guards against a daemon that joins with a target of which it has an old
// announcement only.
func TestTargetThatLeftDoesNotJoinAgain(t *testing.T) {
	fx := newFixture(t)
	started := func(i table.Incarnation, startTime uint64) logcmd.Command {
		return logcmd.NewJoin(table.NewMember(i, "i-9", "z", "a", service, table.Serving{}).WithTargetStartTime(startTime))
	}
	fx.applies(started(9, 50))
	fx.applies(logcmd.NewSetPhase(9, table.Leaving{}))
	fx.applies(logcmd.NewSetPhase(9, table.Leaving{}).WithTargetLeft(true)) // the daemon had begun to stop before
	fx.rejects(logcmd.NewSetPhase(9, table.Leaving{}).WithTargetLeft(true), MemberLeaving)
	fx.applies(logcmd.NewExpire(9, logcmd.Left))
	fx.rejects(started(10, 50), TargetHasLeft)
	fx.applies(started(11, 60))
}
