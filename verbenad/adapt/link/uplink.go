package link

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"

	"verbenabank/core/clock"
	"verbenabank/core/command/agent"
	"verbenabank/core/command/attach"
	"verbenabank/core/wire/codec"
	"verbenabank/core/wire/wirepb"
)

// Uplink maintains the daemon's session with the leader: it tries the known replicas
// in turn and follows their redirects. It is safe for concurrent use after Start.
type Uplink struct {
	replicas *Addresses
	options  []grpc.DialOption
	codec    *codec.Codec
	post     func(agent.Event)
	log      *logrus.Entry
	size     func() int // of the fleet, 0 if it is not known
	group    conc.WaitGroup
	cancel   func()

	mu         sync.Mutex
	queue      chan *wirepb.Report
	disconnect func()
}

// UplinkOption sets one property of an Uplink.
type UplinkOption func(*Uplink)

// WithFleetSize sets the function that returns how many daemons the fleet has, 0 if that is not known. The
// more there are, the slower this one tries to attach.
func WithFleetSize(f func() int) UplinkOption { return func(u *Uplink) { u.size = f } }

// NewUplink returns an uplink that is idle until Start, and a function that closes it
// and waits for its goroutines.
func NewUplink(replicas *Addresses, options []grpc.DialOption, c *codec.Codec, log *logrus.Entry, opts ...UplinkOption) (*Uplink, func()) {
	u := &Uplink{replicas: replicas, options: options, codec: c, log: log, cancel: func() {}, size: func() int { return 0 }}
	for _, o := range opts {
		o(u)
	}
	return u, func() {
		u.cancel()
		u.group.Wait()
	}
}

// Start begins to connect to the leader. It calls post from its own goroutine with
// each event: connected, disconnected, and each decoded order of the leader.
func (u *Uplink) Start(post func(agent.Event)) {
	ctx, cancel := context.WithCancel(context.Background())
	u.cancel, u.post = cancel, post
	u.group.Go(func() { u.run(ctx) })
}

// Send queues a report of the agent and never blocks. Without a session the report is
// dropped; if the queue is full, the session is closed as well.
func (u *Uplink) Send(e agent.Effect) {
	m := encodeReport(e)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.queue == nil || m == nil {
		return
	}
	select {
	case u.queue <- m:
	default:
		u.disconnect()
	}
}

// Reconnect closes the current session, if there is one; the uplink then connects again.
func (u *Uplink) Reconnect() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.disconnect != nil {
		u.disconnect()
	}
}

// encodeReport returns nil for effects that are not sent to the leader.
func encodeReport(e agent.Effect) *wirepb.Report {
	switch e := e.(type) {
	case agent.SendJoin:
		return codec.EncodeJoin(e)
	case agent.SendRenew:
		return codec.EncodeRenew(e)
	case agent.SendLeave:
		return codec.EncodeLeave(e)
	case agent.SendGone:
		return codec.EncodeGone(e)
	case agent.Publish, agent.AwaitQuiesced, agent.AwaitShardDrained, agent.AwaitAllDrained, agent.UseTarget, agent.DrainTarget, agent.DropTarget,
		agent.Reconnect, agent.TargetReleased, agent.InvariantViolated, agent.Stopped, agent.SendCall, agent.AnswerHeartbeat, agent.AskRules, agent.RulesLapsed, agent.RulesRenewed, agent.IdentifyTarget, agent.ReportCold:
	}
	return nil
}

// run opens sessions with the leader, one after the other.
func (u *Uplink) run(ctx context.Context) {
	plan := attach.New(attach.WithFleetSize(u.size), attach.WithRandom(randomBelow))
	for ctx.Err() == nil {
		s, ok := newFinder(u, plan).find(ctx)
		if !ok {
			return
		}
		hint := u.runSession(s)
		s.close()
		u.log.WithField("address", s.address).Info("link: session closed")
		pause(ctx, plan.End(s.address, attach.NewServed(hint)).Duration())
	}
}

// randomBelow returns a random duration below the limit, which is at least 1 ms.
func randomBelow(limit clock.Millis) clock.Millis { return rand.N(max(1, limit)) }

// runSession sends and receives until the session ends, and returns the address that
// the leader redirects to, if any.
func (u *Uplink) runSession(s *session) string {
	queue := make(chan *wirepb.Report, sendQueueLength)
	u.setSession(queue, s.cancel)
	u.post(agent.Connected{})
	var group conc.WaitGroup
	group.Go(func() { send(s.ctx, s.cancel, s.stream, queue) })
	hint := u.receive(s.stream)
	u.setSession(nil, nil)
	s.cancel()
	group.Wait()
	u.post(agent.Disconnected{})
	return hint
}

// setSession sets the queue and the cancel function of the current session, nil for none.
func (u *Uplink) setSession(queue chan *wirepb.Report, disconnect func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.queue, u.disconnect = queue, disconnect
}

func send(ctx context.Context, cancel func(), stream wirepb.Control_AttachClient, queue chan *wirepb.Report) {
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-queue:
			if stream.Send(m) != nil {
				return
			}
		}
	}
}

// receive posts the leader's orders until the session ends, and returns the address
// that the leader redirects to, if any.
func (u *Uplink) receive(stream wirepb.Control_AttachClient) string {
	for {
		m, err := stream.Recv()
		if err != nil {
			return ""
		}
		if r := m.GetRedirect(); r != nil {
			return r.GetAddress()
		}
		e, err := u.codec.DecodeOrder(m)
		if err != nil {
			u.log.WithError(err).Warn("link: invalid order from the leader, closing the session")
			return ""
		}
		u.post(e)
	}
}
