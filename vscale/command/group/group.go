// Package group runs the control replicas under measurement: one process each, which
// syncs its log to disk as in production.
package group

import (
	"crypto/rand"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"verbenabank/verbenad/state/config"
	"verbenabank/vscale/adapt/stat"
)

// Number of replicas, and the ports of each.
const (
	replicas    = 3
	peersPort   = 8090
	adminPort   = 8070
	callersPort = 8080
)

// Election of a leader: how often the replicas are polled, and how long at most.
const (
	pollInterval  = 20 * time.Millisecond
	leaderTimeout = 15 * time.Second
)

// Group is a control group of three replicas. It is not safe for concurrent use.
type Group struct {
	folder     string
	daemonPath string
	subnet     int
	secret     string
	replicas   []*Replica
}

// Option sets one property of a Group.
type Option func(*Group)

// WithFolder sets the folder for settings, data and logs. New removes all that is in
// it.
func WithFolder(path string) Option { return func(g *Group) { g.folder = path } }

// WithDaemonPath sets the path of the verbenad binary.
func WithDaemonPath(path string) Option { return func(g *Group) { g.daemonPath = path } }

// WithSubnet sets the second byte of the loopback addresses.
func WithSubnet(number int) Option { return func(g *Group) { g.subnet = number } }

// New starts the replicas and waits until one is the leader. The function that it
// returns kills them.
func New(opts ...Option) (*Group, func(), error) {
	g := &Group{folder: "run/scale", daemonPath: "bin/verbenad", subnet: 40, secret: rand.Text()}
	for _, o := range opts {
		o(g)
	}
	if err := g.createFolder(); err != nil {
		return nil, nil, err
	}
	for i := range replicas {
		g.replicas = append(g.replicas, &Replica{index: i, address: g.address(i)})
	}
	for _, r := range g.replicas {
		if err := g.start(r); err != nil {
			g.close()
			return nil, nil, err
		}
	}
	if _, err := g.Leader(); err != nil {
		g.close()
		return nil, nil, err
	}
	return g, g.close, nil
}

func (g *Group) address(i int) string { return fmt.Sprintf("127.%d.0.%d", g.subnet, i+1) }

func (g *Group) createFolder() error {
	if err := os.RemoveAll(g.folder); err != nil {
		return fail("remove folder", NotStarted, err)
	}
	if err := os.MkdirAll(g.folder, 0o755); err != nil {
		return fail("create folder", NotStarted, err)
	}
	var err error
	if g.daemonPath, err = filepath.Abs(g.daemonPath); err != nil {
		return fail("find daemon", NotStarted, err)
	}
	if err := os.WriteFile(filepath.Join(g.folder, "secret"), []byte(g.secret), 0o600); err != nil {
		return fail("write secret", NotStarted, err)
	}
	return nil
}

// PeersAddresses returns the addresses at which the replicas accept daemons and each
// other.
func (g *Group) PeersAddresses() []string {
	var list []string
	for _, r := range g.replicas {
		list = append(list, r.peersAddress())
	}
	return list
}

// Settings returns settings with only the shared secret of the group set.
func (g *Group) Settings() config.Settings { return config.New(config.WithSecret([]byte(g.secret))) }

// Leader waits until a replica is the leader and has a session, at least that of its
// own daemon, and returns it. It fails after 15 s.
func (g *Group) Leader() (*Replica, error) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for deadline := time.Now().Add(leaderTimeout); time.Now().Before(deadline); <-ticker.C {
		for _, r := range g.replicas {
			if m, err := stat.ReadMetrics(r.adminAddress()); err == nil && m.Sessions() > 0 {
				return r, nil
			}
		}
	}
	return nil, fail("find leader", NoLeader, nil)
}

// Followers returns all replicas but the leader.
func (g *Group) Followers(leader *Replica) []*Replica {
	var list []*Replica
	for _, r := range g.replicas {
		if r != leader {
			list = append(list, r)
		}
	}
	return list
}

// Kill ends a replica with SIGKILL, as a crash.
func (g *Group) Kill(r *Replica) { r.kill() }

// Restart starts a killed replica with its data.
func (g *Group) Restart(r *Replica) error { return g.start(r) }

func (g *Group) close() {
	for _, r := range g.replicas {
		r.kill()
	}
}
