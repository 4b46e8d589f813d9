package owner

import (
	"context"
	"strconv"
	"time"

	"verbenabank/core/clock"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
)

// HeaderRequestID is the field that names one attempt to the target.
const HeaderRequestID = "Verbena-Request-Id"

// extendAge is the age from which a request is told that its lease ends later. With a
// renewal every 200 ms a lease of 650 ms has 100 ms left or more when that is told.
const extendAge = 100 * clock.Millisecond

// Extender tells the target that the lease of running requests ends later.
type Extender interface {
	Extend(ctx context.Context, until clock.Millis, requests []string) bool
}

// mark makes the id of a request that of one attempt: an extension must not reach an
// earlier attempt that was given up. The numbers start where neither other processes nor
// callers know.
func (o *Owner) mark(id string) string {
	return id + "." + strconv.FormatUint(o.attempts.Add(1), 36)
}

// ExtendLeases tells the target of each renewal for the requests that it still runs. One call is
// under way at most, and the next has the newest lease. It returns when ctx ends.
func (o *Owner) ExtendLeases(ctx context.Context) {
	for ctx.Err() == nil {
		s := o.cell.Load()
		if requests := o.due(s); len(requests) > 0 {
			if o.extender.Extend(ctx, s.LeaseEnd(), requests) {
				o.meter.Add("extended", int64(len(requests)))
			} else {
				o.meter.Add("extensions_failed", 1)
			}
		}
		select {
		case <-s.Superseded():
		case <-ctx.Done():
		}
	}
}

// due returns the requests that are to be told of the lease of s, and notes that they
// were: also a call that fails may reach the target.
func (o *Owner) due(s *snap.Snapshot) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	var list []string
	for g := range o.lasting {
		young := now-g.sent < extendAge || g.told >= s.LeaseEnd()
		if young || now >= g.deadline || !o.holds(g.request, g.pass.epoch) {
			continue
		}
		g.told = s.LeaseEnd()
		list = append(list, g.id)
	}
	return list
}

// checked reports whether the target compares the lease of the request with its clock.
func (g *guard) checked() bool {
	_, ok := g.pass.service.Fencing().(rules.Checked)
	return ok && g.request.Key() != ""
}

// dispatch notes what the target is told with the request.
func (g *guard) dispatch(pass admission) {
	g.owner.mu.Lock()
	defer g.owner.mu.Unlock()
	g.pass, g.told, g.sent = pass, pass.until, g.owner.clock.Now()
	if g.checked() {
		g.owner.lasting[g] = struct{}{}
	}
}

// name gives this attempt an identity of its own.
func (g *guard) name() {
	id := ""
	for _, f := range g.request.Fields() {
		if f.Name() == HeaderRequestID {
			id = f.Value()
		}
	}
	g.id = g.owner.mark(id)
}

// abandoned gives back the slot of a request that the target may still run. It stays in
// flight until the lease that the target was told last has lapsed.
func (g *guard) abandoned() {
	g.yield()
	g.owner.mu.Lock()
	left := g.told - g.owner.clock.Now()
	g.owner.mu.Unlock()
	if left <= 0 || !g.checked() {
		g.leave()
		return
	}
	time.AfterFunc(left.Duration(), g.leave)
}
