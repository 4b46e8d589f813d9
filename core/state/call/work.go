package call

import "verbenabank/core/state/result"

// Work is a request for a target, and what is to happen around it.
type Work struct {
	prepare   func() (Request, result.Reason)
	ended     func()
	abandoned func()
}

// WorkOption sets one property of Work.
type WorkOption func(*Work)

// WithAbandoned sets what is called in place of ended when the target was not waited for any
// longer and may still run a request that was given up. The default is ended.
func WithAbandoned(f func()) WorkOption { return func(w *Work) { w.abandoned = f } }

// NewWork returns work. prepare is called when there is a connection, just before the
// first byte is written: it returns the request, or a reason to refuse it. ended is called
// once in any case, when the target is done with the request: that may be later than
// the reply, for a request that was given up.
func NewWork(prepare func() (Request, result.Reason), ended func(), opts ...WorkOption) Work {
	w := Work{prepare: prepare, ended: ended, abandoned: ended}
	for _, o := range opts {
		o(&w)
	}
	return w
}

// Prepare returns the request, or a reason to refuse it.
func (w Work) Prepare() (Request, result.Reason) { return w.prepare() }

// Ended says that the target is done with the request.
func (w Work) Ended() { w.ended() }

// Abandoned says that the target may still run the request.
func (w Work) Abandoned() { w.abandoned() }
