package hop

import (
	"context"
	"io"
	"sync"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"verbenabank/core/clock"
	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/core/state/snap"
	"verbenabank/core/wire/hopmsg"
	"verbenabank/core/wire/wirepb"
	"verbenabank/verbenad/command/memory"
)

// Owner serves requests for the shards of this member with the local target.
type Owner interface {
	// Serve may return before it has read the whole body of the request.
	Serve(ctx context.Context, r call.Request) call.Reply
}

// Server handles requests forwarded by other daemons. It is safe for concurrent use.
type Server struct {
	wirepb.UnimplementedHopServer
	owner     Owner
	clock     *clock.Clock
	snapshots *snap.Store
	packed    packedRules
	peers     *peers
}

// ServerOption sets one property of a Server.
type ServerOption func(*Server)

// NewServer returns a gRPC service that passes requests to owner. Each is passed on its stream's
// goroutine, with the stream's context. Without WithRules it knows no rules.
func NewServer(owner Owner, opts ...ServerOption) *Server {
	s := &Server{owner: owner, clock: clock.New(), snapshots: snap.NewStore(), peers: newPeers(memory.Unlimited())}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Forward handles the stream of one request. The stream ends without an error also if the request
// failed; the failure is sent as a message.
func (s *Server) Forward(stream wirepb.Hop_ForwardServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	h := first.GetHead()
	if h == nil {
		return status.Error(codes.InvalidArgument, "hop: first part is not a head")
	}
	share, release := s.peers.enter(stream.Context())
	defer release()
	held := share.NewTally()
	defer held.Close()
	if size, fields := hopmsg.HeadSize(h); !held.Take(memory.RequestBytes+memory.HeadBytes(size, fields), "forwarded") {
		return stream.Send(hopmsg.EncodeFailure(call.Refuse(result.Overloaded)))
	}
	b := &requestBody{stream: stream, memory: held, awaitsInvite: h.GetWaits()}
	r := hopmsg.DecodeRequest(h, b)
	reply := s.owner.Serve(stream.Context(), r)
	b.stopInviting()
	switch reply := reply.(type) {
	case call.Response:
		return sendResponse(stream, reply)
	case call.Failure:
		return stream.Send(hopmsg.EncodeFailure(reply))
	}
	return stream.Send(hopmsg.EncodeFailure(call.Unknown(result.Interrupted)))
}

// sendResponse sends the response and the mark of its end, or the reason why it is incomplete.
func sendResponse(stream wirepb.Hop_ForwardServer, a call.Response) error {
	defer func() { _ = a.Body().Close() }()
	if err := stream.Send(hopmsg.EncodeResponseHead(a)); err != nil {
		return err
	}
	buffer := make([]byte, chunkSize(max(a.Length(), -1))+1)
	for {
		n, err := a.Body().Read(buffer)
		if n > 0 {
			if err := stream.Send(hopmsg.EncodeResponseChunk(buffer[:n])); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return stream.Send(hopmsg.EncodeResponseEnd())
		}
		if err != nil {
			return stream.Send(hopmsg.EncodeFailure(call.Unknown(call.ReasonOf(err))))
		}
	}
}

// requestBody reads a request body from the stream. If the client waits for an invitation, the first
// read sends it.
type requestBody struct {
	stream wirepb.Hop_ForwardServer
	memory *memory.Tally // that the request holds
	chunk  []byte

	mu           sync.Mutex // held while the reader sends
	awaitsInvite bool
}

// TakeMemory takes n bytes for what is kept of the body, and reports whether they were granted.
func (b *requestBody) TakeMemory(n int64) bool { return b.memory.Take(n, "bodies") }

// stopInviting is called before the response is sent: from then on only the response is written to
// the stream, and a body that was not asked for by now is not sent by the client.
func (b *requestBody) stopInviting() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.awaitsInvite = false
}

// invite asks the client for the body, once.
func (b *requestBody) invite() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.awaitsInvite {
		return nil
	}
	b.awaitsInvite = false
	return b.stream.Send(hopmsg.EncodeInvite())
}

// Read returns io.EOF when the client has sent the complete body.
func (b *requestBody) Read(p []byte) (int, error) {
	if err := b.invite(); err != nil {
		return 0, err
	}
	for len(b.chunk) == 0 {
		part, err := b.stream.Recv()
		if err != nil {
			return 0, err
		}
		b.chunk = part.GetBody()
	}
	n := copy(p, b.chunk)
	b.chunk = b.chunk[n:]
	return n, nil
}
