// Package group runs the control replicas that are measured as processes of
// their own with synced disks.
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

// Ports and counts of the group.
const (
	replicas  = 3
	peersPort = 8090
	adminPort = 8070
	entryPort = 8080
)

// Spans of waiting in milliseconds.
const (
	lookEvery  = 20 * time.Millisecond
	leadWithin = 15 * time.Second
)

// Group is three control replicas. It is for one goroutine only.
type Group struct {
	folder   string
	daemon   string
	subnet   int
	secret   string
	replicas []*Replica
}

// Option sets one property of a Group.
type Option func(*Group)

// WithFolder sets the folder of settings, data and logs; what it holds of an
// earlier run is removed.
func WithFolder(path string) Option { return func(g *Group) { g.folder = path } }

// WithDaemon sets the path of verbenad.
func WithDaemon(path string) Option { return func(g *Group) { g.daemon = path } }

// WithSubnet sets the second byte of the loopback addresses.
func WithSubnet(number int) Option { return func(g *Group) { g.subnet = number } }

// New starts the replicas and waits until one leads. The clean-up function kills
// them.
func New(opts ...Option) (*Group, func(), error) {
	g := &Group{folder: "run/scale", daemon: "bin/verbenad", subnet: 40, secret: rand.Text()}
	for _, o := range opts {
		o(g)
	}
	if err := g.prepare(); err != nil {
		return nil, nil, err
	}
	for i := range replicas {
		g.replicas = append(g.replicas, &Replica{number: i, address: g.address(i)})
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

func (g *Group) prepare() error {
	if err := os.RemoveAll(g.folder); err != nil {
		return fail("clear folder", NotStarted, err)
	}
	if err := os.MkdirAll(g.folder, 0o755); err != nil {
		return fail("make folder", NotStarted, err)
	}
	var err error
	if g.daemon, err = filepath.Abs(g.daemon); err != nil {
		return fail("find daemon", NotStarted, err)
	}
	if err := os.WriteFile(filepath.Join(g.folder, "secret"), []byte(g.secret), 0o600); err != nil {
		return fail("write secret", NotStarted, err)
	}
	return nil
}

// Addresses returns the peers addresses of the replicas.
func (g *Group) Addresses() []string {
	var list []string
	for _, r := range g.replicas {
		list = append(list, r.peers())
	}
	return list
}

// Settings returns the settings of a daemon that shares the group's secret.
func (g *Group) Settings() config.Settings { return config.New(config.WithSecret([]byte(g.secret))) }

// Leader waits until a replica leads and has a session, its own, and returns it.
func (g *Group) Leader() (*Replica, error) {
	timer := time.NewTicker(lookEvery)
	defer timer.Stop()
	for end := time.Now().Add(leadWithin); time.Now().Before(end); <-timer.C {
		for _, r := range g.replicas {
			if v, err := stat.Read(r.admin()); err == nil && v.Sessions() > 0 {
				return r, nil
			}
		}
	}
	return nil, fail("find leader", NoLeader, nil)
}

// Followers returns the replicas besides the leader.
func (g *Group) Followers(leader *Replica) []*Replica {
	var list []*Replica
	for _, r := range g.replicas {
		if r != leader {
			list = append(list, r)
		}
	}
	return list
}

// Kill ends a replica as a crash would.
func (g *Group) Kill(r *Replica) { r.kill() }

// Restart starts a replica that was killed.
func (g *Group) Restart(r *Replica) error { return g.start(r) }

func (g *Group) close() {
	for _, r := range g.replicas {
		r.kill()
	}
}
