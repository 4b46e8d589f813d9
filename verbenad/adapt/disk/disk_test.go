package disk

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenabank/core/state/peer"
)

func noSync(*os.File) error { return nil }

func entry(i, t int) peer.Entry {
	return peer.NewEntry(peer.Index(i), peer.Term(t), peer.NewCommand(fmt.Appendf(nil, "command %d of %d\x00", i, t)))
}

func batch(sequence uint64, commit peer.Index, entries ...peer.Entry) peer.Batch {
	return peer.NewBatch(sequence, peer.NewHardState(1, 2, 3, 4, commit), peer.Snapshot{}, entries)
}

func snapshotBatch(sequence uint64, index peer.Index, entries ...peer.Entry) peer.Batch {
	members := peer.NewMembers(peer.NewReplica(1, "127.0.0.1:1", peer.Voter{}))
	s := peer.NewSnapshot(index, 1, members, []byte("state\x00"))
	return peer.NewBatch(sequence, peer.NewHardState(1, 2, 3, 4, index), s, entries)
}

// expectedState returns the state that a storage must recover after the batches.
func expectedState(batches []peer.Batch) peer.StoredState {
	var s peer.StoredState
	for _, b := range batches {
		if b.Snapshot().Index() > 0 {
			s = peer.NewStoredState(b.HardState(), b.Snapshot(), b.Entries())
			continue
		}
		entries := s.Entries()
		if len(b.Entries()) > 0 {
			keep := b.Entries()[0].Index() - s.Snapshot().Index() - 1
			entries = append(append([]peer.Entry(nil), entries[:keep]...), b.Entries()...)
		}
		s = peer.NewStoredState(b.HardState(), s.Snapshot(), entries)
	}
	return s
}

func equalStates(a, b peer.StoredState) bool {
	return fmt.Sprintf("%+v", a) == fmt.Sprintf("%+v", b)
}

// writeAll appends the batches one by one and returns the size of the current log
// file after each of them.
func writeAll(t rapid.TB, folder string, batches []peer.Batch) []int64 {
	done := make(chan uint64, len(batches))
	d, clean, err := New(WithFolder(folder), withSync(noSync), WithOnDurable(func(s uint64) { done <- s }))
	if err != nil {
		t.Fatal(err)
	}
	defer clean()
	var ends []int64
	for _, b := range batches {
		d.Append(b)
		<-done
		info, err := d.logFile.Stat()
		if err != nil {
			t.Fatal(err)
		}
		ends = append(ends, info.Size())
	}
	return ends
}

func reopen(folder string) (peer.StoredState, error) {
	d, clean, err := New(WithFolder(folder), withSync(noSync))
	if err != nil {
		return peer.StoredState{}, err
	}
	clean()
	return d.Stored(), nil
}

// reopenWith copies the folder, replaces the content of one file in the copy, and opens the copy.
func reopenWith(t testing.TB, folder, name string, content []byte) (peer.StoredState, error) {
	copied, err := os.MkdirTemp(t.TempDir(), "")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = os.RemoveAll(copied) }()
	if err := os.CopyFS(copied, os.DirFS(folder)); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(copied, name), content, 0o600); err != nil {
		t.Fatal(err)
	}
	return reopen(copied)
}

func onlyLog(t testing.TB, folder string) (string, []byte) {
	paths, _ := filepath.Glob(filepath.Join(folder, "log.*"))
	if len(paths) != 1 {
		t.Fatalf("want one log file, got %v", paths)
	}
	data, err := os.ReadFile(paths[0])
	if err != nil {
		t.Fatal(err)
	}
	return filepath.Base(paths[0]), data
}

func sampleBatches() []peer.Batch {
	return []peer.Batch{
		batch(1, 0, entry(1, 1), entry(2, 1)),
		snapshotBatch(2, 2, entry(3, 1)),
		batch(3, 3, entry(4, 2)),
		batch(4, 3),
		batch(5, 3, entry(4, 3), entry(5, 3)),
	}
}

func isCorrupted(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind() == Corrupted
}

func TestTornTailIsDiscarded(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	batches := sampleBatches()
	ends := writeAll(t, folder, batches)
	name, data := onlyLog(t, folder)
	for cut := int(ends[1]); cut <= len(data); cut++ {
		complete := 2
		for complete < len(ends) && ends[complete] <= int64(cut) {
			complete++
		}
		s, err := reopenWith(t, folder, name, data[:cut])
		is.NoErr(err)
		is.True(equalStates(s, expectedState(batches[:complete])))

		zeros := append(append([]byte(nil), data[:cut]...), make([]byte, len(data)-cut+700)...)
		s, err = reopenWith(t, folder, name, zeros)
		is.NoErr(err)
		// Zeros in place of the end mark alone leave a frame valid, so one more batch may be recovered.
		if !equalStates(s, expectedState(batches[:complete])) && (complete == len(batches) || !equalStates(s, expectedState(batches[:complete+1]))) {
			t.Fatalf("log with zeros from byte %d: recovered %+v", cut, s)
		}
	}
}

