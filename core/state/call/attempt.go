package call

import "verbenabank/core/state/result"

// Attempt is an attempt to run a request at a target, with callbacks for the stages of the attempt.
type Attempt struct {
	requestID string
	prepare   func() (Request, result.Reason)
	done      func()
	abandon   func()
}

// AttemptOption sets one property of an Attempt.
type AttemptOption func(*Attempt)

// WithOnAbandon sets the callback that is called in place of done if the daemon has stopped
// waiting for a target that may still run the cancelled request. By default it is done.
func WithOnAbandon(f func()) AttemptOption { return func(a *Attempt) { a.abandon = f } }

// WithRequestID sets the ID of the request, by which an attempt is recognized as a repetition of an earlier one.
func WithRequestID(id string) AttemptOption { return func(a *Attempt) { a.requestID = id } }

// NewAttempt returns an attempt. prepare is called once a connection is available, just before the
// first byte is written: it returns the request, or a reason to refuse it. done is called
// once in any case, when the target has finished with the request; for a cancelled request
// that may be after the reply.
func NewAttempt(prepare func() (Request, result.Reason), done func(), opts ...AttemptOption) Attempt {
	a := Attempt{prepare: prepare, done: done, abandon: done}
	for _, o := range opts {
		o(&a)
	}
	return a
}

// RequestID returns the ID of the request, "" if it is not known.
func (a Attempt) RequestID() string { return a.requestID }

// Prepare returns the request, or a reason to refuse it.
func (a Attempt) Prepare() (Request, result.Reason) { return a.prepare() }

// Done reports that the target has finished with the request.
func (a Attempt) Done() { a.done() }

// Abandon reports that nothing waits for the target any longer, which may still run the
// request.
func (a Attempt) Abandon() { a.abandon() }
