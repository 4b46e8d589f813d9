package disk

import (
	"os"

	"verbenabank/core/clock"
)

// Option configures a Disk.
type Option func(*Disk)

// WithFolder sets the data folder, which is created if it is missing.
func WithFolder(path string) Option {
	return func(d *Disk) { d.folder = path }
}

// WithOnDurable sets the callback for durable batches. It runs on the storage goroutine
// and gets the sequence number up to which all batches are durable.
func WithOnDurable(onDurable func(sequence uint64)) Option {
	return func(d *Disk) { d.onDurable = onDurable }
}

// WithOnFailure sets the callback for a failed write, sync or encoding and for a panic. It
// runs once, on the storage goroutine. The process must then exit, since it is no longer
// known what is durable.
func WithOnFailure(onFailure func(error)) Option {
	return func(d *Disk) { d.onFailure = onFailure }
}

// WithOnDiskFull sets the callback for a full disk. It runs on the storage goroutine after each
// attempt to write that failed for lack of space; the write is then retried.
func WithOnDiskFull(onDiskFull func(error)) Option {
	return func(d *Disk) { d.onDiskFull = onDiskFull }
}

// WithOnSync sets the callback for statistics. It runs on the storage goroutine after
// batches or a snapshot were synced.
func WithOnSync(onSync func(SyncStats)) Option {
	return func(d *Disk) { d.onSync = onSync }
}

// WithClock sets the clock that times writes and syncs.
func WithClock(c *clock.Clock) Option {
	return func(d *Disk) { d.clock = c }
}

// withSync replaces the sync of files and of the folder, for tests.
func withSync(syncFile func(*os.File) error) Option {
	return func(d *Disk) { d.syncFile = syncFile }
}

// SyncStats has the statistics of one write with its sync.
type SyncStats struct {
	duration clock.Millis
	batches  int
	bytes    int
}

// Duration returns the duration of the write and the sync together, in milliseconds.
func (s SyncStats) Duration() clock.Millis { return s.duration }

// Batches returns the number of batches that the sync made durable.
func (s SyncStats) Batches() int { return s.batches }

// Bytes returns the number of bytes written.
func (s SyncStats) Bytes() int { return s.bytes }
