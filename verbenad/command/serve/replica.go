package serve

import (
	"math/rand/v2"

	"verbenabank/core/command/raft"
	"verbenabank/core/state/fleet"
	"verbenabank/verbenad/adapt/disk"
	"verbenabank/verbenad/adapt/link"
	"verbenabank/verbenad/command/ctrl"
	"verbenabank/verbenad/state/config"
)

// buildReplica opens the data folder and builds the control replica of this daemon.
func (d *Daemon) buildReplica(c config.Control, replicas []string) (ctrl.Option, error) {
	store, stop, err := disk.New(disk.WithFolder(c.DataFolder()),
		disk.WithOnDurable(func(sequence uint64) { d.loop.Post(ctrl.NewPersisted(sequence)) }),
		disk.WithOnFailure(func(err error) { d.loop.Post(ctrl.NewDiskFailed(err)) }),
		disk.WithOnDiskFull(func(err error) { d.logger().WithError(err).Warn("serve: the disk is full, nothing new is durable") }),
		disk.WithOnSync(func(s disk.SyncStats) { logSyncMs.Set(int64(s.Duration())) }))
	if err != nil {
		return nil, &Error{op: "open " + c.DataFolder(), kind: StorageFailed, cause: err}
	}
	d.addCleanup(stop)
	options := []raft.Option{
		raft.WithAddress(d.settings.Load().AdvertisedAddress().String()), raft.WithSeeds(replicas...), raft.WithBootstrap(c.Bootstrap()),
		raft.WithRandom(rand.Uint64(), rand.Uint64()), raft.WithStored(store.Stored()),
	}
	if c.MinVoters() > 0 {
		options = append(options, raft.WithOpenMembership(c.MinVoters()))
	}
	node := raft.New(options...)
	senders, stopSenders := link.NewPeerTransport(d.trust.DialOptions(), d.logger())
	d.addCleanup(stopSenders)
	return ctrl.WithReplica(node, fleet.New(), senders, store), nil
}
