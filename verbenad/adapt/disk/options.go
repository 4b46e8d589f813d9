package disk

import (
	"os"

	"verbenabank/core/clock"
)

// Option sets one property of a Disk.
type Option func(*Disk)

// WithFolder sets the data folder. It is made if it is missing.
func WithFolder(path string) Option {
	return func(d *Disk) { d.folder = path }
}

// WithOnDurable sets what is called, on the storage goroutine, once all batches up to
// a sequence number are durable.
func WithOnDurable(done func(sequence uint64)) Option {
	return func(d *Disk) { d.done = done }
}

// WithOnFailure sets what is called once, on the storage goroutine, when a write or
// sync failed. The process must end: what is durable is not known any more.
func WithOnFailure(fatal func(error)) Option {
	return func(d *Disk) { d.fatal = fatal }
}

// WithOnDiskFull sets what is called, from the storage goroutine, each time a write found the disk
// full and is to be tried again.
func WithOnDiskFull(full func(error)) Option { return func(d *Disk) { d.full = full } }

// WithOnSync sets what is called, on the storage goroutine, after each sync.
func WithOnSync(synced func(SyncStats)) Option {
	return func(d *Disk) { d.synced = synced }
}

// WithClock sets the clock that measures syncs.
func WithClock(c *clock.Clock) Option {
	return func(d *Disk) { d.clock = c }
}

// withSync sets how a file is synced.
func withSync(sync func(*os.File) error) Option {
	return func(d *Disk) { d.sync = sync }
}

// SyncStats describes one sync.
type SyncStats struct {
	span    clock.Millis
	batches int
	bytes   int
}

// Duration returns how long the write and the sync took.
func (s SyncStats) Duration() clock.Millis { return s.span }

// Batches returns how many batches the sync made durable.
func (s SyncStats) Batches() int { return s.batches }

// Bytes returns how many bytes were written.
func (s SyncStats) Bytes() int { return s.bytes }
