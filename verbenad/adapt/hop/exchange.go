package hop

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync/atomic"

	"github.com/sourcegraph/conc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/core/wire/heads"
	"verbenabank/core/wire/hopmsg"
	"verbenabank/core/wire/wirepb"
)

// exchange is one request that is forwarded to another daemon, and its response.
type exchange struct {
	ctx     context.Context    // that of Send; the context of the stream is derived from it
	cancel  context.CancelFunc // cancels the stream
	stream  wirepb.Hop_ForwardClient
	request call.Request
	upload  conc.WaitGroup

	responseStarted atomic.Bool // the response head was received
}

// run sends the request and waits for the response head. It sends small bodies at once and larger ones
// only when the other daemon asks for them.
func (e *exchange) run() call.Reply {
	length := e.request.Length()
	waits := e.request.Body() != nil && (length < 0 || length > inlineBytes)
	if err := e.stream.Send(hopmsg.EncodeRequestHead(e.request, waits)); err != nil {
		e.cancel()
		return call.Refuse(result.Unreachable)
	}
	switch {
	case e.request.Body() == nil:
		_ = e.stream.CloseSend()
	case !waits:
		e.sendBody()
	}
	p, err := e.receiveFirst(waits)
	if err != nil {
		e.cancel()
		return e.failure(err)
	}
	switch p := p.GetPart().(type) {
	case *wirepb.AnswerPart_Head:
		a := hopmsg.DecodeResponse(p.Head, &responseBody{exchange: e})
		if !validStatus(p.Head.GetStatus()) || !validNames(a.Fields()) {
			e.cancel()
			return call.Unknown(result.Interrupted)
		}
		e.responseStarted.Store(true)
		return a
	case *wirepb.AnswerPart_Failure:
		e.cancel()
		return hopmsg.DecodeFailure(p.Failure)
	default:
		e.cancel()
		return call.Unknown(result.Interrupted)
	}
}

// Bounds of the status of a response that is not an interim one.
const (
	minStatus = 200
	maxStatus = 999
)

func validStatus(status uint32) bool { return minStatus <= status && status <= maxStatus }

// validNames reports whether the names of all fields are tokens. A daemon of an earlier version passes on others that its
// target has sent.
func validNames(fields []call.Field) bool {
	return !slices.ContainsFunc(fields, func(f call.Field) bool { return !heads.IsToken(f.Name()) })
}

// receiveFirst returns the first part of the response. If the body waits for an invitation, it is sent
// as soon as that arrives: a request that is refused costs the network no more than its head.
func (e *exchange) receiveFirst(waits bool) (*wirepb.AnswerPart, error) {
	for {
		p, err := e.stream.Recv()
		if err != nil {
			return nil, err
		}
		if _, ok := p.GetPart().(*wirepb.AnswerPart_Invite); !ok {
			return p, nil
		}
		if waits {
			waits = false
			e.upload.Go(e.sendBody)
		}
	}
}

// inlineBytes is the size of the largest body that is sent with the head, without waiting for an
// invitation.
const inlineBytes = 8 << 10

// sendBody sends the body. If reading it fails, the stream is cancelled, so that the other daemon does
// not take it for a complete body. If the response has started by then, the rest of the body is just
// not sent.
func (e *exchange) sendBody() {
	buffer := make([]byte, chunkSize(e.request.Length()))
	for {
		n, err := e.request.Body().Read(buffer)
		if n > 0 && e.stream.Send(hopmsg.EncodeRequestChunk(buffer[:n])) != nil {
			return
		}
		if err == io.EOF {
			_ = e.stream.CloseSend()
			return
		}
		if err != nil {
			if !e.responseStarted.Load() {
				e.cancel()
			}
			return
		}
	}
}

// chunkSize returns the size of the buffer for a body of the length, -1 if that is not known.
func chunkSize(length int64) int64 {
	if length < 0 {
		return chunkBytes
	}
	return min(length, chunkBytes)
}

// failure returns the reply for a request whose head was sent. Only the two status codes that a daemon
// returns before it handles a request prove that the request did not run.
func (e *exchange) failure(err error) call.Reply {
	if c := status.Code(err); c == codes.Unauthenticated || c == codes.Unimplemented {
		return call.Refuse(result.Unreachable)
	}
	return call.Unknown(e.reason(err))
}

// reason returns why the stream ended before the response was complete.
func (e *exchange) reason(err error) result.Reason {
	if status.Code(err) == codes.DeadlineExceeded || errors.Is(e.ctx.Err(), context.DeadlineExceeded) {
		return result.TimedOut
	}
	if e.ctx.Err() != nil {
		return result.Cancelled
	}
	return result.Interrupted
}

// responseBody reads a response body from the stream.
type responseBody struct {
	exchange *exchange
	chunk    []byte
	err      error
}

// Read returns io.EOF only after the other daemon has marked the end of the body.
func (b *responseBody) Read(p []byte) (int, error) {
	for len(b.chunk) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		b.receive()
	}
	n := copy(p, b.chunk)
	b.chunk = b.chunk[n:]
	return n, nil
}

func (b *responseBody) receive() {
	const op = "read response of peer"
	p, err := b.exchange.stream.Recv()
	if err != nil {
		b.end(call.NewError(op, b.exchange.reason(err)))
		return
	}
	switch p := p.GetPart().(type) {
	case *wirepb.AnswerPart_Body:
		b.chunk = p.Body
	case *wirepb.AnswerPart_End:
		b.end(io.EOF)
	case *wirepb.AnswerPart_Failure:
		b.end(call.NewError(op, result.Reason(p.Failure.GetReason())))
	default:
		b.end(call.NewError(op, result.Interrupted))
	}
}

func (b *responseBody) end(err error) {
	b.err = err
	b.exchange.cancel()
}

// Close cancels the request unless the body was read to its end.
func (b *responseBody) Close() error {
	if b.err == nil {
		b.end(call.NewError("close response of peer", result.Cancelled))
	}
	return nil
}
