package attach

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
)

func newPlan(fleet int) *Plan {
	random := rand.New(rand.NewPCG(1, 1))
	return New(WithFleetSize(func() int { return fleet }),
		WithRandom(func(limit clock.Millis) clock.Millis { return clock.Millis(random.Int64N(int64(limit))) }))
}

// TestAttemptsToAttachDoNotGrowWithTheFleet guards against daemons that keep the replicas from electing a leader:
// hundreds of daemons that each open a connection every 80 ms take more processor time than small replicas have.
func TestAttemptsToAttachDoNotGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{12, 68, 281} {
		p := newPlan(size)
		for range maxDoublings {
			p.End("a", Unanswered{})
		}
		total := clock.Millis(0)
		const attempts = 200
		for range attempts {
			total += p.End("a", Unanswered{})
		}
		perSecond := float64(size) / (total / attempts).Duration().Seconds()
		is.True(perSecond <= 440)
	}
	is.True(newPlan(12).limit() == 80) // small fleets find a new leader as soon as before
	is.True(newPlan(0).limit() > newPlan(68).limit())
	is.True(newPlan(7200).limit() == 800)
}

// TestRedirectsAreFollowedAtOnce guards against daemons that look for the leader in turn although a replica named it,
// and against attempts without a delay at a replica that names itself.
func TestRedirectsAreFollowedAtOnce(t *testing.T) {
	is := is.New(t)
	p, replicas := newPlan(12), []string{"a", "b", "c"}
	is.Equal(p.Next(replicas), "a")
	is.Equal(p.End("a", NewRedirected("c")), clock.Millis(0))
	is.Equal(p.Next(replicas), "c")
	is.True(p.End("c", NewRedirected("c")) > 0)
	is.Equal(p.Next(replicas), "b")
	is.Equal(p.Tally().Attempts(), 3)
	is.Equal(p.Tally().Redirects(), 2)
	is.True(p.End("b", NewServed("")) > 0)
	is.Equal(p.Tally().Attempts(), 0)
}

// TestSilentReplicasDelayNoAttempt guards against a search in a small fleet that stands still for seconds, since the
// attempts at replicas that are cut off are all still open.
func TestSilentReplicasDelayNoAttempt(t *testing.T) {
	is := is.New(t)
	p, now, ends := newPlan(12), clock.Millis(0), []clock.Millis{}
	for range 100 {
		ends = slices.DeleteFunc(ends, func(end clock.Millis) bool { return end <= now })
		is.True(len(ends) < MaxOpen)
		ends = append(ends, now+GiveUpAfter)
		now += OverdueAfter + p.Overdue()
	}
}
