package jsonl

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"verbenabank/vload/state/ledger"
)

// TestLedgerIsReadableAfterItsTargetIsKilled guards against a ledger that cannot be
// read after its target was killed in the middle of a write, and against mixing up the
// sequence numbers of two runs.
func TestLedgerIsReadableAfterItsTargetIsKilled(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "ledger")
	r := ledger.NewRequest("1", "tent", "POST", 3, 7, 900)
	for _, boot := range []string{"first", "second"} { // sequence numbers restart
		w, stop, err := New(path, boot, "catalogue", "catalogue-1")
		is.NoErr(err)
		is.NoErr(w.Begin(1, r, 10))
		is.NoErr(w.Commit(1, 20))
		is.NoErr(w.Begin(2, r, 30))
		stop()
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	is.NoErr(err)
	_, err = file.WriteString(`{"kind":"begin","bo`) // killed during the write
	is.NoErr(err)
	is.NoErr(file.Close())
	l, err := Read(path, path+"-missing")
	is.NoErr(err)
	is.Equal(len(l.Executions()), 4)
	is.Equal(l.Executions()[2], ledger.NewExecution(r, "catalogue", "catalogue-1", "second", 10, ledger.NewCommitted(20)))
	is.Equal(l.Executions()[3].Outcome(), ledger.InDoubt{})
}
