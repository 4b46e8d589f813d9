package owner

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"verbenabank/core/clock"
	"verbenabank/core/command/admit"
	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/core/state/rules"
)

const (
	// maxLinkDelay limits how long small messages may wait on the link behind bodies.
	maxLinkDelay = 100 * clock.Millisecond
	// A link that carries at least fastLinkBodies bodies at once needs no limit.
	fastLinkBodies = 16
	// prefetchBytes is how much of a body is read before the request enters the queue of the target.
	prefetchBytes = 512 << 10
	// stallTimeout is how long a body may deliver no data before it loses its slot of the link.
	stallTimeout = 250 * clock.Millisecond
	// chunkBytes is the size of the read buffer.
	chunkBytes = 32 << 10
)

// BodyMemory is a request body that grants the memory for what is read of it before its request has a slot. What was granted
// is given back with the request.
type BodyMemory interface {
	// TakeMemory takes n bytes and reports whether they were granted.
	TakeMemory(n int64) bool
}

// bufferFactor is the memory that a buffer takes at most for each byte in it, since it doubles when it grows.
const bufferFactor = 2

// takeBodyMemory takes the memory for n bytes of a body that are kept, and reports whether it is granted.
func takeBodyMemory(body io.Reader, n int) bool {
	m, ok := body.(BodyMemory)
	return !ok || m.TakeMemory(int64(n)*bufferFactor)
}

// bodyLimiter limits how many request bodies are fetched from other daemons at once, before their
// requests ask for a slot of the target. One body fills a slow link, and with several of them
// small and urgent messages would wait behind all.
type bodyLimiter struct {
	limiter *admit.Limiter
	limit   int // concurrent bodies, 0 for no limit
}

// concurrentBodies returns how many bodies a link of the rate in Mbit/s carries at once without
// delaying other messages by more than maxLinkDelay, 0 if no limit is needed or the rate is not
// known. Each body has at most the bytes of ahead in transit.
func concurrentBodies(rate float64, ahead int) int {
	const bits, mega = 8, 1e6
	n := int(rate * mega / bits * float64(maxLinkDelay) / float64(clock.Second) / float64(ahead))
	if rate <= 0 || n >= fastLinkBodies {
		return 0
	}
	return max(1, n)
}

// prefetchBody reads the body of the request from another daemon, if the link is slow, and reports
// whether the request may go on.
func (x *exchange) prefetchBody(ctx context.Context, s rules.Service) (call.Failure, bool) {
	b := x.owner.bodies
	if !x.request.HasRemoteBody() || b.limit == 0 {
		return call.Failure{}, true
	}
	goal := x.enteredAt + x.request.LatencyGoal() - x.owner.limiter.ClassServiceTime(x.request.Class())
	failure, held := x.enqueue(ctx, s, b.limiter, b.limit, goal)
	if failure.Outcome() != nil {
		if held {
			b.limiter.ReleaseUnused(x.owner.clock.Now())
		}
		return failure, false
	}
	body, err := x.readBody()
	if err != nil && ctx.Err() != nil {
		return call.Refuse(result.Expired), false
	}
	if err != nil {
		return call.Refuse(result.Cancelled), false
	}
	x.request = x.request.WithLocalBody(body)
	x.owner.meter.ObservePhase("body", x.owner.clock.Now()-x.enteredAt)
	return call.Failure{}, true
}

// readBody reads the body, or the first prefetchBytes of it, and returns a reader of the whole. It reads less if the memory
// is not granted. It gives back the slot of the link when done, or as soon as the body stalls for stallTimeout: a
// stalled body must not block others.
func (x *exchange) readBody() (io.Reader, error) {
	start, limiter := x.owner.clock.Now(), x.owner.bodies.limiter
	release := sync.OnceFunc(func() {
		now := x.owner.clock.Now()
		limiter.ReleaseClass(x.request.Class(), now, now-start)
	})
	defer release()
	stall := time.AfterFunc(stallTimeout.Duration(), release)
	defer stall.Stop()
	var content bytes.Buffer
	chunk := make([]byte, chunkBytes)
	for granted := true; granted && content.Len() < prefetchBytes; {
		n, err := x.request.Body().Read(chunk)
		_, _ = content.Write(chunk[:n])
		if err == io.EOF {
			return &content, nil
		}
		if err != nil {
			return nil, err
		}
		granted = takeBodyMemory(x.request.Body(), n)
		stall.Reset(stallTimeout.Duration())
	}
	return io.MultiReader(&content, x.request.Body()), nil
}
