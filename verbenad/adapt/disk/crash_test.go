package disk

import (
	"errors"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/state/peer"
)

// TestFailureAtEachSync lets the storage fail at each of its syncs in turn. What
// was said to be durable must be there afterwards, and nothing that was not
// appended.
func TestFailureAtEachSync(t *testing.T) {
	is := is.New(t)
	batches := append(sample(), snapshotBatch(6, 4, command(5, 3)), batch(7, 5, command(6, 3)))
	failures := 0
	for failing := int64(1); ; failing++ {
		folder := t.TempDir()
		acked, failed := failAt(folder, batches, failing)
		s, err := read(folder)
		is.NoErr(err)
		known := same(s, peer.StoredState{}) && acked == 0
		for k := max(acked, 1); k <= len(batches); k++ {
			known = known || same(s, model(batches[:k]))
		}
		if !known {
			t.Fatalf("sync %d failed, %d acknowledged: %+v", failing, acked, s)
		}
		if !failed {
			break
		}
		failures++
	}
	is.True(failures >= 2+2+4+4)
	t.Logf("failed syncs: %d", failures)
}

// failAt appends batches one by one until the sync with the number fails. It
// returns how many were said to be durable, and whether that sync was reached.
func failAt(folder string, batches []peer.Batch, failing int64) (int, bool) {
	var count atomic.Int64
	done := make(chan bool)
	d, clean, err := New(WithFolder(folder), WithOnDurable(func(uint64) { done <- true }),
		WithOnFailure(func(error) { done <- false }), withSync(func(*os.File) error {
			if count.Add(1) == failing {
				return errors.New("no sync")
			}
			return nil
		}))
	if err != nil {
		return 0, true
	}
	defer clean()
	for k, b := range batches {
		d.Append(b)
		if !<-done {
			return k, true
		}
	}
	return len(batches), false
}

func TestUnfinishedFilesAreIgnored(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	fill(t, folder, sample())
	for _, name := range []string{snapshotName(1000), logName(1000) + ".new", snapshotName(1001) + ".new"} {
		is.NoErr(os.WriteFile(filepath.Join(folder, name), []byte("unfinished"), 0o600))
	}
	s, err := read(folder)
	is.NoErr(err)
	is.True(same(s, model(sample())))
	left, err := os.ReadDir(folder)
	is.NoErr(err)
	is.Equal(len(left), 3) // lock, log, snapshot
}

func BenchmarkAppend(b *testing.B) {
	last := make(chan struct{}, 1)
	var syncs, span atomic.Int64
	d, clean, err := New(WithFolder(b.TempDir()), WithOnSync(func(s SyncStats) {
		syncs.Add(1)
		span.Add(int64(s.Duration()))
	}), WithOnDurable(func(s uint64) {
		if s == uint64(b.N) {
			last <- struct{}{}
		}
	}))
	if err != nil {
		b.Fatal(err)
	}
	defer clean()
	b.ResetTimer()
	for k := 1; k <= b.N; k++ {
		d.Append(batch(uint64(k), 0, command(k, 1)))
	}
	<-last
	b.ReportMetric(float64(b.N)/float64(syncs.Load()), "batches/sync")
	b.ReportMetric(float64(span.Load())/float64(syncs.Load()), "ms/sync")
}

func BenchmarkAppendOneByOne(b *testing.B) {
	done := make(chan struct{}, 1)
	d, clean, err := New(WithFolder(b.TempDir()), WithOnDurable(func(uint64) { done <- struct{}{} }))
	if err != nil {
		b.Fatal(err)
	}
	defer clean()
	b.ResetTimer()
	for k := 1; k <= b.N; k++ {
		d.Append(batch(uint64(k), 0, command(k, 1)))
		<-done
	}
}
