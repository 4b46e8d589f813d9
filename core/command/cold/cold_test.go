package cold_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/command/cold"
)

const start = 100 * clock.Second

// most returns the highest number of instants in any second.
func most(sent []clock.Millis) int {
	highest, first := 0, 0
	for i, at := range sent {
		for sent[first] <= at-clock.Second {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}

// TestColdTargetNeverGetsMoreThanTheBound sends bursts at random to a target that turns cold at random moments, tells
// so only in late heartbeats and in answers to questions, some of which are lost, while its daemon is restarted and
// requests take up to 100 ms on their way. What reaches the target while it is cold stays within the bound in each second.
func TestColdTargetNeverGetsMoreThanTheBound(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		limit := cold.NewBound(1.5, 8).Limit(13)
		l := cold.New(limit, 3000, start)
		var coldUntil, coldSince, heartbeat, question clock.Millis
		var received []clock.Millis
		asked, entered, served := clock.Millis(-1), 0, 0
		check := func(now clock.Millis) {
			if n := most(received); n > 27 {
				t.Fatalf("seed %d: %d requests in a second at a target that is cold since %d, at %d", seed, n, coldSince, now)
			}
			received = received[:0]
		}
		left := func(now clock.Millis) clock.Millis { return max(0, coldUntil-now) }
		for now := start; now < start+20*clock.Second; now++ {
			if now >= coldUntil {
				check(now)
				if random.IntN(4000) == 0 {
					coldSince, coldUntil = now, now+3000
				}
			}
			if random.IntN(5000) == 0 {
				l, asked, entered = cold.New(limit, 3000, now), -1, 0
			}
			if now >= heartbeat {
				l.Report(left(now-clock.Millis(random.IntN(190))), now)
				heartbeat = now + 870
				if random.IntN(10) == 0 {
					heartbeat += 4000
				}
			}
			if asked >= 0 && now >= question {
				if random.IntN(5) == 0 {
					l.Failed(now)
				} else {
					l.Answered(asked, left(now-1), now)
				}
				asked = -1
			}
			for range random.IntN(3) * random.IntN(2) * random.IntN(2) {
				if _, ok := l.Enter(now).(cold.Admitted); ok {
					entered++
				}
			}
			for ; entered > 0 && random.IntN(3) > 0; entered-- {
				l.Leave()
				if _, ok := l.Send(now).(cold.Admitted); ok {
					served++
					if now < coldUntil {
						received = append(received, now)
					}
				}
			}
			if l.Ask(now) {
				asked, question = now, now+clock.Millis(1+random.IntN(50))
			}
		}
		check(start + 20*clock.Second)
		if served < 500 {
			t.Fatalf("seed %d: only %d requests were served", seed, served)
		}
	}
}

// TestWarmTargetIsNotLimited sends 200 requests a second to a target that answers questions within 5 ms: as long as
// it says that it is warm, none is refused.
func TestWarmTargetIsNotLimited(t *testing.T) {
	is := is.New(t)
	l := cold.New(26, 3000, start)
	is.True(l.Ask(start + 5))
	l.Answered(start+5, 0, start+10)
	questions := 0
	for now := start + 30; now < start+10*clock.Second; now += 5 {
		if l.Ask(now) {
			l.Answered(now, 0, now+4)
			questions++
		}
		_, ok := l.Send(now).(cold.Admitted)
		is.True(ok)
	}
	is.True(questions < 200)
}

// TestRestartedDaemonAssumesThatItsTargetIsCold restarts a daemon, which doesn't know how many requests its predecessor
// has sent: it sends none in the first second unless the target says that it is warm.
func TestRestartedDaemonAssumesThatItsTargetIsCold(t *testing.T) {
	is := is.New(t)
	l := cold.New(26, 3000, start)
	u, ok := l.Send(start + 1).(cold.Unproven)
	is.True(ok)
	is.Equal(u.RetryAfter(), clock.Millis(1129))
	l.Report(1000, start+2)
	r, ok := l.Send(start + 3).(cold.Refused)
	is.True(ok)
	is.Equal(r.RetryAfter(), clock.Millis(1127))
	is.Equal(l.State(start+3).Left(), clock.Millis(999))
	_, ok = l.Send(start + 1151).(cold.Admitted)
	is.True(ok)
}

// TestLateHeartbeatProvesNothing has a heartbeat arrive after a silence, as after an outage of a zone, which says that
// the target is warm: it may be older than the outage, after which the target is cold.
func TestLateHeartbeatProvesNothing(t *testing.T) {
	is := is.New(t)
	l := cold.New(2, 3000, start)
	l.Replace()
	l.Report(0, start)
	l.Report(0, start+870)
	for range 2 {
		_, ok := l.Send(start + 5000).(cold.Admitted)
		is.True(ok)
	}
	l.Report(0, start+5001)
	l.Report(0, start+5002) // two that waited
	_, unproven := l.Send(start + 5100).(cold.Unproven)
	is.True(unproven)
	l.Report(0, start+5870)
	_, ok := l.Send(start + 5900).(cold.Admitted)
	is.True(ok)
}

// TestOddColdTimesAreBounded reports absurd cold times, which count as the longest that the rules allow.
func TestOddColdTimesAreBounded(t *testing.T) {
	is := is.New(t)
	l := cold.New(2, 3000, start)
	l.Report(1<<60, start)
	is.Equal(l.State(start).Left(), clock.Millis(3000))
	l.Report(-5, start+870)
	is.Equal(l.State(start+870).Left(), clock.Millis(0))
	is.Equal(cold.NewBound(1e300, 1e300).Limit(1e300), 1<<14-1)
	is.Equal(cold.NewBound(0, 0).Limit(0), 1)
}

// TestBurstIsFollowedByFewQuestions sends a burst to a warm target that answers within 1 ms. An answer says nothing about
// the requests just before its question, so that asking again at once would only fill the limit with questions.
func TestBurstIsFollowedByFewQuestions(t *testing.T) {
	is := is.New(t)
	l := cold.New(26, 3000, start)
	is.True(l.Ask(start))
	l.Answered(start, 0, start+1)
	now := start + 50
	admitted := func() bool {
		_, ok := l.Send(now).(cold.Admitted)
		return ok
	}
	for admitted() {
	}
	questions := 0
	for !admitted() {
		if l.Ask(now) {
			l.Answered(now, 0, now+1)
			questions++
		}
		now++
	}
	is.True(questions <= 3)
	is.True(now < start+100)
}
