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

// handle serves one request on a traffic goroutine.
func (t *Target) handle(c fiber.Ctx) error {
	o := order(c)
	sequence := admit.Sequence(t.sequences.Add(1))
	deadline, stopTimer := deadline(c)
	defer stopTimer()
	effects := make(chan admit.Effect, 2)
	t.tell(arrived{sequence: sequence, order: o, effects: effects})
	select {
	case e := <-effects:
		switch e := e.(type) {
		case admit.Run:
			return t.run(c, o, e, effects, deadline)
		case admit.Shed:
			return c.SendStatus(fiber.StatusServiceUnavailable)
		case admit.Stale:
			return refuseStale(c)
		case admit.Commit:
		}
	case <-deadline:
	case <-t.stopped:
	}
	t.tell(withdrawn{sequence: sequence})
	return c.SendStatus(fiber.StatusServiceUnavailable)
}

// run executes a request that holds a slot.
func (t *Target) run(c fiber.Ctx, o ledger.Request, e admit.Run, effects <-chan admit.Effect, deadline <-chan time.Time) error {
	sequence := uint64(e.Sequence())
	if err := t.ledger.Begin(sequence, o, e.At()); err != nil {
		t.tell(withdrawn{sequence: e.Sequence()})
		return err
	}
	text, whole := upload(c)
	if !whole || !t.serve(c, o, deadline) {
		t.tell(withdrawn{sequence: e.Sequence()})
		if err := t.ledger.Abort(sequence, t.clock.Now()); err != nil {
			return err
		}
		c.RequestCtx().SetConnectionClose()
		return c.SendStatus(fiber.StatusGatewayTimeout)
	}
	t.tell(finished{sequence: e.Sequence()})
	select {
	case end := <-effects:
		return t.answer(c, o, end, text)
	case <-t.stopped:
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
}

// serve takes the time of the request. It reports false if the caller went away
// or the deadline passed before.
func (t *Target) serve(c fiber.Ctx, o ledger.Request, deadline <-chan time.Time) bool {
	v := t.Status()
	age := t.clock.Now().Sub(v.Started())
	span := timing.ServiceTime(t.settings.Behavior(), o.Method(), age, v.Slowdown(), rand.Float64())
	timer := time.NewTimer(span)
	defer timer.Stop()
	gone, end := watch(c.RequestCtx().Conn())
	defer end()
	select {
	case <-timer.C:
		return true
	case <-gone:
	case <-deadline:
	case <-t.stopped:
	}
	return false
}

func (t *Target) answer(c fiber.Ctx, o ledger.Request, e admit.Effect, text []byte) error {
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
	want, _ := strconv.Atoi(c.Get(body.ResponseBytesHeader))
	c.Set(body.IDHeader, o.ID())
	c.Set(body.KeyHeader, o.Key())
	c.Set(body.ChecksumHeader, body.Checksum(text))
	c.Set(body.InstanceHeader, t.settings.Instance())
	return c.Send(body.Generate(o.ID(), min(want, bodyLimit)))
}

func refuseStale(c fiber.Ctx) error {
	c.Set("Verbena-Refused", "stale")
	return c.SendStatus(fiber.StatusPreconditionFailed)
}

// upload reads the whole body. It reports false if the body ended early.
func upload(c fiber.Ctx) ([]byte, bool) {
	stream := c.RequestCtx().RequestBodyStream()
	if stream == nil {
		return c.Request().Body(), true
	}
	text, err := io.ReadAll(stream)
	announced := c.Request().Header.ContentLength()
	return text, err == nil && (announced < 0 || announced == len(text))
}

func order(c fiber.Ctx) ledger.Request {
	shard, _ := strconv.ParseUint(c.Get("Verbena-Shard"), 10, 32)
	epoch, _ := strconv.ParseUint(c.Get("Verbena-Epoch"), 10, 64)
	lease, _ := strconv.ParseInt(c.Get("Verbena-Lease-Until"), 10, 64)
	id, key := string([]byte(c.Get(body.IDHeader))), string([]byte(c.Get(body.KeyHeader)))
	return ledger.NewRequest(id, key, string([]byte(c.Method())), uint32(shard), epoch, clock.Millis(lease)).
		WithDaemonRequestID(string([]byte(c.Get("Verbena-Request-Id"))))
}

// deadline returns a channel that fires when the time left to the request is
// over, and a function that frees its timer.
func deadline(c fiber.Ctx) (<-chan time.Time, func()) {
	left, err := strconv.ParseInt(c.Get("Verbena-Deadline-Ms"), 10, 64)
	if err != nil {
		return nil, func() {}
	}
	timer := time.NewTimer(clock.Millis(left).Duration())
	return timer.C, func() { timer.Stop() }
}
