// Package folder watches the configuration folder of a daemon and hands out
// each checked configuration that differs from the last one.
package folder

import (
	"context"
	"path/filepath"

	"github.com/ansel1/merry/v2"
	"github.com/fsnotify/fsnotify"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"verbenabank/core/clock"
	"verbenabank/core/wire/confd"
)

// Waits of a watcher that its options do not set.
const (
	DefaultSettle = 100 * clock.Millisecond
	DefaultRescan = 2 * clock.Second
	DefaultRetry  = 250 * clock.Millisecond
)

// maxSettles is after how many settle spans a folder is read although files in
// it still change.
const maxSettles = 10

// Proposal is one checked configuration to be offered to the control replicas.
type Proposal struct {
	version uint64
	digest  string
	content []byte
}

// Version returns the number that the operators gave the configuration.
func (o Proposal) Version() uint64 { return o.version }

// Digest returns the SHA-256 of the content in lower-case hexadecimal.
func (o Proposal) Digest() string { return o.digest }

// Content returns the merged files as canonical JSON. Callers must not change
// it.
func (o Proposal) Content() []byte { return o.content }

// Watcher watches one folder. Its methods are safe for concurrent use.
type Watcher struct {
	path   string
	offer  func(Proposal)
	log    *logrus.Entry
	clock  *clock.Clock
	settle clock.Millis
	rescan clock.Millis
	retry  clock.Millis
	again  chan struct{}
}

// New starts to watch a folder, which need not exist yet. The clean-up function
// returns after the last offer was handed out.
func New(opts ...Option) (*Watcher, func(), error) {
	w := &Watcher{
		offer: func(Proposal) {}, log: logrus.NewEntry(logrus.StandardLogger()), clock: clock.New(),
		settle: DefaultSettle, rescan: DefaultRescan, retry: DefaultRetry,
		again: make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(w)
	}
	if w.path == "" {
		return nil, nil, &Error{op: OpStart, kind: KindNoPath}
	}
	w.path = filepath.Clean(w.path)
	notifier, err := fsnotify.NewWatcher()
	if err != nil {
		return nil, nil, &Error{op: OpStart, kind: KindNotify, cause: merry.Wrap(err)}
	}
	ctx, cancel := context.WithCancel(context.Background())
	loop := newLoop(w, notifier)
	var group conc.WaitGroup
	group.Go(func() { loop.run(ctx) })
	stop := func() {
		cancel()
		group.Wait()
		_ = notifier.Close()
	}
	return w, stop, nil
}

// Retry hands out the last offer once more after a short wait. It is for offers
// whose outcome was undecided.
func (w *Watcher) Retry() {
	select {
	case w.again <- struct{}{}:
	default:
	}
}

func newOffer(c confd.Config) Proposal {
	return Proposal{version: c.Rules().Version(), digest: c.Rules().Digest(), content: c.Content()}
}
