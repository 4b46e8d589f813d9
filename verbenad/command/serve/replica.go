package serve

import (
	"math/rand/v2"

	"verbenabank/core/command/raft"
	"verbenabank/core/state/fleet"
	"verbenabank/verbenad/adapt/disk"
	"verbenabank/verbenad/adapt/link"
	"verbenabank/verbenad/command/ctrl"
	"verbenabank/verbenad/state/sets"
)

// buildReplica opens the data folder and builds the control replica of this daemon.
func (d *Daemon) buildReplica(c sets.Control, replicas []string) (ctrl.Option, error) {
	store, stop, err := disk.New(disk.WithFolder(c.DataFolder()),
		disk.WithDone(func(sequence uint64) { d.loop.Post(ctrl.NewSynced(sequence)) }),
		disk.WithFatal(func(err error) { d.loop.Post(ctrl.NewDiskFailed(err)) }),
		disk.WithFull(func(err error) { d.logger().WithError(err).Warn("serve: the disk is full, nothing new is durable") }),
		disk.WithSynced(func(s disk.Sync) { logSyncMs.Set(int64(s.Span())) }))
	if err != nil {
		return nil, &Error{op: "open " + c.DataFolder(), kind: StorageFailed, cause: err}
	}
	d.addCleanup(stop)
	options := []raft.Option{
		raft.WithAddress(d.settings.Load().Advertised().String()), raft.WithSeeds(replicas...), raft.WithBootstrap(c.Form()),
		raft.WithRandom(rand.Uint64(), rand.Uint64()), raft.WithStored(store.Stored()),
	}
	if c.Least() > 0 {
		options = append(options, raft.WithOpenMembership(c.Least()))
	}
	node := raft.New(options...)
	senders, stopSenders := link.NewPeers(d.trust.DialOptions(), d.logger())
	d.addCleanup(stopSenders)
	return ctrl.WithReplica(node, fleet.New(), senders, store), nil
}
