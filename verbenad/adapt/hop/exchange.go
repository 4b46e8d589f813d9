package hop

import (
	"context"
	"errors"
	"io"
	"sync/atomic"

	"github.com/sourcegraph/conc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/core/wire/hopmsg"
	"verbenabank/core/wire/wirepb"
)

// exchange is one request on its way to another daemon.
type exchange struct {
	caller  context.Context
	cancel  context.CancelFunc
	stream  wirepb.Hop_ForwardClient
	request call.Request
	upload  conc.WaitGroup

	answered atomic.Bool // the head of the answer is here
}

// run sends the request and waits for the head of the answer.
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
	p, err := e.receive(waits)
	if err != nil {
		e.cancel()
		return e.failed(err)
	}
	switch p := p.GetPart().(type) {
	case *wirepb.AnswerPart_Head:
		e.answered.Store(true)
		return hopmsg.DecodeResponse(p.Head, &answerBody{exchange: e})
	case *wirepb.AnswerPart_Failure:
		e.cancel()
		return call.NewFailure(hopmsg.DecodeFailure(p.Failure))
	default:
		e.cancel()
		return call.Unknown(result.Interrupted)
	}
}

// receive returns the first part of the answer. A body that waits is sent once it is asked
// for, so that a request that is refused costs the network no more than its head.
func (e *exchange) receive(waits bool) (*wirepb.AnswerPart, error) {
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

// inlineBytes is the size of the largest body that is sent with its head, without waiting.
const inlineBytes = 8 << 10

// sendBody sends the body. If it cannot be read whole the stream is cancelled, so
// that the other daemon does not take it for whole; if the answer came before, the rest of
// the body is just not sent.
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
			if !e.answered.Load() {
				e.cancel()
			}
			return
		}
	}
}

func chunkSize(length int64) int64 {
	if length < 0 {
		return chunkBytes
	}
	return min(length, chunkBytes)
}

// failed returns the failure of a request whose head was sent.
func (e *exchange) failed(err error) call.Reply {
	if c := status.Code(err); c == codes.Unauthenticated || c == codes.Unimplemented {
		return call.Refuse(result.Unreachable)
	}
	return call.Unknown(e.reason(err))
}

// reason returns why the stream ended before the answer did.
func (e *exchange) reason(err error) result.Reason {
	if status.Code(err) == codes.DeadlineExceeded || errors.Is(e.caller.Err(), context.DeadlineExceeded) {
		return result.TimedOut
	}
	if e.caller.Err() != nil {
		return result.Cancelled
	}
	return result.Interrupted
}

// answerBody reads the body of an answer from the stream.
type answerBody struct {
	exchange *exchange
	chunk    []byte
	err      error
}

// Read returns io.EOF only after the other daemon said that the answer was whole.
func (b *answerBody) Read(p []byte) (int, error) {
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

func (b *answerBody) receive() {
	const op = "read answer of peer"
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

func (b *answerBody) end(err error) {
	b.err = err
	b.exchange.cancel()
}

// Close cancels the request if the answer was not read to its end.
func (b *answerBody) Close() error {
	if b.err == nil {
		b.end(call.NewError("close answer of peer", result.Cancelled))
	}
	return nil
}
