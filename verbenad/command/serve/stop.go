package serve

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"verbenabank/core/command/agent"
	"verbenabank/verbenad/command/crash"
	"verbenabank/verbenad/command/ctrl"
)

// Spans of a planned stop.
const (
	// leaveWithin bounds handing over and draining; requests in flight have
	// deadlines of their own, which are shorter.
	leaveWithin = 60 * time.Second
	// callersWithin bounds the answers to callers that are still connected.
	callersWithin = 10 * time.Second
	// peersWithin bounds what is on its way to other daemons, and adminWithin what operators asked.
	peersWithin = 500 * time.Millisecond
	adminWithin = time.Second
	// serversLeast is what both get at least.
	serversLeast = 250 * time.Millisecond
	// handoverWait gives a leader time to hand over before the ports close.
	handoverWait = 300 * time.Millisecond
)

const (
	// noticeSpan is how long callers may take to see that the daemon is not ready, and
	// partSpan how long they are then asked to end their connections.
	noticeSpan = 2200 * time.Millisecond
	partSpan   = 400 * time.Millisecond
	// graceLeft is the part of the grace time that is kept for callers' requests, and
	// graceLast what is kept for the end of the process: of a short grace time, the last sixth.
	graceLeft = 2500 * time.Millisecond
	graceLast = 700 * time.Millisecond
	lastShare = 6
	// leaveShare, noticeShare and partShare divide a grace time that is shorter than these spans: what
	// leaving gets of it at least; what callers get of the time for answers to see that the daemon
	// is not ready; and what they get of the rest to end their connections.
	leaveShare  = 3
	noticeShare = 2
	partShare   = 4
)

// halt is a planned stop that goes on. Settings that change meanwhile do not change it.
type halt struct {
	begun time.Time
	grace time.Duration // 0 if the stop is not bounded
}

func (d *Daemon) stop() error {
	h := halt{begun: time.Now(), grace: d.settings.Load().Timings().StopGrace().Duration()}
	d.part().WithField("grace_ms", h.grace.Milliseconds()).Info("serve: planned stop begins")
	d.leaving.Store(true)
	left, gone := make(chan struct{}), make(chan struct{})
	go d.step(h, left, "nothing is owned any more", func() {
		pause(h.begun.Add(d.staySpan(h)))
		d.leaveGroup(h)
	})
	go d.step(h, gone, "callers are gone", func() { d.stopFront(h) })
	<-left
	h.await(gone)
	err := d.stopEntry()
	d.awaitTarget(h.lastAnswer())
	d.stopServers(h)
	<-gone
	d.progress(h).Info("serve: planned stop is done")
	return err
}

// step does a part of a planned stop, and closes done after it.
func (d *Daemon) step(h halt, done chan struct{}, what string, f func()) {
	defer close(done)
	if crash.Catch(d.part(), "stop", f) == nil {
		d.progress(h).Info("serve: " + what)
	}
}

// await waits for a part of the stop while requests are answered.
func (h halt) await(done chan struct{}) {
	if h.grace == 0 {
		<-done
		return
	}
	select {
	case <-done:
	case <-time.After(time.Until(h.lastAnswer())):
	}
}

// stopEntry ends the connections of callers of the daemon's own protocol.
func (d *Daemon) stopEntry() error {
	if d.entry == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), callersWithin)
	defer cancel()
	return d.entry.Shutdown(ctx)
}

// progress returns a log entry that tells how far a stop has come.
func (d *Daemon) progress(h halt) *logrus.Entry {
	e := d.part().WithField("took_ms", time.Since(h.begun).Milliseconds()).WithField("in_flight", d.owner.InFlight().Total())
	if d.front != nil {
		e = e.WithField("busy_callers", d.front.ActiveConnections())
	}
	return e
}

// staySpan returns how long the daemon goes on with its target after it was told to stop: its
// callers need a while to go elsewhere anyway, and the target is missed by the others. It is half of the
// time that the grace leaves for the target.
func (d *Daemon) staySpan(h halt) time.Duration {
	if d.front == nil || h.grace == 0 {
		return 0
	}
	return min(noticeSpan, max(0, h.grace-graceLeft)/2)
}

// leaveGroup hands over what the daemon owns and leads. A daemon without a port for callers is no member and owns nothing.
func (d *Daemon) leaveGroup(h halt) {
	within := leaveWithin
	if h.grace > 0 {
		within = min(within, time.Until(h.begun.Add(max(h.grace-graceLeft, h.grace/leaveShare))))
	}
	if d.callersPort != nil {
		d.post(agent.StopRequested{})
		select {
		case <-d.waiter.stopped:
		case <-d.loop.Done():
			d.part().Warn("serve: nobody can hand over what the daemon owns, it lapses")
			return
		case <-time.After(within):
			d.part().Warn("serve: leaving took too long")
		}
	}
	if v := d.loop.View(); v.Sessions() > 0 {
		d.loop.Post(ctrl.TransferRequested{})
		time.Sleep(handoverWait)
	}
}

// stopFront goes on serving callers until they have seen that the daemon is not ready, and
// then ends their connections one by one. It does not wait until the daemon has left: a request that
// is taken on late may outlast the grace time.
func (d *Daemon) stopFront(h halt) {
	if d.front == nil {
		return
	}
	end := h.lastAnswer()
	notice := min(noticeSpan, end.Sub(h.begun)*noticeShare/(noticeShare+1))
	pause(h.begun.Add(notice))
	d.progress(h).Info("serve: callers are asked to go elsewhere")
	d.front.DisableKeepAlives()
	pause(h.begun.Add(notice + min(partSpan, (end.Sub(h.begun)-notice)/partShare)))
	d.progress(h).Info("serve: no callers are taken on any more")
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	d.front.Shutdown(ctx)
}

// lastAnswer returns until when requests are answered.
func (h halt) lastAnswer() time.Time {
	if h.grace > 0 {
		return h.begun.Add(h.grace - min(graceLast, h.grace/lastShare))
	}
	return h.begun.Add(callersWithin)
}

// within bounds a span of the servers' end: they get as much time after the last answer as callers do.
func (h halt) within(span time.Duration) time.Duration {
	if h.grace == 0 {
		return span
	}
	return min(span, max(serversLeast, time.Until(h.lastAnswer())))
}

// awaitTarget waits until the target has answered what other daemons sent it, but not after an instant.
func (d *Daemon) awaitTarget(end time.Time) {
	empty := make(chan struct{})
	d.owner.InFlight().Empty(func() { close(empty) })
	select {
	case <-empty:
	case <-time.After(time.Until(end)):
		d.part().WithField("in_flight", d.owner.InFlight().Total()).Warn("serve: the target is still at work for other daemons")
	}
}

func pause(until time.Time) {
	if left := time.Until(until); left > 0 {
		time.Sleep(left)
	}
}

// stopServers closes the remaining ports. Answers to other daemons are on their way at most; the
// streams of replicas have no end of their own and are cut.
func (d *Daemon) stopServers(h halt) {
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() { _ = d.admin.ShutdownWithTimeout(h.within(adminWithin)) })
	cut := time.AfterFunc(h.within(peersWithin), d.peers.Stop)
	defer cut.Stop()
	d.peers.GracefulStop()
}
