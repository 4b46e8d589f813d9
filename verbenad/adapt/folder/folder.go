// Package folder watches the configuration folder of a daemon and reports each
// valid configuration whose content differs from the previous one.
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

// Defaults of the options of a Watcher.
const (
	DefaultDebounce       = 100 * clock.Millisecond
	DefaultRescanInterval = 2 * clock.Second
	DefaultRetryDelay     = 250 * clock.Millisecond
)

// maxDebounces limits the debouncing: a folder that keeps changing is read after
// this many debounce intervals.
const maxDebounces = 10

// Proposal is a valid configuration to be proposed to the control group.
type Proposal struct {
	version uint64
	digest  string
	content []byte
}

// Version returns the version number that the operators set in the files.
func (p Proposal) Version() uint64 { return p.version }

// Digest returns the SHA-256 of the content in lower-case hexadecimal.
func (p Proposal) Digest() string { return p.digest }

// Content returns the merged files as canonical JSON. Callers must not modify it.
func (p Proposal) Content() []byte { return p.content }

// Watcher watches one configuration folder. Its methods are safe for concurrent use.
type Watcher struct {
	path           string
	onProposal     func(Proposal)
	log            *logrus.Entry
	clock          *clock.Clock
	debounce       clock.Millis
	rescanInterval clock.Millis
	retryDelay     clock.Millis
	retryRequested chan struct{}
}

// New starts watching a folder, which need not exist yet. The clean-up function
// stops the watcher and waits for a running callback.
func New(opts ...Option) (*Watcher, func(), error) {
	w := &Watcher{
		onProposal: func(Proposal) {}, log: logrus.NewEntry(logrus.StandardLogger()), clock: clock.New(),
		debounce: DefaultDebounce, rescanInterval: DefaultRescanInterval, retryDelay: DefaultRetryDelay,
		retryRequested: make(chan struct{}, 1),
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
		return nil, nil, &Error{op: OpStart, kind: KindNotifyFailed, cause: merry.Wrap(err)}
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

// Retry delivers the last proposal again after the retry delay. It is for proposals
// that were neither accepted nor rejected. It does not block.
func (w *Watcher) Retry() {
	select {
	case w.retryRequested <- struct{}{}:
	default:
	}
}

func newProposal(c confd.Config) Proposal {
	return Proposal{version: c.Rules().Version(), digest: c.Rules().Digest(), content: c.Content()}
}
