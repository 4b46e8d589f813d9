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

// Time limits of a graceful shutdown.
const (
	// leaveTimeout bounds the handover of ownership and the draining of the target. In-flight
	// requests have deadlines of their own, which are shorter.
	leaveTimeout = 60 * time.Second
	// responseTimeout bounds the responses to connected callers if no grace time is set.
	responseTimeout = 10 * time.Second
	// peersShutdownTimeout bounds the responses to other daemons, adminShutdownTimeout those to operators.
	peersShutdownTimeout = 500 * time.Millisecond
	adminShutdownTimeout = time.Second
	// minShutdownTimeout is the lower limit of both when a grace time shortens them.
	minShutdownTimeout = 250 * time.Millisecond
	// leaderTransferWait gives the leader of the control group time to transfer leadership before the
	// ports close.
	leaderTransferWait = 300 * time.Millisecond
)

const (
	// lameDuckPeriod is how long the daemon serves callers as usual while its readiness check fails, so
	// that they notice. For connectionClosePeriod after that it accepts new connections, but closes each
	// one after its next response.
	lameDuckPeriod        = 2200 * time.Millisecond
	connectionClosePeriod = 400 * time.Millisecond
	// graceForRequests is the part of the grace time that is reserved for callers' requests.
	// graceForExit is reserved for the exit of the process; a short grace time reserves
	// 1/exitShare of itself instead.
	graceForRequests = 2500 * time.Millisecond
	graceForExit     = 700 * time.Millisecond
	exitShare        = 6
	// The following divide a grace time that is too short for the periods above. The handover gets
	// at least 1/leaveShare of it. Of the time until the last response, the lame-duck period gets at
	// most lameDuckShare/(lameDuckShare+1), and closing connections gets at most 1/connectionCloseShare
	// of the rest.
	leaveShare           = 3
	lameDuckShare        = 2
	connectionCloseShare = 4
)

// shutdown is a graceful shutdown in progress. Its grace time is fixed when it starts; later changes
// of the settings don't affect it.
type shutdown struct {
	startedAt time.Time
	grace     time.Duration // 0 if the shutdown has no overall limit
}

// stop shuts the daemon down gracefully. Leaving the control group and draining the callers run in
// parallel; the remaining ports close after both, or at the response deadline if a grace time is set.
func (d *Daemon) stop() error {
	s := shutdown{startedAt: time.Now(), grace: d.settings.Load().Timings().StopGrace().Duration()}
	d.logger().WithField("grace_ms", s.grace.Milliseconds()).Info("serve: planned stop begins")
	d.stopping.Store(true)
	handedOver, drained := make(chan struct{}), make(chan struct{})
	go d.runStep(s, handedOver, "handover finished", func() {
		sleepUntil(s.startedAt.Add(d.leaveDelay(s)))
		d.leaveGroup(s)
	})
	go d.runStep(s, drained, "caller connections closed", func() { d.stopFront(s) })
	<-handedOver
	s.awaitUntilDeadline(drained)
	err := d.stopEntry()
	d.awaitTargetDrained(s.responseDeadline())
	d.stopServers(s)
	<-drained
	d.progressLogger(s).Info("serve: planned stop is done")
	return err
}

// runStep runs one step of the shutdown, logs the message once it is complete, and closes done, also after a
// panic in the step.
func (d *Daemon) runStep(s shutdown, done chan struct{}, message string, f func()) {
	defer close(done)
	if crash.Catch(d.logger(), "stop", f) == nil {
		d.progressLogger(s).Info("serve: " + message)
	}
}

// awaitUntilDeadline waits for a step of the shutdown, at most until the response deadline if a grace
// time is set.
func (s shutdown) awaitUntilDeadline(done chan struct{}) {
	if s.grace == 0 {
		<-done
		return
	}
	select {
	case <-done:
	case <-time.After(time.Until(s.responseDeadline())):
	}
}

// stopEntry closes the connections of callers that use the daemon's own protocol.
func (d *Daemon) stopEntry() error {
	if d.entry == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	return d.entry.Shutdown(ctx)
}

