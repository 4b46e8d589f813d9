package serve

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/gofiber/fiber/v3"
	"google.golang.org/grpc"

	"verbenabank/core/state/fleet"
	"verbenabank/verbenad/command/crash"
	"verbenabank/verbenad/state/config"
)

const (
	// maxAdminBodyBytes limits the body of a request to the admin server.
	maxAdminBodyBytes = 8 << 20
	// adminHeadBytes limits the head of a request to the admin server.
	adminHeadBytes = 4 << 10
	// maxAdminConnections limits the connections to the admin server, and to that for readiness checks.
	maxAdminConnections = 512
	// readyBodyBytes limits the body of a readiness check.
	readyBodyBytes = 4 << 10
)

// Run serves until ctx ends, then shuts down gracefully: the daemon hands over its ownership, finishes
// the requests in flight, and closes its ports last. If a component fails, it shuts down in the same way
// and returns the error.
func (d *Daemon) Run(ctx context.Context) error {
	ended := make(chan error, 5)
	d.startComponents(ended)
	if d.callersPort != nil {
		d.uplink.Start(d.post)
	}
	d.logger().Info("serve: daemon is up")
	select {
	case <-ctx.Done():
		return d.stop()
	case err := <-d.lifecycle.failed:
		return d.stopAfter(err)
	case err := <-ended:
		return d.stopAfter(&Error{op: "run", kind: ComponentEnded, cause: err})
	}
}

// stopAfter shuts down gracefully after a component failed, and returns err. The requests in flight can
// still finish, since they only need the other components.
func (d *Daemon) stopAfter(err error) error {
	d.logger().WithError(err).Error("serve: a component of the daemon failed")
	return errors.Join(err, d.stop())
}

// startComponents starts the control goroutine, the background tasks of traffic and the servers.
func (d *Daemon) startComponents(ended chan error) {
	d.group.Go(func() { _ = d.loop.Run(d.ctx) })
	d.runComponent(ended, "measure", func() error { reportLoad(d.ctx, d.owner, d.loop); return nil })
	d.runComponent(ended, "measure waits", func() error { d.measureWaits(); return nil })
	d.runComponent(ended, "watch leases", func() error { d.owner.WatchLeases(d.ctx); return nil })
	d.runComponent(ended, "extend leases", func() error { d.owner.ExtendLeases(d.ctx); return nil })
	d.runComponent(ended, "close connections to removed members", func() error { d.hopClient.WatchMembers(d.ctx, d.snapshots); return nil })
	d.runComponent(ended, "serve peers", func() error { return d.peers.Serve(d.peersPort) })
	switch {
	case d.entry != nil:
		d.runComponent(ended, "serve callers", func() error { return d.entry.Serve(d.callersPort) })
	case d.front != nil:
		d.runComponent(ended, "serve callers", func() error { return d.front.Serve(d.callersPort) })
	}
	if d.readyPort != nil {
		d.runComponent(ended, "serve readiness", func() error {
			return d.ready.Listener(d.readyPort, fiber.ListenConfig{DisableStartupMessage: true})
		})
	}
	d.runComponent(ended, "serve admin", func() error {
		return d.admin.Listener(d.adminPort, fiber.ListenConfig{DisableStartupMessage: true})
	})
}

// runComponent runs a component of the daemon in its own goroutine. A panic in it counts as an error.
func (d *Daemon) runComponent(ended chan error, name string, f func() error) {
	d.group.Go(func() { d.reportEnd(ended, crash.Call(d.logger(), name, f)) })
}

// reportEnd sends on the error of a component, unless it ended because of the shutdown.
func (d *Daemon) reportEnd(ended chan error, err error) {
	if err == nil || errors.Is(err, grpc.ErrServerStopped) || errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return
	}
	select {
	case ended <- err:
	default: // the daemon already stops because of other errors
	}
}

// Reload applies the settings that may change while the daemon runs: the addresses of the control
// replicas, the service of the target and the grace time.
func (d *Daemon) Reload(s config.Settings) {
	old := d.settings.Swap(&s)
	replicas := make([]string, 0, len(s.Replicas()))
	for _, r := range s.Replicas() {
		replicas = append(replicas, r.String())
	}
	d.seeds.Reload(replicas)
	d.logger().WithField("replicas", replicas).WithField("was", old.Replicas()).Info("serve: settings reloaded")
}

// audit returns the audit trail, from this daemon's replica if it has one, else from another replica.
func (d *Daemon) audit() ([]fleet.Record, error) {
	v := d.loop.View()
	if _, ok := v.Status(); ok {
		return v.Fleet().Audit(), nil
	}
	return d.controlClient.Audit(d.ctx)
}