func TestChangedBytesAreDetected(t *testing.T) {
	folder := t.TempDir()
	writeAll(t, folder, sampleBatches())
	paths, _ := filepath.Glob(filepath.Join(folder, "*.0*"))
	changes := 0
	for _, p := range paths {
		data, _ := os.ReadFile(p)
		for k := range data {
			for _, mask := range []byte{0x01, 0x80, 0x5A} {
				changed := append([]byte(nil), data...)
				changed[k] ^= mask
				if s, err := reopenWith(t, folder, filepath.Base(p), changed); !isCorrupted(err) {
					t.Fatalf("%s byte %d mask %x: %v %+v", p, k, mask, err, s)
				}
				changes++
			}
		}
	}
	t.Logf("changed bytes detected: %d", changes)
}

func TestMissingFilesAreCorruption(t *testing.T) {
	is := is.New(t)
	for _, pattern := range []string{"log.*", "snapshot.*"} {
		folder := t.TempDir()
		writeAll(t, folder, sampleBatches())
		paths, _ := filepath.Glob(filepath.Join(folder, pattern))
		is.NoErr(os.Remove(paths[0]))
		_, err := reopen(folder)
		is.True(isCorrupted(err))
	}
}

func TestFolderIsLocked(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	_, clean, err := New(WithFolder(folder))
	is.NoErr(err)
	_, _, err = New(WithFolder(folder))
	var e *Error
	is.True(errors.As(err, &e))
	is.Equal(e.Kind(), Locked)
	clean()
	_, clean, err = New(WithFolder(folder))
	is.NoErr(err)
	clean()
}

func TestFailedSyncIsFatalOnce(t *testing.T) {
	is := is.New(t)
	var fail atomic.Bool
	fatal := make(chan error, 8)
	d, clean, err := New(WithFolder(t.TempDir()), WithOnFailure(func(err error) { fatal <- err }),
		WithOnDurable(func(uint64) { t.Error("a batch was reported durable although its sync failed") }),
		withSync(func(*os.File) error {
			if fail.Load() {
				return errors.New("simulated sync failure")
			}
			return nil
		}))
	is.NoErr(err)
	fail.Store(true)
	d.Append(batch(1, 0, entry(1, 1)))
	is.True(<-fatal != nil)
	fail.Store(false)
	d.Append(batch(2, 0, entry(2, 1)))
	clean()
	is.Equal(len(fatal), 0)
}

func TestBatchesShareASync(t *testing.T) {
	is := is.New(t)
	var syncs, batches atomic.Int64
	last := make(chan struct{})
	var clean func()
	d, clean, err := New(WithFolder(t.TempDir()), WithOnSync(func(s SyncStats) {
		syncs.Add(1)
		batches.Add(int64(s.Batches()))
	}), withSync(func(*os.File) error {
		time.Sleep(2 * time.Millisecond)
		return nil
	}), WithOnDurable(func(s uint64) {
		if s == 500 {
			close(last)
		}
	}))
	is.NoErr(err)
	defer clean()
	for k := 1; k <= 500; k++ {
		d.Append(batch(uint64(k), 0, entry(k, 1)))
	}
	<-last
	is.Equal(batches.Load(), int64(500))
	is.True(syncs.Load() < 250)
}

func TestRandomBatchesAreRecovered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		folder, err := os.MkdirTemp("", "disk")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = os.RemoveAll(folder) }()
		var all []peer.Batch
		var base, last, term int
		for range rapid.IntRange(1, 4).Draw(t, "starts") {
			var batches []peer.Batch
			for range rapid.IntRange(0, 8).Draw(t, "batches") {
				first := base + 1 + rapid.IntRange(0, last-base).Draw(t, "first")
				term++
				var entries []peer.Entry
				for k := range rapid.IntRange(0, 3).Draw(t, "entries") {
					entries = append(entries, entry(first+k, term))
					last = first + k
				}
				b := batch(1, 0, entries...)
				if last > base && rapid.IntRange(0, 4).Draw(t, "snapshot") == 0 {
					index := rapid.IntRange(base+1, last).Draw(t, "index")
					held := expectedState(append(all, append(batches, b)...)).Entries()
					b = snapshotBatch(1, peer.Index(index), held[index-base:]...)
					base = index
				}
				batches = append(batches, b)
			}
			writeAll(t, folder, batches)
			all = append(all, batches...)
			s, err := reopen(folder)
			if err != nil {
				t.Fatal(err)
			}
			if !equalStates(s, expectedState(all)) {
				t.Fatalf("recovered %+v, want %+v", s, expectedState(all))
			}
		}
	})
}

func FuzzReadFrame(f *testing.F) {
	f.Add(appendFrame(nil, []byte("payload")))
	f.Add(appendFrame(appendFrame(nil, nil), []byte("payload"))[:20])
	f.Add(make([]byte, 40))
	f.Fuzz(func(t *testing.T, data []byte) {
		first, ok := readFrame(data).(validFrame)
		if !ok {
			return
		}
		again, ok := readFrame(appendFrame(nil, first.payload)).(validFrame)
		if !ok || string(again.payload) != string(first.payload) {
			t.Fatal("the payload of a valid frame changed when it was encoded again")
		}
	})
}
