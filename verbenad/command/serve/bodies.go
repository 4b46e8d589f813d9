package serve

import (
	"io"
	"time"

	"github.com/gofiber/fiber/v3"

	"verbenabank/verbenad/command/meter"
)

// smallBodyBytes is the size of the largest body of a request to the admin server that is received at once. Larger ones are
// received and handled one at a time, since a document costs many times its size when it is decoded.
const smallBodyBytes = 32 << 10

// bodies receives the bodies of requests to the admin server. It is safe for concurrent use.
type bodies struct {
	turn  chan struct{} // semaphore for large bodies
	meter *meter.Meter
}

func newBodies() *bodies { return &bodies{turn: make(chan struct{}, 1), meter: meter.ForPart("admin")} }

// receive is the middleware that receives the body of a request before its handler runs. A request whose body is not
// received has not run.
func (b *bodies) receive(c fiber.Ctx) error {
	r := c.Request()
	length := r.Header.ContentLength()
	if length > maxAdminBodyBytes {
		return b.refuse(c, fiber.StatusRequestEntityTooLarge)
	}
	if length < 0 || length > smallBodyBytes {
		if !b.awaitTurn() {
			return b.refuse(c, fiber.StatusServiceUnavailable)
		}
		defer func() { <-b.turn }()
		_ = c.RequestCtx().Conn().SetReadDeadline(time.Now().Add(readTimeout))
	}
	stream := r.BodyStream()
	if stream == nil {
		return c.Next()
	}
	content, err := io.ReadAll(io.LimitReader(stream, maxAdminBodyBytes+1))
	switch {
	case err != nil:
		return b.refuse(c, fiber.StatusRequestTimeout)
	case len(content) > maxAdminBodyBytes:
		return b.refuse(c, fiber.StatusRequestEntityTooLarge)
	}
	r.SetBodyRaw(content)
	return c.Next()
}

// turnTimeout bounds how long a large body waits until others are handled.
const turnTimeout = 2 * time.Second

// awaitTurn waits until no other large body is handled. It reports false after turnTimeout.
func (b *bodies) awaitTurn() bool {
	t := time.NewTimer(turnTimeout)
	defer t.Stop()
	select {
	case b.turn <- struct{}{}:
		return true
	case <-t.C:
		return false
	}
}

// refuse responds to a request without handling it, and closes the connection, since the body is not read.
func (b *bodies) refuse(c fiber.Ctx, status int) error {
	b.meter.Add("bodies_refused", 1)
	c.RequestCtx().SetConnectionClose()
	return c.SendStatus(status)
}
