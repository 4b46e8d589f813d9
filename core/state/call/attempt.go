package call

import "verbenabank/core/state/result"

// Work is an attempt to run a request at a target, with callbacks for the stages of the attempt.
type Work struct {
	prepare func() (Request, result.Reason)
	done    func()
	abandon func()
}

// WorkOption sets one property of Work.
type WorkOption func(*Work)

// WithAbandoned sets the callback that is called in place of done if the daemon has stopped
// waiting for a target that may still run the cancelled request. By default it is done.
func WithAbandoned(f func()) WorkOption { return func(w *Work) { w.abandon = f } }

// NewWork returns an attempt. prepare is called once a connection is available, just before the
// first byte is written: it returns the request, or a reason to refuse it. done is called
// once in any case, when the target has finished with the request; for a cancelled request
// that may be after the reply.
func NewWork(prepare func() (Request, result.Reason), done func(), opts ...WorkOption) Work {
	w := Work{prepare: prepare, done: done, abandon: done}
	for _, o := range opts {
		o(&w)
	}
	return w
}

// Prepare returns the request, or a reason to refuse it.
func (w Work) Prepare() (Request, result.Reason) { return w.prepare() }

// Ended reports that the target has finished with the request.
func (w Work) Ended() { w.done() }

// Abandoned reports that nothing waits for the target any longer, which may still run the
// request.
func (w Work) Abandoned() { w.abandon() }
