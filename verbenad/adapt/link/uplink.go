package link

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"

	"verbenabank/core/command/agent"
	"verbenabank/core/wire/codec"
	"verbenabank/core/wire/wirepb"
)

// Uplink keeps a session with the leader: it asks the replicas of the settings in
// turn and follows their redirects. It is safe for concurrent use.
type Uplink struct {
	replicas *Addresses
	options  []grpc.DialOption
	codec    *codec.Codec
	post     func(agent.Event)
	log      *logrus.Entry
	group    conc.WaitGroup
	cancel   func()

	mu    sync.Mutex
	queue chan *wirepb.Report
	drop  func()
}

// NewUplink returns an uplink to one of the replicas and the function that ends
// it. It does nothing before Start.
func NewUplink(replicas *Addresses, options []grpc.DialOption, c *codec.Codec, log *logrus.Entry) (*Uplink, func()) {
	u := &Uplink{replicas: replicas, options: options, codec: c, log: log, cancel: func() {}}
	return u, func() {
		u.cancel()
		u.group.Wait()
	}
}

// Start begins to look for the leader. Events go to post.
func (u *Uplink) Start(post func(agent.Event)) {
	ctx, cancel := context.WithCancel(context.Background())
	u.cancel, u.post = cancel, post
	u.group.Go(func() { u.serve(ctx) })
}

// Send queues a report of the agent, or loses it if there is no session.
func (u *Uplink) Send(e agent.Effect) {
	m := report(e)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.queue == nil || m == nil {
		return
	}
	select {
	case u.queue <- m:
	default:
		u.drop()
	}
}

// Reconnect ends the session, if there is one.
func (u *Uplink) Reconnect() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.drop != nil {
		u.drop()
	}
}

func report(e agent.Effect) *wirepb.Report {
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
		agent.Reconnect, agent.TargetReleased, agent.InvariantViolated, agent.Stopped, agent.SendCall:
	}
	return nil
}

// serve asks one replica after the other, a redirect's address first. The pauses
// between vain attempts grow, so that many daemons without a leader leave the
// replicas time to elect one.
func (u *Uplink) serve(ctx context.Context) {
	next, hint, vain := 0, "", 0
	for ctx.Err() == nil {
		address := hint
		if address == "" {
			list := u.replicas.List()
			address = list[next%len(list)]
			next++
		}
		met := false
		hint, met = u.session(ctx, address)
		if met {
			vain = 0
		}
		if hint == address || hint == "" {
			hint = ""
			pause(ctx, backoffSpan(vain))
			vain++
		}
	}
}

// backoffSpan returns how long to pause after so many vain attempts, at random
// around a span that doubles.
func backoffSpan(vain int) time.Duration {
	span := min(backoffLeast<<min(vain, attachSteps), attachMost)
	return span/2 + rand.N(span)
}

// session attaches to one replica and returns the address it redirects to, if
// any, and whether the replica led.
func (u *Uplink) session(parent context.Context, address string) (string, bool) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	c, err := dial(address, u.options)
	if err != nil {
		return "", false
	}
	defer func() { _ = c.Close() }()
	greeting, stop := context.WithTimeout(ctx, connectTimeout)
	defer stop()
	context.AfterFunc(greeting, func() { u.expireGreeting(greeting, cancel) })
	s, err := wirepb.NewControlClient(c).Attach(ctx)
	if err != nil {
		return "", false
	}
	m, err := s.Recv()
	stop()
	if err != nil {
		u.log.WithError(err).WithField("address", address).Debug("link: no session")
		return "", false
	}
	if r := m.GetRedirect(); r != nil {
		return r.GetAddress(), false
	}
	if m.GetWelcome() == nil {
		return "", false
	}
	u.replicas.Learn(m.GetWelcome().GetReplicas())
	u.log.WithField("address", address).Info("link: session with the leader")
	hint := u.talk(ctx, cancel, s)
	u.log.WithField("address", address).Info("link: session ended")
	return hint, true
}

// expireGreeting gives up a replica that does not answer in time.
func (u *Uplink) expireGreeting(greeting context.Context, cancel func()) {
	if greeting.Err() == context.DeadlineExceeded {
		cancel()
	}
}

// talk carries a session until it ends.
func (u *Uplink) talk(ctx context.Context, cancel func(), s wirepb.Control_AttachClient) string {
	queue := make(chan *wirepb.Report, queueLength)
	u.open(queue, cancel)
	u.post(agent.Connected{})
	var group conc.WaitGroup
	group.Go(func() { send(ctx, cancel, s, queue) })
	hint := u.receive(s)
	u.open(nil, nil)
	cancel()
	group.Wait()
	u.post(agent.Disconnected{})
	return hint
}

func (u *Uplink) open(queue chan *wirepb.Report, drop func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.queue, u.drop = queue, drop
}

func send(ctx context.Context, cancel func(), s wirepb.Control_AttachClient, queue chan *wirepb.Report) {
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-queue:
			if s.Send(m) != nil {
				return
			}
		}
	}
}

// receive hands on orders until the session ends.
func (u *Uplink) receive(s wirepb.Control_AttachClient) string {
	for {
		m, err := s.Recv()
		if err != nil {
			return ""
		}
		if r := m.GetRedirect(); r != nil {
			return r.GetAddress()
		}
		e, err := u.codec.DecodeOrder(m)
		if err != nil {
			u.log.WithError(err).Warn("link: order of the leader refused")
			return ""
		}
		u.post(e)
	}
}
