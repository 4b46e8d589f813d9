package target

import (
	"io"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"

	"verbenabank/core/clock"
	"verbenabank/vload/command/admit"
	"verbenabank/vload/query/body"
	"verbenabank/vload/query/timing"
	"verbenabank/vload/state/ledger"
)

// handleRequest serves one request on a traffic goroutine: it waits for admission, runs the request
// and writes the response. It responds with 503 if the request is shed or its deadline passes while it
// waits, and with 412 if its epoch or lease is stale.
func (t *Target) handleRequest(c fiber.Ctx) error {
	r := parseRequest(c)
	sequence := admit.Sequence(t.lastSequence.Add(1))
	deadline, stopTimer := deadlineTimer(c)
	defer stopTimer()
	effects := make(chan admit.Effect, 2)
	t.sendEvent(requestArrived{sequence: sequence, request: r, effects: effects})
	select {
	case e := <-effects:
		switch e := e.(type) {
		case admit.Run:
			return t.run(c, r, e, effects, deadline)
		case admit.Shed:
			return c.SendStatus(fiber.StatusServiceUnavailable)
		case admit.Stale:
			return refuseStale(c)
		case admit.Commit:
		}
	case <-deadline:
	case <-t.stopped:
	}
	t.sendEvent(requestCancelled{sequence: sequence})
	return c.SendStatus(fiber.StatusServiceUnavailable)
}

// run executes a request that holds a slot, and records its begin and end in the ledger. The request
// is aborted, and the connection closed, if its body is truncated, the client disconnects or the
// deadline passes.
func (t *Target) run(c fiber.Ctx, r ledger.Request, e admit.Run, effects <-chan admit.Effect, deadline <-chan time.Time) error {
	sequence := uint64(e.Sequence())
	if err := t.ledger.Begin(sequence, r, e.At()); err != nil {
		t.sendEvent(requestCancelled{sequence: e.Sequence()})
		return err
	}
	payload, complete := readBody(c)
	if !complete || !t.simulateWork(c, r, deadline) {
		t.sendEvent(requestCancelled{sequence: e.Sequence()})
		if err := t.ledger.Abort(sequence, t.clock.Now()); err != nil {
			return err
		}
		c.RequestCtx().SetConnectionClose()
		return c.SendStatus(fiber.StatusGatewayTimeout)
	}
	t.sendEvent(requestFinished{sequence: e.Sequence()})
	select {
	case end := <-effects:
		return t.respond(c, r, end, payload)
	case <-t.stopped:
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
}

// simulateWork waits for the service time of the request. It reports false if the client disconnects,
// the deadline passes or the target stops first.
func (t *Target) simulateWork(c fiber.Ctx, r ledger.Request, deadline <-chan time.Time) bool {
	status := t.Status()
	age := t.clock.Now().Sub(status.Started())
	serviceTime := timing.ServiceTime(t.settings.Behavior(), r.Method(), age, status.Slowdown(), rand.Float64())
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	disconnected, stopWatch := watchClose(c.RequestCtx().Conn())
	defer stopWatch()
	select {
	case <-timer.C:
		return true
	case <-disconnected:
	case <-deadline:
	case <-t.stopped:
	}
	return false
}

// respond records the end of the request in the ledger and writes the response: a body of the length
// that the request asks for, or 412 if the request went stale while it ran.
func (t *Target) respond(c fiber.Ctx, r ledger.Request, e admit.Effect, payload []byte) error {
	switch e := e.(type) {
	case admit.Commit:
		if err := t.ledger.Commit(uint64(e.Sequence()), e.At()); err != nil {
			return err
		}
	case admit.Stale:
		if err := t.ledger.Abort(uint64(e.Sequence()), t.clock.Now()); err != nil {
			return err
		}
		return refuseStale(c)
	case admit.Run, admit.Shed:
	}
	length, _ := strconv.Atoi(c.Get(body.ResponseBytesHeader))
	c.Set(body.IDHeader, r.ID())
	c.Set(daemonRequestIDHeader, r.DaemonRequestID())
	c.Set(body.KeyHeader, r.Key())
	c.Set(body.ChecksumHeader, body.Checksum(payload))
	c.Set(body.InstanceHeader, t.settings.Instance())
	return c.Send(body.Generate(r.ID(), min(length, bodyLimit)))
}

func refuseStale(c fiber.Ctx) error {
	c.Set("Verbena-Refused", "stale")
	return c.SendStatus(fiber.StatusPreconditionFailed)
}

// readBody reads the whole request body. It reports false if reading fails or the body is shorter than
// its Content-Length.
func readBody(c fiber.Ctx) ([]byte, bool) {
	stream := c.RequestCtx().RequestBodyStream()
	if stream == nil {
		return c.Request().Body(), true
	}
	payload, err := io.ReadAll(stream)
	length := c.Request().Header.ContentLength()
	return payload, err == nil && (length < 0 || length == len(payload))
}

// daemonRequestIDHeader identifies the attempt. The response returns it, by which the daemon recognizes responses
// that belong to another request.
const daemonRequestIDHeader = "Verbena-Request-Id"

// parseRequest reads shard, epoch, lease and IDs from the headers. Numbers that are missing or not
// valid are 0. Strings are copied, since fiber reuses their memory after the handler returns.
func parseRequest(c fiber.Ctx) ledger.Request {
	shard, _ := strconv.ParseUint(c.Get("Verbena-Shard"), 10, 32)
	epoch, _ := strconv.ParseUint(c.Get("Verbena-Epoch"), 10, 64)
	lease, _ := strconv.ParseInt(c.Get("Verbena-Lease-Until"), 10, 64)
	id, key := string([]byte(c.Get(body.IDHeader))), string([]byte(c.Get(body.KeyHeader)))
	return ledger.NewRequest(id, key, string([]byte(c.Method())), uint32(shard), epoch, clock.Millis(lease)).
		WithDaemonRequestID(string([]byte(c.Get(daemonRequestIDHeader))))
}

// deadlineTimer returns a channel that fires when the time budget of the request is used up, and a
// function that stops the timer. Without a deadline header the channel is nil.
func deadlineTimer(c fiber.Ctx) (<-chan time.Time, func()) {
	remaining, err := strconv.ParseInt(c.Get("Verbena-Deadline-Ms"), 10, 64)
	if err != nil {
		return nil, func() {}
	}
	timer := time.NewTimer(clock.Millis(remaining).Duration())
	return timer.C, func() { timer.Stop() }
}
