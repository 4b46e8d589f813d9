package serve

import (
	"sync"

	"verbenabank/core/state/grant"
	"verbenabank/verbenad/command/notice"
)

// lifecycle passes what the control goroutine reports about a shutdown to the target and to Run. Its
// methods are for the control goroutine.
type lifecycle struct {
	notice  *notice.Receiver
	once    sync.Once
	stopped chan struct{}
	failed  chan error
}

func newLifecycle() *lifecycle {
	return &lifecycle{stopped: make(chan struct{}), failed: make(chan error, 1)}
}

// HeartbeatAnswered passes on the answer to the heartbeat with the ID.
func (l *lifecycle) HeartbeatAnswered(id uint64, a grant.Answer) { l.notice.Answer(id, a) }

// TargetReleased responds to the target's withdrawal: it has no requests in flight, gets no new ones and may
// stop.
func (l *lifecycle) TargetReleased() { l.notice.CompleteWithdrawals() }

// Stopped reports that the agent has left the group, so that the process may end. Repeated calls have no
// effect.
func (l *lifecycle) Stopped() { l.once.Do(func() { close(l.stopped) }) }

// Failed reports that the control goroutine has failed, so that the process must end. It is called at
// most once.
func (l *lifecycle) Failed(err error) { l.failed <- err }
