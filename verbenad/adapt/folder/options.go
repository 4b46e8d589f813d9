package folder

import (
	"github.com/sirupsen/logrus"

	"verbenabank/core/clock"
)

// Option sets one property of a Watcher.
type Option func(*Watcher)

// WithPath sets the path of the folder.
func WithPath(path string) Option { return func(w *Watcher) { w.path = path } }

// WithOnProposal sets the function that takes offers. It is called from one
// goroutine and must return soon.
func WithOnProposal(offer func(Proposal)) Option { return func(w *Watcher) { w.offer = offer } }

// WithLog sets where faults of the files are logged.
func WithLog(log *logrus.Entry) Option { return func(w *Watcher) { w.log = log } }

// WithSettle sets how long files must be unchanged before they are read.
func WithSettle(span clock.Millis) Option { return func(w *Watcher) { w.settle = span } }

// WithRescan sets how often the folder is looked at even if the system reports
// no change of it.
func WithRescan(span clock.Millis) Option { return func(w *Watcher) { w.rescan = span } }

// WithRetry sets the wait before an undecided offer is handed out again.
func WithRetry(span clock.Millis) Option { return func(w *Watcher) { w.retry = span } }
