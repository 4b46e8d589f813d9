// Package disk keeps the log, the hard state and the snapshot of a control
// replica in its data folder.
//
// A storage goroutine takes all batches that wait, writes them to one log file,
// syncs it once and then says what is durable. A batch with a snapshot begins a
// new log file: the snapshot and the new log are written beside the old ones,
// synced, renamed, and their folder is synced before the old files are removed.
//
// The log is an own file and not an embedded library: the replicated log is
// append-only, is read only at the start and needs one sync for many
// batches, while page-based stores such as bbolt write and sync their pages and
// meta pages for each transaction; and what tells a torn tail from damage has to
// be decided here, since it decides whether a replica may vote again.
//
// After a failed sync nothing is retried: the kernel may have dropped the pages
// that were not written (A. Rebello et al., "Can Applications Recover from fsync
// Failures?", USENIX ATC 2020). For the same reason the log is written anew at
// each start: what was read may be in memory only.
package disk

import (
	"os"
	"sync"

	"github.com/sourcegraph/conc"

	"verbenabank/core/clock"
	"verbenabank/core/state/peer"
	"verbenabank/verbenad/command/crash"
)

// Disk is the storage of one replica. Append is safe for concurrent use.
type Disk struct {
	folder string
	done   func(uint64)
	fatal  func(error)
	full   func(error)
	synced func(SyncStats)
	clock  *clock.Clock
	sync   func(*os.File) error

	lock     *os.File
	log      *os.File
	size     int64  // of the log file, as far as it is durable
	number   uint64 // of the log file
	snapshot uint64 // of the snapshot file, 0 if there is none
	stored   peer.StoredState

	mutex sync.Mutex
	queue []peer.Batch
	wake  chan struct{}
	stop  chan struct{}
}

// New opens the data folder, recovers what it holds, and starts the storage
// goroutine. A tail that a crash left unfinished is cut off. The error is an
// *Error. The clean-up function makes durable what was appended, and closes.
func New(opts ...Option) (*Disk, func(), error) {
	d := &Disk{
		done: func(uint64) {}, fatal: func(error) {}, full: func(error) {}, synced: func(SyncStats) {}, clock: clock.New(),
		sync: (*os.File).Sync, wake: make(chan struct{}, 1), stop: make(chan struct{}),
	}
	for _, o := range opts {
		o(d)
	}
	if err := d.open(); err != nil {
		d.close()
		return nil, nil, err
	}
	var group conc.WaitGroup
	group.Go(func() {
		if err := crash.Catch(nil, "store", d.serve); err != nil {
			d.fatal(err)
		}
	})
	return d, func() {
		close(d.stop)
		group.Wait()
		d.close()
	}, nil
}

// Stored returns what the folder held at the start.
func (d *Disk) Stored() peer.StoredState { return d.stored }

// Append hands a batch to the storage goroutine and does not wait.
func (d *Disk) Append(b peer.Batch) {
	d.mutex.Lock()
	d.queue = append(d.queue, b)
	d.mutex.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Backlog returns how many batches are not yet on their way to the disk.
func (d *Disk) Backlog() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.queue)
}

func (d *Disk) take() []peer.Batch {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	batches := d.queue
	d.queue = nil
	return batches
}

func (d *Disk) close() {
	if d.log != nil {
		_ = d.log.Close()
	}
	if d.lock != nil {
		_ = d.lock.Close()
	}
}
