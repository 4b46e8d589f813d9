// Package sched plans the requests of an experiment before any is sent, so that
// answers have no influence on when requests are due.
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
// due. Gaps between them are exponentially distributed. The same experiment
// yields the same requests.
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
		s := share(e.Mix(), random.Float64())
		key := sampler.Key(clock.Millis(due.Milliseconds()), random.Float64(), random.Float64())
		id := fmt.Sprintf("%d-%d", e.Seed(), len(list)+1)
		list = append(list, call.NewRequest(id, s.Service(), key, s.Method(), s.UploadBytes(), s.AnswerBytes(), due))
	}
}

// share returns the kind of request at a uniform draw in [0, 1).
func share(mix []plan.RequestKind, draw float64) plan.RequestKind {
	total := 0.0
	for _, s := range mix {
		total += s.Weight()
	}
	left := draw * total
	for _, s := range mix {
		left -= s.Weight()
		if left < 0 {
			return s
		}
	}
	return mix[len(mix)-1]
}
