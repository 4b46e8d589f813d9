package breaker

import (
	"strconv"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
)

var popular = NewKey("s", "54204", 7)

// ask checks a request for the key, and if it is admitted records that it ended so at once.
func ask(b *Breaker, k Key, o Outcome, now clock.Millis) bool {
	a, ok := b.Check(k, now).(Admitted)
	if ok {
		b.Record(k, a, o, now)
	}
	return ok
}

// TestRefusedKeyIsProbedRarely asks for a key every 5 ms that is refused for 3 s.
func TestRefusedKeyIsProbedRarely(t *testing.T) {
	is := is.New(t)
	b, asked := New(), 0
	for now := clock.Millis(0); now < 3000; now += 5 {
		if ask(b, popular, Refused{}, now) {
			asked++
		}
	}
	is.True(asked <= 10)
	is.True(ask(b, NewKey("s", "54205", 7), Served{}, 3000)) // other keys of the owner are not held back
	is.True(ask(b, NewKey("s", "54204", 8), Served{}, 3000)) // nor the key at its next owner
}

func TestWaitingRequestsLearnThatTheKeyIsServed(t *testing.T) {
	is := is.New(t)
	b := New()
	is.True(ask(b, popular, Refused{}, 0))
	h, ok := b.Check(popular, 50).(HeldBack)
	is.True(ok)
	is.True(ask(b, popular, Unclear{}, 100)) // a probe whose answer is lost decides nothing
	is.True(!ask(b, popular, Served{}, 150))
	is.True(ask(b, popular, Served{}, 200))
	<-h.Closed()
	is.True(ask(b, popular, Served{}, 201))
}

// TestEarlierRequestsDoNotCloseTheBreaker ends a request that was sent before the owner gave the key up.
func TestEarlierRequestsDoNotCloseTheBreaker(t *testing.T) {
	is := is.New(t)
	b := New()
	early, ok := b.Check(popular, 0).(Admitted)
	is.True(ok)
	is.True(ask(b, popular, Refused{}, 10))
	b.Record(popular, early, Served{}, 20)
	is.True(!ask(b, popular, Refused{}, 30))
}

func TestOpenBreakersAreBounded(t *testing.T) {
	is := is.New(t)
	b := New()
	for n := range 3 * maxOpen {
		ask(b, NewKey("s", strconv.Itoa(n), 7), Refused{}, 0)
	}
	is.Equal(len(b.open), maxOpen)
	is.True(ask(b, popular, Refused{}, 5000))
	is.Equal(len(b.open), 1)
}
