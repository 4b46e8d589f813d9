package hop

import (
	"context"
	"io"
	"sync"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/core/wire/hopmsg"
	"verbenabank/core/wire/wirepb"
)

// Owner serves one request with the target beside the daemon.
type Owner interface {
	Serve(ctx context.Context, r call.Request) call.Reply
}

// Server takes requests of other daemons. It is safe for concurrent use.
type Server struct {
	wirepb.UnimplementedHopServer
	owner Owner
}

// NewServer returns the server that hands requests to owner.
func NewServer(owner Owner) *Server { return &Server{owner: owner} }

// Forward carries one request.
func (s *Server) Forward(stream wirepb.Hop_ForwardServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	h := first.GetHead()
	if h == nil {
		return status.Error(codes.InvalidArgument, "hop: first part is not a head")
	}
	b := &requestBody{stream: stream, waits: h.GetWaits()}
	r := hopmsg.DecodeRequest(h, b)
	reply := s.owner.Serve(stream.Context(), r)
	b.answer()
	switch reply := reply.(type) {
	case call.Response:
		return sendAnswer(stream, reply)
	case call.Failure:
		return stream.Send(hopmsg.EncodeFailure(reply.Outcome()))
	}
	return stream.Send(hopmsg.EncodeFailure(result.NewUnknown(result.Interrupted)))
}

// sendAnswer sends the answer with its end, or the reason why it is not whole.
func sendAnswer(stream wirepb.Hop_ForwardServer, a call.Response) error {
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
			return stream.Send(hopmsg.EncodeFailure(result.NewUnknown(call.ReasonOf(err))))
		}
	}
}

// requestBody reads the body of a request from the stream, and asks for it first if it waits.
type requestBody struct {
	stream wirepb.Hop_ForwardServer
	chunk  []byte

	mu    sync.Mutex // held while something is sent by the reader
	waits bool
}

// answer takes the stream for the answer: a body that was not asked for by now stays away.
func (b *requestBody) answer() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waits = false
}

// invite asks for the body once.
func (b *requestBody) invite() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.waits {
		return nil
	}
	b.waits = false
	return b.stream.Send(hopmsg.EncodeInvite())
}

// Read returns io.EOF when the other daemon has sent the whole body.
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
