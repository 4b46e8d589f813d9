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

// unsent is the reason of a request that was dropped by the load generator, since the limit of requests
// in flight was reached.
const unsent result.Reason = "unsent"

const maxAttempts = 3 // of one request, the first included

// send starts each request when it is due, without waiting for earlier ones, and closes the channel of
// calls after the last one has ended. It also measures the largest delay between the time at which a
// request was due and its start.
func (d *Driver) send(ctx context.Context, requests []call.Request, start time.Time, from clock.Millis) {
	maxSendDelay := time.Duration(0)
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
		maxSendDelay = max(maxSendDelay, time.Since(due))
		dueAt := from + clock.Millis(r.Due().Milliseconds())
		select {
		case d.inFlight <- struct{}{}:
			d.senders.Go(func() {
				reply, address := d.sendWithRetries(r, n, due)
				d.calls <- call.New(r, address, dueAt, time.Since(due), reply.Outcome(), reply.BodyCheck())
				<-d.inFlight
			})
		default:
			d.calls <- call.New(r, "", dueAt, 0, result.NewRefused(unsent, 0), call.Unchecked{})
		}
	}
	d.senders.Wait()
	close(d.calls)
	d.maxSendDelay <- maxSendDelay
}

// sendWithRetries sends a request, and retries it as the experiment allows, at most maxAttempts times in
// all. The second result is the address of the last attempt. All attempts share one deadline, counted
// from the time at which the request was due.
func (d *Driver) sendWithRetries(r call.Request, sequence int, due time.Time) (client.Reply, string) {
	addresses := d.addresses[r.Service()]
	deadline := due.Add(d.experiment.Timeout().Duration())
	random := rand.New(rand.NewPCG(d.experiment.Seed(), uint64(sequence)))
	for attempt := 0; ; attempt++ {
		n := route.Pick(d.experiment.Routing(), r.Key(), len(addresses), sequence, attempt, random.Float64())
		reply := d.client.Send(r, addresses[n], deadline)
		if attempt+1 >= maxAttempts || !d.shouldRetry(reply) {
			return reply, addresses[n]
		}
	}
}

// shouldRetry reports whether a request is retried at another server after the reply.
func (d *Driver) shouldRetry(reply client.Reply) bool {
	switch o := reply.Outcome().(type) {
	case result.Answered:
		return false
	case result.Refused:
		if d.failsOver() && o.Reason() == result.Unreachable {
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

// failsOver reports whether callers try another daemon when the connection to the first is refused.
// Baselines have no daemons.
func (d *Driver) failsOver() bool {
	switch d.experiment.Routing().(type) {
	case plan.Daemons:
		return d.experiment.ConnectFailover()
	case plan.Modulo, plan.Random, plan.RoundRobin:
		return false
	}
	return false
}
