package disk

import (
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/state/peer"
)

// TestStoragePanicIsFatal guards against a replica that waits forever for a storage goroutine that panicked,
// and against a panic during shutdown.
func TestStoragePanicIsFatal(t *testing.T) {
	is := is.New(t)
	ready, fatal := false, make(chan error, 1)
	d, clean, err := New(WithFolder(t.TempDir()), WithOnFailure(func(err error) { fatal <- err }), withSync(func(*os.File) error {
		if ready {
			panic("simulated fault")
		}
		return nil
	}))
	is.NoErr(err)
	ready = true
	d.Append(batch(1, 0, peer.Entry{}))
	select {
	case err := <-fatal:
		is.True(err != nil)
	case <-time.After(5 * time.Second):
		t.Error("the storage goroutine panicked and the failure callback was not called")
	}
	clean()
}
