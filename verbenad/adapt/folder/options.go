package folder

import (
	"github.com/sirupsen/logrus"

	"verbenabank/core/clock"
)

// Option configures a Watcher.
type Option func(*Watcher)

// WithPath sets the path of the folder. It is required.
func WithPath(path string) Option { return func(w *Watcher) { w.path = path } }

// WithOnProposal sets the callback for proposals. It runs on the watcher's goroutine,
// which handles no changes until it returns.
func WithOnProposal(onProposal func(Proposal)) Option {
	return func(w *Watcher) { w.onProposal = onProposal }
}

// WithLog sets the logger for faults of the files and for proposals.
func WithLog(log *logrus.Entry) Option { return func(w *Watcher) { w.log = log } }

// WithDebounce sets how long the folder must be unchanged before it is read.
func WithDebounce(d clock.Millis) Option { return func(w *Watcher) { w.debounce = d } }

// WithRescanInterval sets how often the folder is checked for changes that the system
// did not report, such as those of files behind symbolic links.
func WithRescanInterval(d clock.Millis) Option {
	return func(w *Watcher) { w.rescanInterval = d }
}

// WithRetryDelay sets the delay before an undecided proposal is delivered again.
func WithRetryDelay(d clock.Millis) Option { return func(w *Watcher) { w.retryDelay = d } }
