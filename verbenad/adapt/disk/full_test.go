package disk

import (
	"fmt"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFullDiskOnlyDelays fills the disk at each sync in turn, of the log, of a snapshot and of the log after it, for two
// attempts. It guards against a store that loses a batch, reports one that is not durable, or stores nothing any
// more once there is room again.
func TestFullDiskOnlyDelays(t *testing.T) {
	batches := sampleBatches()
	for k := range int64(2*len(batches) + 2) {
		t.Run(fmt.Sprint("sync ", k), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			folder := t.TempDir()
			var syncs, refused atomic.Int64
			var ready atomic.Bool
			durable := make(chan uint64, len(batches))
			d, clean, err := New(WithFolder(folder), WithOnDurable(func(s uint64) { durable <- s }),
				WithOnFailure(func(err error) { t.Error(err) }),
				withSync(func(f *os.File) error {
					if ready.Load() && syncs.Add(1) > k && refused.Add(1) <= 2 {
						return &os.PathError{Op: "sync", Path: f.Name(), Err: syscall.ENOSPC}
					}
					return nil
				}))
			is.NoErr(err)
			ready.Store(true)
			for _, b := range batches {
				d.Append(b)
				select {
				case s := <-durable:
					is.Equal(s, b.Sequence())
				case <-time.After(10 * time.Second):
					t.Fatal("not durable")
				}
			}
			clean()
			state, err := reopen(folder)
			is.NoErr(err)
			is.True(equalStates(state, expectedState(batches)))
		})
	}
}
