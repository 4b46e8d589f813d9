package serve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gofiber/fiber/v3"
	"google.golang.org/grpc"

	"verbenabank/core/command/agent"
	"verbenabank/core/state/fleet"
	"verbenabank/verbenad/command/ctrl"
)

// Spans of a planned stop.
const (
	// leaveWithin bounds handing over and draining; requests in flight have
	// deadlines of their own, which are shorter.
	leaveWithin = 60 * time.Second
	// callersWithin bounds the answers to callers that are still connected.
	callersWithin = 10 * time.Second
	// peersWithin bounds the answers to other daemons.
	peersWithin = 500 * time.Millisecond
	// handoverWait gives a leader time to hand over before the ports close.
	handoverWait = 300 * time.Millisecond
)

// adminBodyBytes is the largest body that the admin server takes.
const adminBodyBytes = 64 << 10

// Run serves until ctx ends, then stops gracefully: the daemon hands over what it
// owns, finishes what is in flight, and closes its ports last. It returns an error
// if the process had to end by itself.
func (d *Daemon) Run(ctx context.Context) error {
	ended := make(chan error, 4)
	d.start(ended)
	d.uplink.Start(d.post)
	d.part().Info("serve: daemon is up")
	select {
	case <-ctx.Done():
		return d.stop()
	case err := <-d.waiter.failed:
		return err
	case err := <-ended:
		return &Error{op: "run", kind: Ended, cause: err}
	}
}

// start runs the control goroutine and the servers.
func (d *Daemon) start(ended chan error) {
	d.group.Go(func() { _ = d.loop.Run(d.life) })
	d.group.Go(func() { measure(d.life, d.owner, d.loop) })
	d.group.Go(func() { d.owner.Watch(d.life) })
	d.group.Go(func() { d.owner.Prolong(d.life) })
	d.group.Go(func() { d.hops.Follow(d.life, d.cell) })
	d.group.Go(func() { d.report(ended, d.peers.Serve(d.peersPort)) })
	d.group.Go(func() { d.report(ended, d.entry.Serve(d.callersPort)) })
	d.group.Go(func() {
		d.report(ended, d.admin.Listener(d.adminPort, fiber.ListenConfig{DisableStartupMessage: true}))
	})
}

// report passes on the end of a server that was not asked to end.
func (d *Daemon) report(ended chan error, err error) {
	if err == nil || errors.Is(err, grpc.ErrServerStopped) || errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return
	}
	ended <- err
}

func (d *Daemon) stop() error {
	d.part().Info("serve: planned stop begins")
	d.post(agent.StopAsked{})
	select {
	case <-d.waiter.stopped:
	case <-time.After(leaveWithin):
		d.part().Warn("serve: leaving took too long")
	}
	if v := d.loop.View(); v.Sessions() > 0 {
		d.loop.Post(ctrl.Handover{})
		time.Sleep(handoverWait)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callersWithin)
	defer cancel()
	err := d.entry.Shutdown(ctx)
	d.stopServers()
	d.part().Info("serve: planned stop is done")
	return err
}

// stopServers closes the remaining ports. Requests of other daemons are answered;
// the streams of replicas have no end of their own and are cut.
func (d *Daemon) stopServers() {
	_ = d.admin.ShutdownWithTimeout(time.Second)
	cut := time.AfterFunc(peersWithin, d.peers.Stop)
	defer cut.Stop()
	d.peers.GracefulStop()
}

// audit returns the audit trail, from this replica or from another.
func (d *Daemon) audit() ([]fleet.Record, error) {
	v := d.loop.View()
	if _, ok := v.Status(); ok {
		return v.Fleet().Audit(), nil
	}
	return d.client.Audit(d.life)
}
