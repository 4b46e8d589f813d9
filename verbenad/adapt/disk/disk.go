// Package disk is the persistent storage of a control replica: a write-ahead log,
// the hard state and a snapshot in the replica's data folder.
//
// A storage goroutine takes all queued batches, appends them to the log file,
// syncs it once and reports which batches are durable (group commit). A batch
// that has a snapshot starts a new log file: the snapshot and the new log are
// written to temporary files, synced and renamed, and the folder is synced,
// before the old files are removed.
//
// The log is a file format of its own and not an embedded database. It is
// append-only, is read only at startup and needs one sync for many batches,
// whereas page-based stores such as bbolt write and sync data and meta pages for
// each transaction. Besides, the rule that separates a torn tail from corruption
// has to be in this package, since it decides whether a replica may vote again.
//
// A failed sync is not retried, since the kernel may have dropped the dirty pages
// (A. Rebello et al., "Can Applications Recover from fsync Failures?", USENIX ATC
// 2020). For the same reason each start writes a new log file: what was read may
// have come from the page cache only. If the disk is full, the whole write with its
// data is repeated, not only the sync.
package disk

import (
	"os"
	"sync"

	"github.com/sourcegraph/conc"

	"verbenabank/core/clock"
	"verbenabank/core/state/peer"
	"verbenabank/verbenad/command/crash"
)

// Disk is the storage of one replica. Append and Backlog are safe for concurrent use.
type Disk struct {
	folder     string
	onDurable  func(uint64)
	onFailure  func(error)
	onDiskFull func(error)
	onSync     func(SyncStats)
	clock      *clock.Clock
	syncFile   func(*os.File) error

	lockFile       *os.File
	logFile        *os.File
	logSize        int64  // durable bytes of logFile
	logNumber      uint64 // in the name of logFile
	snapshotNumber uint64 // in the name of the snapshot file, 0 if there is none
	stored         peer.StoredState

	mutex sync.Mutex
	queue []peer.Batch
	wake  chan struct{}
	stop  chan struct{}
}

// New locks the data folder, recovers its content and starts the storage
// goroutine. A torn record at the end of the log is discarded. The error is an
// *Error. The clean-up function writes the queued batches, unless the disk is full,
// and closes the files.
func New(opts ...Option) (*Disk, func(), error) {
	d := &Disk{
		onDurable: func(uint64) {}, onFailure: func(error) {}, onDiskFull: func(error) {}, onSync: func(SyncStats) {}, clock: clock.New(),
		syncFile: (*os.File).Sync, wake: make(chan struct{}, 1), stop: make(chan struct{}),
	}
	for _, o := range opts {
		o(d)
	}
	if err := d.open(); err != nil {
		d.closeFiles()
		return nil, nil, err
	}
	var group conc.WaitGroup
	group.Go(func() {
		if err := crash.Catch(nil, "store", d.run); err != nil {
			d.onFailure(err)
		}
	})
	return d, func() {
		close(d.stop)
		group.Wait()
		d.closeFiles()
	}, nil
}

// Stored returns the state that New recovered. It does not include later batches.
func (d *Disk) Stored() peer.StoredState { return d.stored }

// Append queues a batch for the storage goroutine and does not block.
func (d *Disk) Append(b peer.Batch) {
	d.mutex.Lock()
	d.queue = append(d.queue, b)
	d.mutex.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Backlog returns the number of queued batches, without those being written.
func (d *Disk) Backlog() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.queue)
}

func (d *Disk) takeQueued() []peer.Batch {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	batches := d.queue
	d.queue = nil
	return batches
}

func (d *Disk) closeFiles() {
	if d.logFile != nil {
		_ = d.logFile.Close()
	}
	if d.lockFile != nil {
		_ = d.lockFile.Close()
	}
}
