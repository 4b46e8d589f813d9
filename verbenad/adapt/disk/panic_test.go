package disk

import (
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/state/peer"
)

// TestPanicOfTheStorageIsFatal guards against a replica that waits for its disk for good, and a process whose
// end panics.
func TestPanicOfTheStorageIsFatal(t *testing.T) {
	is := is.New(t)
	ready, fatal := false, make(chan error, 1)
	d, clean, err := New(WithFolder(t.TempDir()), WithOnFailure(func(err error) { fatal <- err }), withSync(func(*os.File) error {
		if ready {
			panic("faulty")
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
		t.Error("nobody was told that the storage ended")
	}
	clean()
}
