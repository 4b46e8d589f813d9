package link

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"verbenabank/core/command/leader"
	"verbenabank/core/wire/codec"
	"verbenabank/core/wire/peers"
	"verbenabank/core/wire/wirepb"
	"verbenabank/verbenad/command/ctrl"
)

// Server receives messages from other processes and posts them to the control
// goroutine. It implements the gRPC services Control and Peer.
type Server struct {
	wirepb.UnimplementedControlServer
	wirepb.UnimplementedPeerServer
	loop     *ctrl.Loop
	codec    *codec.Codec
	log      *logrus.Entry
	sessions atomic.Uint64
	updates  updateCache // for daemons that need them plain
	packed   updateCache // for all others
}

// NewServer returns a server that posts to l; Register adds it to a gRPC server.
func NewServer(l *ctrl.Loop, c *codec.Codec, log *logrus.Entry) *Server {
	return &Server{
		loop: l, codec: c, log: log, updates: updateCache{encode: codec.EncodeUpdate}, packed: updateCache{encode: codec.EncodePackedUpdate},
	}
}

// Register registers both services; call it before the gRPC server starts.
func (s *Server) Register(r grpc.ServiceRegistrar) {
	wirepb.RegisterControlServer(r, s)
	wirepb.RegisterPeerServer(r, s)
}

// Exchange receives the messages of one control replica. It acknowledges them with empty
// messages, at most one per 300 ms, by which the sender detects a stalled stream.
func (s *Server) Exchange(stream wirepb.Peer_ExchangeServer) error {
	var lastAck time.Time
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		message, err := peers.Decode(m)
		if err != nil {
			s.log.WithError(err).Warn("link: invalid message from a replica, closing the stream")
			return status.Error(codes.InvalidArgument, err.Error())
		}
		s.loop.Post(ctrl.NewPeerMessage(message))
		if now := time.Now(); now.Sub(lastAck) >= ackInterval {
			lastAck = now
			if err := stream.Send(&wirepb.PeerMessage{}); err != nil {
				return err
			}
		}
	}
}

// Attach serves one session of a daemon until either side closes it.
func (s *Server) Attach(stream wirepb.Control_AttachServer) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	updates := &s.updates
	if acceptsPacked(ctx) {
		updates = &s.packed
	}
	queue := newOrderQueue(updates, cancel)
	id := leader.SessionID(s.sessions.Add(1))
	s.loop.Post(ctrl.NewSessionOpened(id, queue))
	defer s.loop.Post(ctrl.NewSessionClosed(id))
	go s.receive(stream, id, cancel)
	return queue.serve(ctx, stream)
}

// receive posts the daemon's reports until the session ends.
func (s *Server) receive(stream wirepb.Control_AttachServer, id leader.SessionID, cancel func()) {
	defer cancel()
	for {
		m, err := stream.Recv()
		if err != nil {
			return
		}
		e, err := codec.DecodeReport(id, m)
		if err != nil {
			s.log.WithError(err).Warn("link: invalid report from a daemon, closing the session")
			return
		}
		s.loop.Post(ctrl.NewLeaderEvent(e))
	}
}

// Offer proposes a configuration and returns the leader's decision. On another replica
// the result is undecided and names the leader, if it is known.
func (s *Server) Offer(ctx context.Context, m *wirepb.Proposal) (*wirepb.Verdict, error) {
	proposal, err := s.codec.DecodeProposal(m)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return s.decide(ctx, func(reply func(ctrl.ProposalResult)) ctrl.Event { return ctrl.NewProposed(proposal, reply) })
}

// DrainZone proposes the drain of a zone, or its end, and returns the leader's decision. On another replica the result
// is undecided and names the leader, if it is known.
func (s *Server) DrainZone(ctx context.Context, m *wirepb.ZoneDrain) (*wirepb.Verdict, error) {
	proposal, err := codec.DecodeZoneDrain(m)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return s.decide(ctx, func(reply func(ctrl.ProposalResult)) ctrl.Event { return ctrl.NewZoneDrainProposed(proposal, reply) })
}

// decide posts the event for a proposal and waits for its result.
func (s *Server) decide(ctx context.Context, newEvent func(reply func(ctrl.ProposalResult)) ctrl.Event) (*wirepb.Verdict, error) {
	results := make(chan ctrl.ProposalResult, 1)
	s.loop.Post(newEvent(func(r ctrl.ProposalResult) { results <- r }))
	select {
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	case r := <-results:
		return encodeResult(r), nil
	}
}

func encodeResult(r ctrl.ProposalResult) *wirepb.Verdict {
	switch r := r.(type) {
	case ctrl.Decided:
		return codec.EncodeVerdict(r.Verdict(), r.Fleet())
	case ctrl.Undecided:
		return &wirepb.Verdict{Code: wirepb.VerdictCode_VERDICT_CODE_UNDECIDED, Leader: r.Leader()}
	}
	return nil
}

// Inspect returns the local state of this replica, which may lag behind the leader's.
func (s *Server) Inspect(_ context.Context, m *wirepb.InspectRequest) (*wirepb.InspectReply, error) {
	v := s.loop.View()
	st, _ := v.Status()
	return &wirepb.InspectReply{
		State: codec.EncodeStateMessage(v.Fleet(), m.GetAudit()),
		Term:  uint64(st.Term()), Leader: st.LeaderAddress(),
	}, nil
}

// Read is a linearizable read of the rules in force: it waits until a quorum has
// confirmed that this replica leads. Another replica names the leader instead.
func (s *Server) Read(ctx context.Context, _ *wirepb.ReadRequest) (*wirepb.ReadReply, error) {
	results := make(chan ctrl.ReadResult, 1)
	s.loop.Post(ctrl.NewReadRequested(func(r ctrl.ReadResult) { results <- r }))
	select {
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	case r := <-results:
		switch r := r.(type) {
		case ctrl.Confirmed:
			return &wirepb.ReadReply{Confirmed: true, Rules: codec.EncodeRules(r.Fleet().Table().Rules())}, nil
		case ctrl.Unconfirmed:
			return &wirepb.ReadReply{Leader: r.Leader()}, nil
		}
	}
	return nil, status.Error(codes.Internal, "link: no finding")
}
