package raft

import (
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"verbenabank/core/state/peer"
)

// TestBrokenGuardsAreFound removes one guard at a time: the checker of the
// invariant that rests on it must find that.
func TestBrokenGuardsAreFound(t *testing.T) {
	for _, c := range []struct {
		guard     string
		broken    breakage
		invariant string
		from      int // the first run, near one that finds it
	}{
		{"durable vote", breakage{forgetVote: true}, "one vote", 250},
		{"durable vote", breakage{forgetVote: true}, "election safety", 600},
		{"sync before answer", breakage{ackBeforeSync: true}, "committed entries", 150},
		{"sync before answer", breakage{ackBeforeSync: true}, "same state", 150},
		{"new identity after loss", breakage{emptyMemory: true}, "committed entries", 1},
		{"up-to-date candidate", breakage{forgeLog: true}, "committed entries", 1},
		{"previous entry equal", breakage{forgeMatch: true}, "log matching", 1},
		{"round after question", breakage{forgeRound: true}, "confirmed", 280},
		{"answer in own term", breakage{oldTerm: true}, "confirmed", 1255},
		{"greeting", breakage{dropHello: true}, "liveness", 1},
		{"losses one at a time", breakage{wipeFreely: true}, "one group", 1},
	} {
		t.Run(c.guard+" "+c.invariant, func(t *testing.T) {
			runs := rapid.Custom(func(t *rapid.T) error {
				err := play(t, c.broken, c.invariant, 3)
				if err == nil || !strings.Contains(err.Error(), c.invariant) {
					return nil
				}
				return err
			})
			for seed := c.from; seed < c.from+2000; seed++ {
				if err := runs.Example(seed); err != nil {
					t.Logf("run %d: %v", seed, err)
					return
				}
			}
			t.Fatal("not found in 2000 runs")
		})
	}
}

func TestBrokenStorageStopsTheNode(t *testing.T) {
	gap := []peer.Entry{peer.NewEntry(1, 1, peer.Noop{}), peer.NewEntry(3, 1, peer.Noop{})}
	for _, s := range []peer.StoredState{
		peer.NewStoredState(peer.NewHardState(1, 1, 1, 0, 0), peer.Snapshot{}, gap),
		peer.NewStoredState(peer.NewHardState(1, 1, 1, 0, 9), peer.Snapshot{}, nil),
	} {
		n := New(WithStored(s))
		effects := n.Step(0, Started{})
		v, ok := effects[0].(InvariantViolated)
		var e *Error
		if !ok || !errors.As(v.Err(), &e) || e.Kind() != StorageBroken {
			t.Fatalf("%v", effects)
		}
		if len(n.Step(1, Ticked{})) != 0 {
			t.Fatal("a stopped node acts")
		}
	}
}
