// Package sched computes the schedule of requests of an experiment in advance. The
// load is open-loop: response times have no influence on when requests are due.
package sched

import (
	"fmt"
	"math/rand/v2"
	"time"

	"verbenabank/core/clock"
	"verbenabank/vload/query/keys"
	"verbenabank/vload/state/call"
	"verbenabank/vload/state/plan"
)

// Requests returns the requests of the experiment in the order in which they are
// due. The arrivals are a Poisson process, and the schedule is deterministic for a
// given experiment and seed. It is empty without a mix or a rate.
func Requests(e plan.Experiment) []call.Request {
	if len(e.Mix()) == 0 || e.Rate() <= 0 {
		return nil
	}
	random := rand.New(rand.NewPCG(e.Seed(), e.Seed()))
	sampler := keys.New(e.Keys())
	var list []call.Request
	due := time.Duration(0)
	for {
		due += time.Duration(random.ExpFloat64() / e.Rate() * float64(time.Second))
		if due >= e.Duration().Duration() {
			return list
		}
		kind := pickKind(e.Mix(), random.Float64())
		key := sampler.Key(clock.Millis(due.Milliseconds()), random.Float64(), random.Float64())
		id := fmt.Sprintf("%d-%d", e.Seed(), len(list)+1)
		list = append(list, call.NewRequest(id, kind.Service(), key, kind.Method(), kind.UploadBytes(), kind.AnswerBytes(), due))
	}
}

// pickKind selects a kind of request by weight, with a uniform draw in [0, 1).
func pickKind(mix []plan.RequestKind, draw float64) plan.RequestKind {
	total := 0.0
	for _, k := range mix {
		total += k.Weight()
	}
	remaining := draw * total
	for _, k := range mix {
		remaining -= k.Weight()
		if remaining < 0 {
			return k
		}
	}
	return mix[len(mix)-1]
}
