package serve

import (
	"errors"
	"io"
	"os"
	"time"

	"github.com/gofiber/fiber/v3"

	"verbenabank/verbenad/command/meter"
)

const (
	// smallBodyBytes is the size of the largest body of a request to the admin server that is received at once. Larger
	// ones are received and handled one at a time, since a document costs many times its size when it is decoded.
	smallBodyBytes = 32 << 10
	// turnTimeout bounds the time for which a request with a large body waits for those before it.
	turnTimeout = 15 * time.Second
)

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
	stream := r.BodyStream()
	switch {
	case length > maxAdminBodyBytes:
		return b.refuse(c, fiber.StatusRequestEntityTooLarge)
	case stream == nil:
		return c.Next()
	}
	var content []byte
	var err error
	if length <= smallBodyBytes {
		// The length is unknown if it is negative: most such bodies are small too.
		content, err = io.ReadAll(io.LimitReader(stream, smallBodyBytes+1))
	}
	if err == nil && (length > smallBodyBytes || len(content) > smallBodyBytes) {
		if !b.takeTurn() {
			return b.refuse(c, fiber.StatusServiceUnavailable)
		}
		defer func() { <-b.turn }()
		_ = c.RequestCtx().SetReadDeadline(time.Now().Add(readTimeout))
		var rest []byte
		rest, err = io.ReadAll(io.LimitReader(stream, int64(maxAdminBodyBytes+1-len(content))))
		content = append(content, rest...)
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return b.refuse(c, fiber.StatusRequestTimeout)
	case err != nil:
		return b.refuse(c, fiber.StatusBadRequest)
	case len(content) > maxAdminBodyBytes:
		return b.refuse(c, fiber.StatusRequestEntityTooLarge)
	}
	r.SetBodyRaw(content)
	return c.Next()
}

// takeTurn waits until no other large body is received or handled. It reports false after turnTimeout.
func (b *bodies) takeTurn() bool {
	timer := time.NewTimer(turnTimeout)
	defer timer.Stop()
	select {
	case b.turn <- struct{}{}:
		return true
	case <-timer.C:
		return false
	}
}

// refuse responds to a request without handling it, and closes the connection, since the body is not read.
func (b *bodies) refuse(c fiber.Ctx, status int) error {
	b.meter.Add("bodies_refused", 1)
	c.RequestCtx().SetConnectionClose()
	return c.SendStatus(status)
}
