package raft

import (
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"verbenabank/core/state/peer"
)

// TestDisabledGuardsAreDetected disables one guard at a time and requires the check of the invariant
// that depends on it to fail. It guards against a checker that accepts everything.
func TestDisabledGuardsAreDetected(t *testing.T) {
	for _, c := range []struct {
		guard     string
		broken    disabledGuard
		invariant string
		from      int // the first run to try, shortly before one that detects it
	}{
		{"durable vote", disabledGuard{forgetVote: true}, "one vote", 250},
		{"durable vote", disabledGuard{forgetVote: true}, "election safety", 600},
		{"sync before confirmation", disabledGuard{ackBeforeSync: true}, "committed entries", 150},
		{"sync before confirmation", disabledGuard{ackBeforeSync: true}, "same state", 150},
		{"new ID after disk loss", disabledGuard{keepIdentity: true}, "committed entries", 1},
		{"up-to-date candidate", disabledGuard{forgeLog: true}, "committed entries", 1},
		{"previous entry matches", disabledGuard{forgeMatch: true}, "log matching", 1},
		{"round after request", disabledGuard{forgeRound: true}, "confirmed", 280},
		{"reply in own term", disabledGuard{ackOldTerm: true}, "confirmed", 1255},
		{"hello messages", disabledGuard{dropHello: true}, "liveness", 1},
		{"disk losses within tolerance", disabledGuard{exceedDiskLoss: true}, "one group", 1},
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

func TestCorruptLogStopsNode(t *testing.T) {
	gap := []peer.Entry{peer.NewEntry(1, 1, peer.Noop{}), peer.NewEntry(3, 1, peer.Noop{})}
	for _, s := range []peer.StoredState{
		peer.NewStoredState(peer.NewHardState(1, 1, 1, 0, 0), peer.Snapshot{}, gap),
		peer.NewStoredState(peer.NewHardState(1, 1, 1, 0, 9), peer.Snapshot{}, nil),
	} {
		n := New(WithStored(s))
		effects := n.Step(0, Started{})
		v, ok := effects[0].(InvariantViolated)
		var e *Error
		if !ok || !errors.As(v.Err(), &e) || e.Kind() != StorageCorrupt {
			t.Fatalf("%v", effects)
		}
		if len(n.Step(1, Ticked{})) != 0 {
			t.Fatal("node returned effects after it had stopped")
		}
	}
}
