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
	// ackInterval is the shortest time between two acknowledgments on one stream.
	ackInterval = 300 * time.Millisecond
	// A stream counts as stalled after at least minUnacked messages without an
	// acknowledgment, the first of them sent longer than ackTimeout ago.
	ackTimeout = time.Second
	minUnacked = 4
)

// PeerTransport sends messages to the other control replicas over one stream each. Messages
// that cannot be sent are dropped, which the replicated log tolerates. It is safe for
// concurrent use.
type PeerTransport struct {
	ctx     context.Context
	options []grpc.DialOption
	log     *logrus.Entry
	group   conc.WaitGroup

	mu     sync.Mutex
	queues map[string]chan *wirepb.PeerMessage
}

// NewPeerTransport returns a transport without connections, and a function that closes it and
// waits for its goroutines.
func NewPeerTransport(options []grpc.DialOption, log *logrus.Entry) (*PeerTransport, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	p := &PeerTransport{ctx: ctx, options: options, log: log, queues: map[string]chan *wirepb.PeerMessage{}}
	return p, func() {
		cancel()
		p.group.Wait()
	}
}

// Send queues m for the replica at address, or drops it if the queue is full. It never
// blocks. The first message to an address starts the goroutine of its stream.
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
		q = make(chan *wirepb.PeerMessage, sendQueueLength)
		p.queues[address] = q
		p.group.Go(func() { p.maintainStream(address, q) })
	}
	return q
}

// maintainStream keeps a stream to one replica open, with a pause after each failure, until the
// transport closes.
func (p *PeerTransport) maintainStream(address string, q chan *wirepb.PeerMessage) {
	for p.ctx.Err() == nil {
		if err := p.sendMessages(address, q); err != nil {
			p.log.WithError(err).WithField("address", address).Debug("link: stream to replica closed")
		}
		pause(p.ctx, minBackoff)
	}
}

// sendMessages sends the queued messages over one new stream until it fails, stalls or
// the transport closes.
func (p *PeerTransport) sendMessages(address string, q chan *wirepb.PeerMessage) error {
	conn, err := dial(address, p.options)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	stream, err := wirepb.NewPeerClient(conn).Exchange(ctx)
	if err != nil {
		return &Error{op: "exchange", kind: Unreachable, cause: err}
	}
	var acks atomic.Int64 // acknowledgments received
	p.group.Go(func() {
		defer cancel()
		for {
			if _, err := stream.Recv(); err != nil {
				return
			}
			acks.Add(1)
		}
	})
	monitor := ackMonitor{firstUnacked: time.Now()}
	for {
		select {
		case <-ctx.Done():
			return &Error{op: "exchange", kind: Unreachable, cause: ctx.Err()}
		case m := <-q:
			if err := stream.Send(m); err != nil {
				return &Error{op: "exchange", kind: Unreachable, cause: err}
			}
			if monitor.stalled(time.Now(), acks.Load()) {
				return &Error{op: "exchange", kind: Unreachable, cause: errUnacked}
			}
		}
	}
}

// errUnacked means that the network accepts messages but no acknowledgment comes back.
var errUnacked = errors.New("the replica does not acknowledge messages")

// ackMonitor detects a stalled stream, on which sending still succeeds but the replica
// acknowledges nothing.
type ackMonitor struct {
	firstUnacked time.Time // when the first message after the last acknowledgment was sent
	acks         int64
	unacked      int
}

// stalled records that one more message was sent at now, with acks received so far, and
// reports whether the stream is stalled.
func (m *ackMonitor) stalled(now time.Time, acks int64) bool {
	if acks != m.acks || m.unacked == 0 {
		m.firstUnacked, m.acks, m.unacked = now, acks, 0
	}
	m.unacked++
	return m.unacked >= minUnacked && now.Sub(m.firstUnacked) > ackTimeout
}

// pause waits for the duration or until ctx ends.
func pause(ctx context.Context, duration time.Duration) {
	t := time.NewTimer(duration)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
