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

func ruled(version uint64, digest string, shards int) rules.Rules {
	k := rules.WithKind(rules.NewKeyed(rules.NewPathSegment(2), shards))
	return rules.New(version, digest, rules.NewService(service, k))
}

func joined(i table.Incarnation) logcmd.Command {
	return logcmd.NewJoin(table.NewMember(i, fmt.Sprint("i-", i), "z", "a", service, table.Serving{}))
}

// bench applies commands one after the other.
type bench struct {
	is    *is.I
	fleet *fleet.State
	index uint64
}

// newBench has rules of version 2 with 4 shards, the members 7 and 8, and shard 0
// owned by 7 at epoch 1.
func newBench(t *testing.T) *bench {
	b := &bench{is: is.New(t), fleet: fleet.New()}
	b.accept(logcmd.NewSetRules(ruled(2, "two", 4), "i", "f"))
	b.done(joined(7))
	b.done(joined(8))
	b.done(logcmd.NewGrant(service, 0, 0, 7))
	return b
}

func (b *bench) apply(c logcmd.Command) []Effect {
	b.index++
	next, effects := Apply(b.fleet, b.index, 0, c)
	b.fleet = next
	b.is.Equal(next.Index(), b.index)
	return effects
}

func (b *bench) done(c logcmd.Command) {
	b.is.Helper()
	for _, e := range b.apply(c) {
		if r, ok := e.(Rejected); ok {
			b.is.NoErr(r.Err())
		}
	}
}

// refused wants a rejection that leaves the table as it is.
func (b *bench) refused(c logcmd.Command, want Kind) {
	b.is.Helper()
	before := b.fleet.Table()
	effects := b.apply(c)
	b.is.Equal(len(effects), 1)
	r, ok := effects[0].(Rejected)
	b.is.True(ok)
	b.is.Equal(r.Err().Kind(), want)
	b.is.Equal(b.fleet.Table(), before)
}

func (b *bench) accept(c logcmd.SetRules) fleet.Verdict {
	for _, e := range b.apply(c) {
		if d, ok := e.(Decided); ok {
			return d.Verdict()
		}
	}
	return nil
}

func (b *bench) holding(s table.Shard) table.Ownership { return b.fleet.Table().Ownership(service, s) }

func TestOneRacerWins(t *testing.T) {
	b := newBench(t)
	b.is.Equal(b.accept(logcmd.NewSetRules(ruled(3, "mine", 4), "i", "f")), fleet.Accepted{})
	b.is.Equal(b.accept(logcmd.NewSetRules(ruled(3, "theirs", 4), "j", "g")), fleet.NewConflict("mine", fleet.NewOrigin("i", "f")))
	b.is.Equal(b.accept(logcmd.NewSetRules(ruled(3, "mine", 4), "i", "f")), fleet.Repeated{})
	b.is.Equal(b.accept(logcmd.NewSetRules(ruled(2, "two", 4), "i", "f")), fleet.NewOlder(3))
	b.is.Equal(b.fleet.Table().Rules().Digest(), "mine")
	b.is.Equal(b.fleet.Origin(), fleet.NewOrigin("i", "f"))
	trail := b.fleet.Audit()
	b.is.Equal(trail[len(trail)-3].Outcome(), "refused: the version was taken by i:f")
}

func TestShardsWithOwnersAreNotDividedAnew(t *testing.T) {
	b := newBench(t)
	v := b.accept(logcmd.NewSetRules(ruled(3, "x", 8), "i", "f"))
	_, invalid := v.(fleet.Invalid)
	b.is.True(invalid)
	b.is.Equal(b.fleet.Table().Rules().Version(), uint64(2))
	b.done(logcmd.NewGrant(service, 1, 0, 7))
	b.is.Equal(b.accept(logcmd.NewSetRules(rules.New(3, "none"), "i", "f")), fleet.Accepted{}) // the service leaves the rules
	_, invalid = b.accept(logcmd.NewSetRules(ruled(4, "y", 8), "i", "f")).(fleet.Invalid)
	b.is.True(invalid) // and comes back with another division
}

