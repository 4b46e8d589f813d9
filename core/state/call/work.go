package call

import "verbenabank/core/state/result"

// Attempt is a request for a target, and what is to happen around it.
type Attempt struct {
	prepare   func() (Request, result.Reason)
	ended     func()
	abandoned func()
}

// AttemptOption sets one property of Work.
type AttemptOption func(*Attempt)

// WithOnAbandon sets what is called in place of ended when the target was not waited for any
// longer and may still run a request that was given up. The default is ended.
func WithOnAbandon(f func()) AttemptOption { return func(w *Attempt) { w.abandoned = f } }

// NewAttempt returns work. prepare is called when there is a connection, just before the
// first byte is written: it returns the request, or a reason to refuse it. ended is called
// once in any case, when the target is done with the request: that may be later than
// the reply, for a request that was given up.
func NewAttempt(prepare func() (Request, result.Reason), ended func(), opts ...AttemptOption) Attempt {
	w := Attempt{prepare: prepare, ended: ended, abandoned: ended}
	for _, o := range opts {
		o(&w)
	}
	return w
}

// Prepare returns the request, or a reason to refuse it.
func (w Attempt) Prepare() (Request, result.Reason) { return w.prepare() }

// Done says that the target is done with the request.
func (w Attempt) Done() { w.ended() }

// Abandon says that the target may still run the request.
func (w Attempt) Abandon() { w.abandoned() }
