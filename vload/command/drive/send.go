package drive

import (
	"context"
	"math/rand/v2"
	"time"

	"verbenabank/core/clock"
	"verbenabank/core/state/result"
	"verbenabank/vload/adapt/client"
	"verbenabank/vload/query/route"
	"verbenabank/vload/state/call"
	"verbenabank/vload/state/plan"
)

// unsent is the reason of a request for which too many others were in flight.
const unsent result.Reason = "unsent"

const maxAttempts = 3

// send starts each request at the instant at which it is due, however the
// earlier ones fare, and closes the calls after the last one ended.
func (d *Driver) send(ctx context.Context, requests []call.Request, start time.Time, from clock.Millis) {
	longest := time.Duration(0)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for n, r := range requests {
		timer.Reset(time.Until(start.Add(r.Due())))
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		due := start.Add(r.Due())
		longest = max(longest, time.Since(due))
		at := from + clock.Millis(r.Due().Milliseconds())
		select {
		case d.slots <- struct{}{}:
			d.senders.Go(func() {
				reply, address := d.ask(r, n, due)
				d.calls <- call.New(r, address, at, time.Since(due), reply.Outcome(), reply.BodyCheck())
				<-d.slots
			})
		default:
			d.calls <- call.New(r, "", at, 0, result.NewRefused(unsent, 0), call.Unchecked{})
		}
	}
	d.senders.Wait()
	close(d.calls)
	d.lags <- longest
}

// ask sends a request, and sends it again as far as the experiment says so. The
// second result is the address that was asked last.
func (d *Driver) ask(r call.Request, sequence int, due time.Time) (client.Reply, string) {
	addresses := d.servers[r.Service()]
	deadline := due.Add(d.experiment.Timeout().Duration())
	random := rand.New(rand.NewPCG(d.experiment.Seed(), uint64(sequence)))
	for attempt := 0; ; attempt++ {
		n := route.Pick(d.experiment.Routing(), r.Key(), len(addresses), sequence, attempt, random.Float64())
		reply := d.client.Send(r, addresses[n], deadline)
		if attempt+1 >= maxAttempts || !d.again(reply) {
			return reply, addresses[n]
		}
	}
}

// again reports whether a request is sent to another server after the reply.
func (d *Driver) again(reply client.Reply) bool {
	switch o := reply.Outcome().(type) {
	case result.Answered:
		return false
	case result.Refused:
		if d.secondEntry() && o.Reason() == result.Unreachable {
			return true
		}
	case result.Unknown:
	}
	switch d.experiment.Retry().(type) {
	case plan.RetryNone:
		return false
	case plan.RetryAll:
		return true
	}
	return false
}

// secondEntry reports whether callers try another daemon after a refused
// connection. Baselines have no daemons.
func (d *Driver) secondEntry() bool {
	switch d.experiment.Routing().(type) {
	case plan.Daemons:
		return d.experiment.ConnectFailover()
	case plan.Modulo, plan.Random, plan.RoundRobin:
		return false
	}
	return false
}
