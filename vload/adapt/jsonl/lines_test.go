package jsonl

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"verbenabank/vload/state/ledger"
)

func TestLedgerSurvivesItsTarget(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "ledger")
	o := ledger.NewRequest("1", "tent", "POST", 3, 7, 900)
	for _, boot := range []string{"first", "second"} { // sequences start anew
		w, stop, err := New(path, boot, "catalogue", "catalogue-1")
		is.NoErr(err)
		is.NoErr(w.Begin(1, o, 10))
		is.NoErr(w.Commit(1, 20))
		is.NoErr(w.Begin(2, o, 30))
		stop()
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	is.NoErr(err)
	_, err = file.WriteString(`{"kind":"begin","bo`) // killed while it wrote
	is.NoErr(err)
	is.NoErr(file.Close())
	l, err := Read(path, path+"-missing")
	is.NoErr(err)
	is.Equal(len(l.Executions()), 4)
	is.Equal(l.Executions()[2], ledger.NewExecution(o, "catalogue", "catalogue-1", "second", 10, ledger.NewCommitted(20)))
	is.Equal(l.Executions()[3].Outcome(), ledger.InDoubt{})
}
