package owner

import (
	"io"

	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
)

// leasedBody is the body of a response, valid only if ownership holds until its end.
type leasedBody struct {
	exchange *exchange
	status   int
	body     io.ReadCloser
	finished bool
}

// Read returns io.EOF only if the body is complete and ownership held until then. After a lapse
// it returns an error with the reason result.LeaseLapsed.
func (b *leasedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err == nil {
		return n, nil
	}
	if (err == io.EOF && !b.exchange.underOwnership()) || (err != io.EOF && b.exchange.lapsed.Load()) {
		err = call.NewError("read response under lease", result.LeaseLapsed)
	}
	if err == io.EOF {
		b.finish(result.NewAnswered(b.status))
	} else {
		b.finish(result.NewUnknown(call.ReasonOf(err)))
	}
	return n, err
}

// Close closes the body. If it wasn't read to its end, the outcome is unknown.
func (b *leasedBody) Close() error {
	err := b.body.Close()
	b.finish(result.NewUnknown(result.Cancelled))
	return err
}

// finish records the outcome, once.
func (b *leasedBody) finish(o result.Outcome) {
	if !b.finished {
		b.finished = true
		b.exchange.finish(o)
	}
}