func TestGrantsAndMovesAreComparedWithTheEpoch(t *testing.T) {
	b := newBench(t)
	b.refused(logcmd.NewGrant(service, 0, 1, 8), WrongHolding) // owned
	b.refused(logcmd.NewGrant(service, 1, 5, 8), StaleEpoch)
	b.refused(logcmd.NewGrant(service, 1, 0, 99), UnknownMember)
	b.refused(logcmd.NewMove(service, 0, 9, 8), StaleEpoch)
	b.refused(logcmd.NewMove(service, 0, 1, 7), WrongHolding) // to itself
	b.refused(logcmd.NewRelease(service, 0, 1), WrongHolding) // not moving
	b.done(logcmd.NewMove(service, 0, 1, 8))
	b.refused(logcmd.NewRelease(service, 0, 2), StaleEpoch)
	b.done(logcmd.NewRelease(service, 0, 1))
	b.is.Equal(b.holding(0), table.NewOwned(8, 2))
	b.refused(logcmd.NewRelease(service, 0, 1), WrongHolding) // sent twice
}

func TestExpiredOwnerLeavesItsShardsVacant(t *testing.T) {
	b := newBench(t)
	b.done(logcmd.NewExpire(7, logcmd.LeaseExpired))
	b.is.Equal(b.holding(0), table.NewVacant(1))
	b.refused(logcmd.NewExpire(7, logcmd.LeaseExpired), UnknownMember)
	b.done(logcmd.NewGrant(service, 0, 1, 8))
	b.is.Equal(b.holding(0), table.NewOwned(8, 2))
}

// TestExpiredSuccessorVoidsTheMove keeps the shard with its owner under the next
// epoch, so that the release under way means nothing.
func TestExpiredSuccessorVoidsTheMove(t *testing.T) {
	b := newBench(t)
	b.done(logcmd.NewMove(service, 0, 1, 8))
	b.done(logcmd.NewExpire(8, logcmd.LeaseExpired))
	b.is.Equal(b.holding(0), table.NewOwned(7, 2))
	b.refused(logcmd.NewRelease(service, 0, 1), WrongHolding)
}

func TestLeavingSuccessorGetsNothing(t *testing.T) {
	b := newBench(t)
	b.done(logcmd.NewMove(service, 0, 1, 8))
	b.done(logcmd.NewSetPhase(8, table.Leaving{}))
	b.done(logcmd.NewRelease(service, 0, 1))
	b.is.Equal(b.holding(0), table.NewVacant(1))
	b.refused(logcmd.NewGrant(service, 0, 1, 8), MemberLeaving)
	b.refused(logcmd.NewSetPhase(8, table.Serving{}), MemberLeaving) // leaving is for good
}

func TestKeysArePlacedAloneAndReturned(t *testing.T) {
	b := newBench(t)
	key := ""
	for n := 0; table.HashShard(key, 4) != 0 || key == ""; n++ {
		key = fmt.Sprint("k", n)
	}
	b.done(logcmd.NewAddOverride(service, key))
	alone := b.fleet.Table().ShardOf(service, key, 4)
	b.is.Equal(alone, table.FirstOverride)
	b.is.Equal(b.holding(alone), table.NewOwned(7, 1)) // first with the owner of its range
	b.refused(logcmd.NewAddOverride(service, key), IsPlaced)
	b.done(logcmd.NewMove(service, alone, 1, 8))
	b.refused(logcmd.NewRemoveOverride(service, key), Apart)
	b.done(logcmd.NewRelease(service, alone, 1))
	b.refused(logcmd.NewRemoveOverride(service, key), Apart)
	b.done(logcmd.NewMove(service, alone, 2, 7))
	b.done(logcmd.NewRelease(service, alone, 2))
	b.done(logcmd.NewRemoveOverride(service, key))
	b.is.Equal(b.fleet.Table().ShardOf(service, key, 4), table.Shard(0))
	b.refused(logcmd.NewRemoveOverride(service, key), NotPlaced)
	b.done(logcmd.NewAddOverride(service, key))
	b.is.Equal(b.fleet.Table().ShardOf(service, key, 4), table.FirstOverride+1) // numbers are not used again
}
