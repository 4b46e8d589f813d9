package folder

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fsnotify/fsnotify"

	"verbenabank/core/clock"
	"verbenabank/core/wire/confd"
)

// loop is the state of the goroutine of a Watcher. Only that goroutine uses it.
type loop struct {
	*Watcher
	notifier      *fsnotify.Watcher
	debounceTimer *time.Timer
	retryTimer    *time.Timer

	pending     bool         // the folder is to be read when debounceTimer fires
	firstChange clock.Millis // time of the first change that is not yet read

	watched      os.FileInfo // the folder that notifier watches, nil if none
	lastRead     fingerprint // fingerprint of the folder when it was last read
	lastProposal *Proposal   // last configuration delivered, nil if none
	lastError    string      // text of the error logged last, empty once the folder is valid
}

func newLoop(w *Watcher, notifier *fsnotify.Watcher) *loop {
	l := &loop{Watcher: w, notifier: notifier}
	l.debounceTimer = stoppedTimer()
	l.retryTimer = stoppedTimer()
	return l
}

func stoppedTimer() *time.Timer {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return t
}

func (l *loop) run(ctx context.Context) {
	rescan := time.NewTicker(l.rescanInterval.Duration())
	defer rescan.Stop()
	defer l.debounceTimer.Stop()
	defer l.retryTimer.Stop()
	l.watch()
	l.readFolder()
	events, errs := l.notifier.Events, l.notifier.Errors
	for {
		select {
		case <-ctx.Done():
			return
		case e, ok := <-events:
			if !ok {
				events = nil
				continue
			}
			l.handleEvent(e)
		case err, ok := <-errs:
			if !ok {
				errs = nil
				continue
			}
			l.logError(&Error{op: OpWatch, kind: KindNotifyFailed, cause: merry.Wrap(err)})
			l.scheduleRead()
		case <-rescan.C:
			l.watch()
			l.readIfChanged()
		case <-l.debounceTimer.C:
			l.pending = false
			l.watch()
			l.readFolder()
		case <-l.retryRequested:
			l.retryTimer.Reset(l.retryDelay.Duration())
		case <-l.retryTimer.C:
			l.deliver()
		}
	}
}

// handleEvent schedules a read of the folder. If the folder itself was moved or
// removed, it watches the folder that is now at the path. A change of permissions
// alone matters only if the fingerprint changed.
func (l *loop) handleEvent(e fsnotify.Event) {
	if e.Name == l.path && e.Has(fsnotify.Remove|fsnotify.Rename) {
		l.watched = nil
		l.watch()
	}
	if e.Has(fsnotify.Chmod) && !e.Has(fsnotify.Write) {
		l.readIfChanged()
		return
	}
	l.scheduleRead()
}

// scheduleRead restarts the debounce timer. A folder that keeps changing is still
// read: after maxDebounces intervals the timer is not restarted any more.
func (l *loop) scheduleRead() {
	now := l.clock.Now()
	if !l.pending {
		l.pending, l.firstChange = true, now
	}
	if now.Sub(l.firstChange) < maxDebounces*l.debounce {
		l.debounceTimer.Reset(l.debounce.Duration())
	}
}

// watch makes the notifier watch the folder that is now at the path. It compares
// inodes, since the folder or a symbolic link in its path may have been replaced.
func (l *loop) watch() {
	info, err := os.Stat(l.path)
	if err != nil {
		l.logError(unreadable(err))
		return
	}
	if l.watched != nil && os.SameFile(info, l.watched) {
		return
	}
	if l.watched != nil {
		_ = l.notifier.Remove(l.path)
	}
	if err := l.notifier.Add(l.path); err != nil {
		l.watched = nil
		l.logError(&Error{op: OpWatch, kind: KindNotifyFailed, cause: merry.Wrap(err)})
		return
	}
	l.watched = info
	l.scheduleRead()
}

// readIfChanged schedules a read if the fingerprint differs from that of the last read.
func (l *loop) readIfChanged() {
	current, err := takeFingerprint(l.path)
	if err == nil && !current.equal(l.lastRead) {
		l.scheduleRead()
	}
}

// readFolder reads the folder and delivers its configuration if it is valid and
// differs from the last one. If the fingerprint changes during the read, the result
// may mix old and new files: it is dropped and the folder is read again.
func (l *loop) readFolder() {
	before, err := takeFingerprint(l.path)
	if err != nil {
		l.logError(err)
		return
	}
	config, err := confd.Read(l.path)
	after, afterErr := takeFingerprint(l.path)
	if afterErr != nil || !before.equal(after) {
		l.scheduleRead()
		return
	}
	l.lastRead = after
	if err != nil {
		l.logError(err)
		return
	}
	l.clearError()
	if l.lastProposal != nil && l.lastProposal.digest == config.Rules().Digest() {
		return
	}
	proposal := newProposal(config)
	l.lastProposal = &proposal
	l.deliver()
}

// deliver passes the last valid configuration to the callback, if there is one.
func (l *loop) deliver() {
	if l.lastProposal == nil {
		return
	}
	l.log.Infof("folder: offering version %d with digest %.12s", l.lastProposal.version, l.lastProposal.digest)
	l.onProposal(*l.lastProposal)
}

// logError logs an error, one line per fault, unless it is the same as the last one.
func (l *loop) logError(err error) {
	if err.Error() == l.lastError {
		return
	}
	l.lastError = err.Error()
	var e *confd.Error
	if !errors.As(err, &e) || len(e.Faults()) == 0 {
		l.log.Errorf("folder: %v; the last valid configuration stays", err)
		return
	}
	for _, f := range e.Faults() {
		l.log.Errorf("folder: %s", f)
	}
	l.log.Errorf("folder: %s has %d faults; the last valid configuration stays", l.path, len(e.Faults()))
}

// clearError logs that the folder is valid again if an error was logged before.
func (l *loop) clearError() {
	if l.lastError != "" {
		l.log.Infof("folder: %s is valid again", l.path)
	}
	l.lastError = ""
}
