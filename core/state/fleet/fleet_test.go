package fleet

import (
	"testing"

	"github.com/matryer/is"
)

// TestOperatorsChangesOutliveMoves floods the trail with the control group's own
// changes.
func TestOperatorsChangesOutliveMoves(t *testing.T) {
	is := is.New(t)
	f := New(WithRecords(NewRecord(1, 0, "i:conf.d", "rules", "", "1", "accepted")))
	for n := range uint64(AuditLimit + 5) {
		f = f.With(WithRecords(NewRecord(n+2, 0, Control, "shard", "", "", "moved")))
	}
	f = f.With(WithRecords(NewRecord(AuditLimit+10, 0, "i:conf.d", "rules", "1", "2", "accepted")))
	trail := f.Audit()
	last, ok := f.NewestRecord()
	is.True(ok)
	is.Equal(last, trail[len(trail)-1])
	_, ok = New().NewestRecord()
	is.True(!ok)
	is.Equal(len(trail), AuditLimit+2)
	is.Equal(trail[0].Subject(), "rules")
	is.Equal(trail[1].Index(), uint64(7)) // the oldest five moves are dropped
	is.Equal(trail[len(trail)-1].To(), "2")
}
