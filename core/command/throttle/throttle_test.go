package throttle

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/state/result"
)

var popular = NewKey("s", "54204", 7, 1)

// play sends a request every interval from one instant to another to an owner that accepts one every
// pause, and returns how many it was asked for and accepted, and how many were refused without it.
func play(t *Throttle, k Key, from, to, interval, pause clock.Millis) (asked, accepted, refused int) {
	random := rand.New(rand.NewPCG(1, 2))
	free := from
	for now := from; now < to; now += interval {
		if _, ok := t.Check(k, now, random.Float64()).(Refused); ok {
			refused++
			continue
		}
		asked++
		if now < free {
			t.Refused(k, result.NewRefused(result.Overloaded, 300), now)
			continue
		}
		free = now + pause
		accepted++
		t.Accepted(k)
	}
	return asked, accepted, refused
}

// TestOwnerOfAPopularKeyIsAskedLittleMoreThanItAccepts sends 100 requests a second to an owner that accepts 5.
func TestOwnerOfAPopularKeyIsAskedLittleMoreThanItAccepts(t *testing.T) {
	is := is.New(t)
	asked, accepted, refused := play(New(), popular, 0, 10_000, 10, 200)
	t.Logf("%d asked, %d accepted, %d refused", asked, accepted, refused)
	is.True(asked < 200) // of 1000
	is.True(accepted >= 35)
	is.Equal(asked+refused, 1000)
}

func TestKeysOfUsualLoadAreNotThrottled(t *testing.T) {
	is := is.New(t)
	r := New()
	_, _, refused := play(r, popular, 0, 10_000, 250, 400) // half are refused by the owner, 4 a second
	is.Equal(refused, 0)
	asked, accepted, _ := play(r, NewKey("s", "1", 7, 1), 0, 10_000, 10, 10)
	is.Equal(asked, accepted)
}

// TestThrottleEndsWithTheOverload lets the owner accept everything after 5 s.
func TestThrottleEndsWithTheOverload(t *testing.T) {
	is := is.New(t)
	r := New()
	_, _, refused := play(r, popular, 0, 5000, 10, 200)
	is.True(refused > 300)
	play(r, popular, 5000, 8000, 10, 0)
	_, _, refused = play(r, popular, 8000, 9000, 10, 0)
	is.Equal(refused, 0)
}

func TestRefusalIsThatOfTheOwner(t *testing.T) {
	is := is.New(t)
	r := New()
	load := result.NewTargetLoad(9, 31, 159)
	for range 10 {
		r.Refused(popular, result.NewRefused(result.Shed, 700).WithTargetLoad(load).WithSent(), 0)
		r.Check(popular, 0, 0.99)
	}
	o, ok := r.Check(popular, 1, 0).(Refused)
	is.True(ok)
	is.Equal(o.Outcome(), result.NewRefused(result.Shed, 700).WithTargetLoad(load)) // it was not sent
	_, ok = r.Check(NewKey("s", "54204", 8, 1), 1, 0).(Admitted)                    // the next owner starts anew
	is.True(ok)
	_, ok = r.Check(NewKey("s", "54204", 7, 0), 1, 0).(Admitted) // more urgent requests have counts of their own
	is.True(ok)
}

func TestCountedKeysAreBounded(t *testing.T) {
	is := is.New(t)
	r := New()
	for n := range 3 * maxKeys {
		r.Refused(NewKey("s", strconv.Itoa(n), 7, 1), result.NewRefused(result.Overloaded, 0), 0)
	}
	is.Equal(len(r.keys), maxKeys)
	r.Refused(popular, result.NewRefused(result.Overloaded, 0), 5000)
	is.Equal(len(r.keys), 1)
}
