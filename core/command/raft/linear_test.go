package raft

import (
	"math"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"verbenabank/core/clock"
)

// history records the operations of clients on a register, with their results. Nothing is recorded
// while operations is nil.
type history struct {
	operations map[uint64]*porcupine.Operation
}

// request is an operation of a client: write or read.
type request interface{ request() }

type (
	write uint64
	read  struct{}
)

func (write) request() {}
func (read) request()  {}

func (h *history) called(token uint64, r request, at int) {
	if h.operations != nil {
		h.operations[token] = &porcupine.Operation{Input: r, Call: int64(at), Return: math.MaxInt64}
	}
}

func (h *history) wrote(token uint64, at int) {
	if o, ok := h.operations[token]; ok {
		o.Return = int64(at)
	}
}

func (h *history) read(token, value uint64, at int) {
	if o, ok := h.operations[token]; ok {
		o.Return, o.Output = int64(at), value
	}
}

// finished returns all operations except reads that were never answered.
func (h *history) finished() []porcupine.Operation {
	var list []porcupine.Operation
	for _, o := range h.operations {
		if _, ok := o.Input.(read); !ok || o.Output != nil {
			list = append(list, *o)
		}
	}
	return list
}

var register = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		switch r := input.(type) {
		case write:
			return true, uint64(r)
		case read:
			return output == state, state
		}
		return false, state
	},
}

// checkHistory simulates a cluster under faults and checks that the history of its clients is
// linearizable.
func checkHistory(t *rapid.T, b disabledGuard) porcupine.CheckResult {
	cl := newCluster(uint64(draw(t, 1<<62, "seed")), 3)
	defer count(cl)
	cl.disabled, cl.check.onlyInvariant = b, "none"
	cl.check.history.operations = map[uint64]*porcupine.Operation{}
	for range 20 {
		for range 4 {
			cl.traffic()
			_ = cl.run(30)
		}
		f := timed{span: clock.Millis(200 + draw(t, 250, "span")), fault: drawLeaderFault(t, cl)}
		if _, ok := f.fault.(wipe); !ok {
			cl.injectFault(f)
		}
	}
	return porcupine.CheckOperationsTimeout(register, cl.check.history.finished(), 2*time.Second)
}

// drawLeaderFault draws a fault that in most cases hits the leader.
func drawLeaderFault(t *rapid.T, cl *cluster) fault {
	l := cl.leader()
	if l == nil {
		return drawFault(t, len(cl.hosts))
	}
	l.setClockRate(700) // so that it steps down later
	switch draw(t, 5, "leader fault") {
	case 0:
		return cut{l.number}
	case 1:
		return freeze{l.number}
	case 2, 3:
		return delayedPartition{l.number, 50 + draw(t, 300, "lag")}
	}
	return drawFault(t, len(cl.hosts))
}

func TestConfirmedReadsAreLinearizable(t *testing.T) {
	results := map[porcupine.CheckResult]int{}
	runs := rapid.Custom(func(t *rapid.T) porcupine.CheckResult { return checkHistory(t, disabledGuard{}) })
	for seed := range 100 {
		results[runs.Example(seed)]++
	}
	t.Logf("%v", results)
	if results[porcupine.Illegal] > 0 || results[porcupine.Ok] < 90 {
		t.Fatalf("%v", results)
	}
}

func TestStaleReadsAreDetected(t *testing.T) {
	runs := rapid.Custom(func(t *rapid.T) porcupine.CheckResult { return checkHistory(t, disabledGuard{ackOldTerm: true}) })
	for seed := range 2000 {
		if runs.Example(seed) == porcupine.Illegal {
			t.Logf("run %d", seed)
			return
		}
	}
	t.Fatal("not found in 2000 runs")
}
