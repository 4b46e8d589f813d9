package call

import "verbenabank/core/state/result"

// Work is a request for a target, and what is to happen around it.
type Work struct {
	prepare func() (Request, result.Reason)
	ended   func()
}

// NewWork returns work. prepare is called when there is a connection, just before the
// first byte is written: it returns the request, or a reason to refuse it. ended is called
// once in any case, when the target is done with the request: that may be later than
// the reply, for a request that was given up.
func NewWork(prepare func() (Request, result.Reason), ended func()) Work {
	return Work{prepare: prepare, ended: ended}
}

// Prepare returns the request, or a reason to refuse it.
func (w Work) Prepare() (Request, result.Reason) { return w.prepare() }

// Ended says that the target is done with the request.
func (w Work) Ended() { w.ended() }
