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

// loop is the state of the goroutine of a Watcher.
type loop struct {
	*Watcher
	notifier *fsnotify.Watcher
	settled  *time.Timer
	retried  *time.Timer

	pending bool         // a read is due when settled fires
	since   clock.Millis // the first change after the last read

	watched os.FileInfo // the folder that notifier watches, nil if none
	read    stamp       // the folder as it was read last
	last    *Proposal   // the last offer handed out
	problem string      // the last problem logged, empty if it is over
}

func newLoop(w *Watcher, notifier *fsnotify.Watcher) *loop {
	l := &loop{Watcher: w, notifier: notifier}
	l.settled = stopped()
	l.retried = stopped()
	return l
}

func stopped() *time.Timer {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return t
}

func (l *loop) run(ctx context.Context) {
	rescan := time.NewTicker(l.rescan.Duration())
	defer rescan.Stop()
	defer l.settled.Stop()
	defer l.retried.Stop()
	l.watch()
	l.scan()
	events, errs := l.notifier.Events, l.notifier.Errors
	for {
		select {
		case <-ctx.Done():
			return
		case e, open := <-events:
			if !open {
				events = nil
				continue
			}
			l.notice(e)
		case err, open := <-errs:
			if !open {
				errs = nil
				continue
			}
			l.report(&Error{op: OpWatch, kind: KindNotify, cause: merry.Wrap(err)})
			l.touch()
		case <-rescan.C:
			l.watch()
			l.compare()
		case <-l.settled.C:
			l.pending = false
			l.watch()
			l.scan()
		case <-l.again:
			l.retried.Reset(l.retry.Duration())
		case <-l.retried.C:
			l.handOut()
		}
	}
}

// notice has the folder read once it settled, and watched anew if the folder
// itself was moved or removed.
func (l *loop) notice(e fsnotify.Event) {
	if e.Name == l.path && e.Has(fsnotify.Remove|fsnotify.Rename) {
		l.watched = nil
		l.watch()
	}
	if e.Has(fsnotify.Chmod) && !e.Has(fsnotify.Write) {
		l.compare()
		return
	}
	l.touch()
}

// touch has the folder read when it has been unchanged for the settle span, or
// after several such spans if it never is.
func (l *loop) touch() {
	now := l.clock.Now()
	if !l.pending {
		l.pending, l.since = true, now
	}
	if now.Sub(l.since) < maxSettles*l.settle {
		l.settled.Reset(l.settle.Duration())
	}
}

// watch makes the notifier watch the folder that now has the path.
func (l *loop) watch() {
	info, err := os.Stat(l.path)
	if err != nil {
		l.report(gone(err))
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
		l.report(&Error{op: OpWatch, kind: KindNotify, cause: merry.Wrap(err)})
		return
	}
	l.watched = info
	l.touch()
}

// compare has the folder read if it is not as it was read last.
func (l *loop) compare() {
	now, err := look(l.path)
	if err == nil && !now.equal(l.read) {
		l.touch()
	}
}

// scan reads the folder and hands out its configuration if it is valid and
// differs from the last one. A folder that changes meanwhile is read again.
func (l *loop) scan() {
	before, err := look(l.path)
	if err != nil {
		l.report(err)
		return
	}
	config, err := confd.Read(l.path)
	after, lookErr := look(l.path)
	if lookErr != nil || !before.equal(after) {
		l.touch()
		return
	}
	l.read = after
	if err != nil {
		l.report(err)
		return
	}
	l.recover()
	if l.last != nil && l.last.digest == config.Rules().Digest() {
		return
	}
	offer := newOffer(config)
	l.last = &offer
	l.handOut()
}

func (l *loop) handOut() {
	if l.last == nil {
		return
	}
	l.log.Infof("folder: offering version %d with digest %.12s", l.last.version, l.last.digest)
	l.offer(*l.last)
}

// report logs a problem unless it was the last one logged.
func (l *loop) report(err error) {
	if err.Error() == l.problem {
		return
	}
	l.problem = err.Error()
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

func (l *loop) recover() {
	if l.problem != "" {
		l.log.Infof("folder: %s is valid again", l.path)
	}
	l.problem = ""
}