// progressLogger returns a log entry with the progress of the shutdown.
func (d *Daemon) progressLogger(s shutdown) *logrus.Entry {
	e := d.logger().WithField("took_ms", time.Since(s.startedAt).Milliseconds()).WithField("in_flight", d.owner.InFlight().Total())
	if d.front != nil {
		e = e.WithField("busy_callers", d.front.ActiveConnections())
	}
	return e
}

// leaveDelay returns how long the target keeps serving after the shutdown began. Callers need some time
// to move to other instances anyway, and the remaining targets would have to take over its load. The
// delay is at most half of the grace time that is not reserved for callers' requests.
func (d *Daemon) leaveDelay(s shutdown) time.Duration {
	if d.front == nil || s.grace == 0 {
		return 0
	}
	return min(lameDuckPeriod, max(0, s.grace-graceForRequests)/2)
}

// leaveGroup hands over the shards of this daemon and its leadership of the control group. A daemon
// without a port for callers is not a member and owns nothing.
func (d *Daemon) leaveGroup(s shutdown) {
	timeout := leaveTimeout
	if s.grace > 0 {
		timeout = min(timeout, time.Until(s.startedAt.Add(max(s.grace-graceForRequests, s.grace/leaveShare))))
	}
	if d.callersPort != nil {
		d.post(agent.StopRequested{})
		select {
		case <-d.lifecycle.stopped:
		case <-d.loop.Done():
			d.logger().Warn("serve: control loop has ended; ownership is not handed over and expires with the lease")
			return
		case <-time.After(timeout):
			d.logger().Warn("serve: handover did not finish in time")
		}
	}
	if v := d.loop.View(); v.Sessions() > 0 {
		d.loop.Post(ctrl.TransferRequested{})
		time.Sleep(leaderTransferWait)
	}
}

// stopFront serves callers for the lame-duck period, so that they notice that the daemon is not ready,
// then has each connection closed after its next response, and at last accepts no new ones. It does
// not wait for the handover, since a request accepted late could outlast the grace time.
func (d *Daemon) stopFront(s shutdown) {
	if d.front == nil {
		return
	}
	end := s.responseDeadline()
	lameDuck := min(lameDuckPeriod, end.Sub(s.startedAt)*lameDuckShare/(lameDuckShare+1))
	sleepUntil(s.startedAt.Add(lameDuck))
	d.progressLogger(s).Info("serve: closing each caller connection after its next response")
	d.front.DisableKeepAlives()
	sleepUntil(s.startedAt.Add(lameDuck + min(connectionClosePeriod, (end.Sub(s.startedAt)-lameDuck)/connectionCloseShare)))
	d.progressLogger(s).Info("serve: no longer accepting callers")
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	d.front.Shutdown(ctx)
}

// responseDeadline returns when the last response to a caller is due.
func (s shutdown) responseDeadline() time.Time {
	if s.grace > 0 {
		return s.startedAt.Add(s.grace - min(graceForExit, s.grace/exitShare))
	}
	return s.startedAt.Add(responseTimeout)
}

// limit bounds a time-out of the remaining servers by the time left until the response deadline, but not
// below minShutdownTimeout.
func (s shutdown) limit(timeout time.Duration) time.Duration {
	if s.grace == 0 {
		return timeout
	}
	return min(timeout, max(minShutdownTimeout, time.Until(s.responseDeadline())))
}

// awaitTargetDrained waits, at most until end, for the requests that other daemons forwarded to the target.
func (d *Daemon) awaitTargetDrained(end time.Time) {
	drained := make(chan struct{})
	d.owner.InFlight().OnAllDrained(func() { close(drained) })
	select {
	case <-drained:
	case <-time.After(time.Until(end)):
		d.logger().WithField("in_flight", d.owner.InFlight().Total()).Warn("serve: target still has requests in flight from other daemons")
	}
}

func sleepUntil(t time.Time) {
	if left := time.Until(t); left > 0 {
		time.Sleep(left)
	}
}

// stopServers closes the remaining ports. At this point only responses to other daemons can still be in
// transit; the streams between replicas never end by themselves and are cut.
func (d *Daemon) stopServers(s shutdown) {
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() { _ = d.admin.ShutdownWithTimeout(s.limit(adminShutdownTimeout)) })
	cut := time.AfterFunc(s.limit(peersShutdownTimeout), d.peers.Stop)
	defer cut.Stop()
	d.peers.GracefulStop()
}
