package table

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

func TestSpansSplitAndJoin(t *testing.T) {
	is := is.New(t)
	a, b := NewOwned(1, 5), NewOwned(2, 7)
	x := Empty().With(1, NewSpanSet("s", NewSpan(0, 99, a)))
	x = x.With(2, NewSpanSet("s", NewSpan(10, 19, b)))
	is.Equal(x.Spans("s"), []Span{NewSpan(0, 9, a), NewSpan(10, 19, b), NewSpan(20, 99, a)})
	s, ok := x.SpanAt("s", 15)
	is.True(ok)
	is.Equal(s.Ownership(), Ownership(b))
	_, ok = x.SpanAt("s", 100)
	is.True(!ok)
	x = x.With(3, NewSpanSet("s", NewSpan(10, 19, a)))
	is.Equal(x.Spans("s"), []Span{NewSpan(0, 99, a)})
}

// TestSpansFollowAnArray changes random spans and compares with an array of keys.
func TestSpansFollowAnArray(t *testing.T) {
	const keys = 64
	r := rand.New(rand.NewPCG(3, 9))
	x, want := Empty(), [keys]Ownership{}
	for n := range 5000 {
		first := Key(r.IntN(keys))
		last := first + Key(r.IntN(keys-int(first)))
		h := NewOwned(Incarnation(1+r.IntN(3)), Epoch(1+r.IntN(2)))
		x = x.With(uint64(n+1), NewSpanSet("s", NewSpan(first, last, h)))
		for k := first; k <= last; k++ {
			want[k] = h
		}
		for k := range Key(keys) {
			s, ok := x.SpanAt("s", k)
			if ok != (want[k] != nil) || (ok && s.Ownership() != want[k]) {
				t.Fatalf("step %d key %d: %v, want %v", n, k, s, want[k])
			}
		}
		for i, s := range x.Spans("s") {
			if i > 0 && x.Spans("s")[i-1].last+1 == s.first && x.Spans("s")[i-1].holding == s.holding {
				t.Fatalf("step %d: neighbors are not joined: %v", n, x.Spans("s"))
			}
		}
	}
}
