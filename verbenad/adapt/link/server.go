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

// Server takes messages of other processes and hands them to the control
// goroutine.
type Server struct {
	wirepb.UnimplementedControlServer
	wirepb.UnimplementedPeerServer
	loop        *ctrl.Loop
	codec       *codec.Codec
	log         *logrus.Entry
	sessions    atomic.Uint64
	updateCache updateCache
}

// NewServer returns a server for the control goroutine.
func NewServer(l *ctrl.Loop, c *codec.Codec, log *logrus.Entry) *Server {
	return &Server{loop: l, codec: c, log: log}
}

// Register adds the services to a gRPC server.
func (s *Server) Register(r grpc.ServiceRegistrar) {
	wirepb.RegisterControlServer(r, s)
	wirepb.RegisterPeerServer(r, s)
}

// Exchange takes the messages of one control replica. Empty messages tell it now and then
// that they arrive.
func (s *Server) Exchange(stream wirepb.Peer_ExchangeServer) error {
	var told time.Time
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		d, err := peers.Decode(m)
		if err != nil {
			s.log.WithError(err).Warn("link: message of a replica refused")
			return status.Error(codes.InvalidArgument, err.Error())
		}
		s.loop.Post(ctrl.NewPeerMessage(d))
		if now := time.Now(); now.Sub(told) >= tellEvery {
			told = now
			if err := stream.Send(&wirepb.PeerMessage{}); err != nil {
				return err
			}
		}
	}
}

// Attach is one session of a daemon.
func (s *Server) Attach(stream wirepb.Control_AttachServer) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	o := newOutlet(&s.updateCache, cancel)
	id := leader.SessionID(s.sessions.Add(1))
	s.loop.Post(ctrl.NewSessionOpened(id, o))
	defer s.loop.Post(ctrl.NewSessionClosed(id))
	go s.receive(stream, id, cancel)
	return o.serve(ctx, stream)
}

// receive hands on reports until the session ends.
func (s *Server) receive(stream wirepb.Control_AttachServer, id leader.SessionID, cancel func()) {
	defer cancel()
	for {
		m, err := stream.Recv()
		if err != nil {
			return
		}
		e, err := codec.DecodeReport(id, m)
		if err != nil {
			s.log.WithError(err).Warn("link: report of a daemon refused")
			return
		}
		s.loop.Post(ctrl.NewLeaderEvent(e))
	}
}

// Offer decides a configuration.
func (s *Server) Offer(ctx context.Context, m *wirepb.Proposal) (*wirepb.Verdict, error) {
	a, err := s.codec.DecodeProposal(m)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	answers := make(chan ctrl.ProposalResult, 1)
	s.loop.Post(ctrl.NewProposed(a, func(d ctrl.ProposalResult) { answers <- d }))
	select {
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	case d := <-answers:
		return verdict(d), nil
	}
}

func verdict(d ctrl.ProposalResult) *wirepb.Verdict {
	switch d := d.(type) {
	case ctrl.Decided:
		return codec.EncodeVerdict(d.Verdict(), d.Fleet())
	case ctrl.Undecided:
		return &wirepb.Verdict{Code: wirepb.VerdictCode_VERDICT_CODE_UNDECIDED, Leader: d.Leader()}
	}
	return nil
}

// Inspect returns the state of this replica.
func (s *Server) Inspect(_ context.Context, m *wirepb.InspectRequest) (*wirepb.InspectReply, error) {
	v := s.loop.View()
	st, _ := v.Status()
	return &wirepb.InspectReply{
		State: codec.EncodeStateMessage(v.Fleet(), m.GetAudit()),
		Term:  uint64(st.Term()), Leader: st.LeaderAddress(),
	}, nil
}

// Read returns the rules in force once a quorum confirmed that this replica leads.
func (s *Server) Read(ctx context.Context, _ *wirepb.ReadRequest) (*wirepb.ReadReply, error) {
	findings := make(chan ctrl.ReadResult, 1)
	s.loop.Post(ctrl.NewReadRequested(func(f ctrl.ReadResult) { findings <- f }))
	select {
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	case f := <-findings:
		switch f := f.(type) {
		case ctrl.Confirmed:
			return &wirepb.ReadReply{Confirmed: true, Rules: codec.EncodeRules(f.Fleet().Table().Rules())}, nil
		case ctrl.Unconfirmed:
			return &wirepb.ReadReply{Leader: f.Leader()}, nil
		}
	}
	return nil, status.Error(codes.Internal, "link: no finding")
}
