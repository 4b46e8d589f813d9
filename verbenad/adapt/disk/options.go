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

// WithDone sets what is called, on the storage goroutine, once all batches up to
// a sequence number are durable.
func WithDone(done func(sequence uint64)) Option {
	return func(d *Disk) { d.done = done }
}

// WithFatal sets what is called once, on the storage goroutine, when a write or
// sync failed. The process must end: what is durable is not known any more.
func WithFatal(fatal func(error)) Option {
	return func(d *Disk) { d.fatal = fatal }
}

// WithFull sets what is called, from the storage goroutine, each time a write found the disk
// full and is to be tried again.
func WithFull(full func(error)) Option { return func(d *Disk) { d.full = full } }

// WithSynced sets what is called, on the storage goroutine, after each sync.
func WithSynced(synced func(Sync)) Option {
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

// Sync describes one sync.
type Sync struct {
	span    clock.Millis
	batches int
	bytes   int
}

// Span returns how long the write and the sync took.
func (s Sync) Span() clock.Millis { return s.span }

// Batches returns how many batches the sync made durable.
func (s Sync) Batches() int { return s.batches }

// Bytes returns how many bytes were written.
func (s Sync) Bytes() int { return s.bytes }
