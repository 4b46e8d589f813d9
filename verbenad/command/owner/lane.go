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
	// laneDelay bounds in milliseconds how long small messages wait on the link behind bodies.
	laneDelay = 100 * clock.Millisecond
	// wideLane is how many bodies at once a link must carry to need no lane.
	wideLane = 16
	// laneBytes is how much of a body is read before the request asks for a slot.
	laneBytes = 512 << 10
	// laneStall is for how long in milliseconds a body that stands still keeps its place.
	laneStall = 250 * clock.Millisecond
	// pieceBytes is the size of one read of a body.
	pieceBytes = 32 << 10
)

// lane lets in the bodies of requests that other daemons have, a few at a time, before these
// requests ask for a slot: a slow link is filled by one body, and all that is short and urgent
// waits behind the others.
type lane struct {
	gate  *admit.Limiter
	width int // bodies at once, 0 for any number
}

// width returns how many bodies at once a link of the rate in Mbit/s carries without holding up
// others, 0 if that does not matter. Each has so many bytes on its way at most.
func width(rate float64, ahead int) int {
	const bits, mega = 8, 1e6
	w := int(rate * mega / bits * float64(laneDelay) / float64(clock.Second) / float64(ahead))
	if rate <= 0 || w >= wideLane {
		return 0
	}
	return max(1, w)
}

// fetch brings the body of the request to this daemon, if the link is slow.
func (g *guard) fetch(ctx context.Context, s rules.Service) (call.Failure, bool) {
	l := g.owner.lane
	if !g.request.HasRemoteBody() || l.width == 0 {
		return call.Failure{}, true
	}
	aim := g.entered + g.request.LatencyGoal() - g.owner.gate.ClassServiceTime(g.request.Class())
	failure, held := g.queue(ctx, s, l.gate, l.width, aim)
	if failure.Outcome() != nil {
		if held {
			l.gate.ReleaseUnused(g.owner.clock.Now())
		}
		return failure, false
	}
	body, err := g.read()
	if err != nil && ctx.Err() != nil {
		return call.Refuse(result.Expired), false
	}
	if err != nil {
		return call.Refuse(result.Cancelled), false
	}
	g.request = g.request.WithLocalBody(body)
	g.owner.meter.ObservePhase("body", g.owner.clock.Now()-g.entered)
	return call.Failure{}, true
}

// read takes in the body, or the first part of one that is very long. It gives the place in the lane
// back at the end, or as soon as the body stands still.
func (g *guard) read() (io.Reader, error) {
	began, gate := g.owner.clock.Now(), g.owner.lane.gate
	leave := sync.OnceFunc(func() {
		now := g.owner.clock.Now()
		gate.ReleaseClass(g.request.Class(), now, now-began)
	})
	defer leave()
	stall := time.AfterFunc(laneStall.Duration(), leave)
	defer stall.Stop()
	var content bytes.Buffer
	piece := make([]byte, pieceBytes)
	for content.Len() < laneBytes {
		n, err := g.request.Body().Read(piece)
		_, _ = content.Write(piece[:n])
		if err == io.EOF {
			return &content, nil
		}
		if err != nil {
			return nil, err
		}
		stall.Reset(laneStall.Duration())
	}
	return io.MultiReader(&content, g.request.Body()), nil
}
