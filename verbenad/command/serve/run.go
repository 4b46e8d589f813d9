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

// adminBodyBytes is the largest body that the admin server takes.
const adminBodyBytes = 8 << 20

// Run serves until ctx ends, then stops gracefully: the daemon hands over what it
// owns, finishes what is in flight, and closes its ports last. It stops in the same way,
// and returns an error, if a part of it ended by itself.
func (d *Daemon) Run(ctx context.Context) error {
	ended := make(chan error, 5)
	d.start(ended)
	if d.callersPort != nil {
		d.uplink.Start(d.post)
	}
	d.part().Info("serve: daemon is up")
	select {
	case <-ctx.Done():
		return d.stop()
	case err := <-d.waiter.failed:
		return d.stopAfter(err)
	case err := <-ended:
		return d.stopAfter(&Error{op: "run", kind: Ended, cause: err})
	}
}

// stopAfter stops after a part of the daemon ended, and returns why it did: requests in flight need
// the other parts only.
func (d *Daemon) stopAfter(err error) error {
	d.part().WithError(err).Error("serve: a part of the daemon ended")
	return errors.Join(err, d.stop())
}

// start runs the control goroutine and the servers.
func (d *Daemon) start(ended chan error) {
	d.group.Go(func() { _ = d.loop.Run(d.life) })
	d.run(ended, "measure", func() error { measure(d.life, d.owner, d.loop); return nil })
	d.run(ended, "watch leases", func() error { d.owner.WatchLeases(d.life); return nil })
	d.run(ended, "prolong leases", func() error { d.owner.ExtendLeases(d.life); return nil })
	d.run(ended, "follow daemons", func() error { d.hops.WatchMembers(d.life, d.cell); return nil })
	d.run(ended, "serve daemons", func() error { return d.peers.Serve(d.peersPort) })
	switch {
	case d.entry != nil:
		d.run(ended, "serve callers", func() error { return d.entry.Serve(d.callersPort) })
	case d.front != nil:
		d.run(ended, "serve callers", func() error { return d.front.Serve(d.callersPort) })
	}
	if d.readyPort != nil {
		d.run(ended, "serve readiness", func() error {
			return d.ready.Listener(d.readyPort, fiber.ListenConfig{DisableStartupMessage: true})
		})
	}
	d.run(ended, "serve operators", func() error {
		return d.admin.Listener(d.adminPort, fiber.ListenConfig{DisableStartupMessage: true})
	})
}

// run runs a part of the daemon. A panic in it counts as its end.
func (d *Daemon) run(ended chan error, part string, f func() error) {
	d.group.Go(func() { d.report(ended, crash.Call(d.part(), part, f)) })
}

// report passes on the end of a server that was not asked to end.
func (d *Daemon) report(ended chan error, err error) {
	if err == nil || errors.Is(err, grpc.ErrServerStopped) || errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return
	}
	select {
	case ended <- err:
	default: // the daemon stops for another one
	}
}

// Reload takes over settings that may change while the daemon runs: where control replicas
// are, and what is known of the target.
func (d *Daemon) Reload(s config.Settings) {
	old := d.settings.Swap(&s)
	replicas := make([]string, 0, len(s.Replicas()))
	for _, r := range s.Replicas() {
		replicas = append(replicas, r.String())
	}
	d.seeds.Reload(replicas)
	d.part().WithField("replicas", replicas).WithField("was", old.Replicas()).Info("serve: settings reloaded")
}

// audit returns the audit trail, from this replica or from another.
func (d *Daemon) audit() ([]fleet.Record, error) {
	v := d.loop.View()
	if _, ok := v.Status(); ok {
		return v.Fleet().Audit(), nil
	}
	return d.client.Audit(d.life)
}
