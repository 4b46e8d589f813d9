package link

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"

	"verbenabank/core/state/peer"
	"verbenabank/core/wire/peers"
	"verbenabank/core/wire/wirepb"
)

const (
	// tellEvery is the least pause between two signs that messages of a replica arrive.
	tellEvery = 300 * time.Millisecond
	// silentFor is how long such signs may be missing while messages are sent, and unheardMost
	// how many messages there are at least, before a stream counts as broken.
	silentFor   = time.Second
	unheardMost = 4
)

// PeerTransport sends messages to other control replicas, one stream for each. Messages
// that cannot be sent are lost, which the replicated log allows for. It is safe
// for concurrent use.
type PeerTransport struct {
	ctx     context.Context
	options []grpc.DialOption
	log     *logrus.Entry
	group   conc.WaitGroup

	mu     sync.Mutex
	queues map[string]chan *wirepb.PeerMessage
}

// NewPeerTransport returns a sender and the function that ends it.
func NewPeerTransport(options []grpc.DialOption, log *logrus.Entry) (*PeerTransport, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	p := &PeerTransport{ctx: ctx, options: options, log: log, queues: map[string]chan *wirepb.PeerMessage{}}
	return p, func() {
		cancel()
		p.group.Wait()
	}
}

// Send queues m for the replica at address, or loses it if the queue is full.
func (p *PeerTransport) Send(address string, m peer.Message) {
	select {
	case p.queue(address) <- peers.Encode(m):
	default:
	}
}

func (p *PeerTransport) queue(address string) chan *wirepb.PeerMessage {
	p.mu.Lock()
	defer p.mu.Unlock()
	q, ok := p.queues[address]
	if !ok {
		q = make(chan *wirepb.PeerMessage, queueLength)
		p.queues[address] = q
		p.group.Go(func() { p.serve(address, q) })
	}
	return q
}

// serve keeps a stream to one replica until the sender ends.
func (p *PeerTransport) serve(address string, q chan *wirepb.PeerMessage) {
	for p.ctx.Err() == nil {
		if err := p.stream(address, q); err != nil {
			p.log.WithError(err).WithField("address", address).Debug("link: stream to replica ended")
		}
		pause(p.ctx, backoffLeast)
	}
}

func (p *PeerTransport) stream(address string, q chan *wirepb.PeerMessage) error {
	c, err := dial(address, p.options)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	s, err := wirepb.NewPeerClient(c).Exchange(ctx)
	if err != nil {
		return &Error{op: "exchange", kind: Unreachable, cause: err}
	}
	var heard atomic.Int64 // count of signs that messages arrive
	p.group.Go(func() {
		defer cancel()
		for {
			if _, err := s.Recv(); err != nil {
				return
			}
			heard.Add(1)
		}
	})
	w := watch{since: time.Now()}
	for {
		select {
		case <-ctx.Done():
			return &Error{op: "exchange", kind: Unreachable, cause: ctx.Err()}
		case m := <-q:
			if err := s.Send(m); err != nil {
				return &Error{op: "exchange", kind: Unreachable, cause: err}
			}
			if w.silent(time.Now(), heard.Load()) {
				return &Error{op: "exchange", kind: Unreachable, cause: errSilent}
			}
		}
	}
}

// errSilent tells of a line that takes messages and brings nothing back.
var errSilent = errors.New("no sign that messages arrive")

// watch notices a stream that has gone silent though nothing says that it ended.
type watch struct {
	since time.Time // of the first message after the last sign
	heard int64
	sent  int
}

// silent reports whether signs are missing after one more message was sent at now.
func (w *watch) silent(now time.Time, heard int64) bool {
	if heard != w.heard || w.sent == 0 {
		w.since, w.heard, w.sent = now, heard, 0
	}
	w.sent++
	return w.sent >= unheardMost && now.Sub(w.since) > silentFor
}

// pause waits for the span or the end of ctx.
func pause(ctx context.Context, span time.Duration) {
	t := time.NewTimer(span)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
