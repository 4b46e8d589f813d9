package topk_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"verbenabank/core/command/topk"
)

// TestFrequentKeysAreFound checks the promise of the algorithm: every key with more than 1/n
// of the requests is counted, and no count is too low or too high by more than 1/n.
func TestFrequentKeysAreFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 10).Draw(t, "counters")
		s := topk.New(n)
		s.Add("of the time before")
		s.Reset()
		keys := rapid.SliceOfN(rapid.IntRange(0, 30), 1, 500).Draw(t, "keys")
		sent := map[string]int{}
		for _, k := range keys {
			sent[fmt.Sprint(k)]++
			s.Add(fmt.Sprint(k))
		}
		found := map[string]int{}
		for _, c := range s.Top(n) {
			found[c.Key()] = int(c.Requests())
			if more := int(c.Requests()) - sent[c.Key()]; more < 0 || more > len(keys)/n {
				t.Fatalf("%s: %d counted, %d sent", c.Key(), c.Requests(), sent[c.Key()])
			}
		}
		for k, count := range sent {
			if count > len(keys)/n && found[k] == 0 {
				t.Fatalf("%s with %d of %d requests was not found", k, count, len(keys))
			}
		}
	})
}
