package serve

import (
	"sync"

	"verbenabank/verbenad/command/notice"
)

// waiter learns from the control goroutine that a leave or the process is over.
type waiter struct {
	notice  *notice.Receiver
	once    sync.Once
	stopped chan struct{}
	failed  chan error
}

func newWaiter() *waiter {
	return &waiter{stopped: make(chan struct{}), failed: make(chan error, 1)}
}

// Freed tells the target that it may stop.
func (w *waiter) Freed() { w.notice.CompleteWithdrawals() }

// Stopped tells main that the process may end.
func (w *waiter) Stopped() { w.once.Do(func() { close(w.stopped) }) }

// Failed tells main that the process must end.
func (w *waiter) Failed(err error) { w.failed <- err }
