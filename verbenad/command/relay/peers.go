package relay

import (
	"io"
	"math/rand/v2"
	"sync"

	"verbenabank/core/clock"
	"verbenabank/core/command/eject"
	"verbenabank/core/query/picker"
	"verbenabank/core/query/route"
	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/core/state/table"
)

// peers knows the targets of pooled services by what their answers showed.
type peers struct {
	clock *clock.Clock

	mu       sync.Mutex
	services map[string]*service
}

// service is what is known of one pooled service.
type service struct {
	tracker    *eject.Tracker
	candidates []table.Member
}

func newPeers(c *clock.Clock) *peers {
	return &peers{clock: c, services: map[string]*service{}}
}

// choose returns a candidate, one of near if they are as good, and one that was not tried if
// possible.
func (p *peers) choose(d route.Pooled, near []table.Member, tried map[table.Incarnation]bool) (table.Member, bool) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.tracker(d, now)
	view := func(m table.Member) picker.Stats {
		if tried[m.Incarnation()] {
			return picker.NewStats(0, 0, 0)
		}
		return k.View(m, d.Service().WarmUp(), now)
	}
	all := d.Candidates()
	if m, ok := picker.Pick(near, all, view, rand.IntN); ok {
		return m, true
	}
	return picker.Pick(near, all, func(m table.Member) picker.Stats {
		v := k.View(m, 0, now)
		return picker.NewStats(v.InFlight(), v.Latency(), 1)
	}, rand.IntN)
}

// tracker returns the tracker of the service, which knows its present candidates.
func (p *peers) tracker(d route.Pooled, now clock.Millis) *eject.Tracker {
	s, ok := p.services[d.Service().Name()]
	if !ok {
		s = &service{tracker: eject.New()}
		p.services[d.Service().Name()] = s
	}
	if c := d.Candidates(); len(s.candidates) != len(c) || &s.candidates[0] != &c[0] {
		s.candidates = c
		s.tracker.SetMembers(c, now)
	}
	return s.tracker
}

// begin counts an attempt at m. The function that it returns takes the reply, and
// returns it with a body that ends the count.
func (p *peers) begin(name string, m table.Member) func(call.Reply) call.Reply {
	began := p.clock.Now()
	p.mu.Lock()
	k := p.services[name].tracker
	k.Begin(m.Incarnation())
	p.mu.Unlock()
	v := &visit{peers: p, tracker: k, member: m.Incarnation(), began: began}
	return func(reply call.Reply) call.Reply {
		span := p.clock.Now() - began
		switch reply := reply.(type) {
		case call.Response:
			b := &visited{ReadCloser: reply.Body(), visit: v, whole: sampleOfAnswer(reply, span)}
			return call.NewResponse(reply.Status(), reply.Fields(), b, reply.Length())
		case call.Failure:
			v.note(sampleOf(reply.Outcome(), span))
			v.end()
		}
		return reply
	}
}

// sampleOfAnswer returns what a whole answer says of the target, whose head came after the span.
func sampleOfAnswer(a call.Response, span clock.Millis) eject.Sample {
	if result.NewAnswered(a.Status()).Failed() {
		return eject.ErrorResponse{}
	}
	return eject.NewSuccess(span)
}

// sampleOf returns what a failure says of the target, nil if nothing.
func sampleOf(o result.Outcome, span clock.Millis) eject.Sample {
	switch o := o.(type) {
	case result.Refused:
		if o.Reason() == result.Unreachable {
			return eject.Failed{}
		}
		if o.Reason() == result.Expired {
			return nil
		}
		return eject.NewRejected(o.RetryAfter())
	case result.Unknown:
		if o.Reason() == result.Cancelled {
			return nil
		}
		if o.Reason() == result.TimedOut {
			return eject.NewTimedOut(span)
		}
		return eject.Failed{}
	case result.Answered:
	}
	return nil
}

// visit is one attempt at one member.
type visit struct {
	peers   *peers
	tracker *eject.Tracker
	member  table.Incarnation
	began   clock.Millis
	once    sync.Once
}

func (v *visit) note(s eject.Sample) {
	if s == nil {
		return
	}
	v.peers.mu.Lock()
	defer v.peers.mu.Unlock()
	v.tracker.Record(v.member, s, v.peers.clock.Now())
}

func (v *visit) end() {
	v.once.Do(func() {
		v.peers.mu.Lock()
		defer v.peers.mu.Unlock()
		v.tracker.End(v.member)
	})
}

// visited is the body of an answer whose end is the end of the visit.
type visited struct {
	io.ReadCloser
	visit *visit
	whole eject.Sample // to be noted at the end of the body
}

// Read notes how the answer ended: a head alone says nothing of the target.
func (b *visited) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch err {
	case nil:
	case io.EOF:
		b.visit.note(b.whole)
		b.whole = nil
	default:
		span := b.visit.peers.clock.Now() - b.visit.began
		b.visit.note(sampleOf(result.NewUnknown(call.ReasonOf(err)), span))
	}
	return n, err
}

// Close ends the visit.
func (b *visited) Close() error {
	b.visit.end()
	return b.ReadCloser.Close()
}
