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

func command(i, t int) peer.Entry {
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

// model returns what a storage holds after the batches.
func model(batches []peer.Batch) peer.StoredState {
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

func same(a, b peer.StoredState) bool {
	return fmt.Sprintf("%+v", a) == fmt.Sprintf("%+v", b)
}

// fill writes the batches one by one and returns the offsets at which they end
// in the last log file.
func fill(t rapid.TB, folder string, batches []peer.Batch) []int64 {
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
		info, err := d.log.Stat()
		if err != nil {
			t.Fatal(err)
		}
		ends = append(ends, info.Size())
	}
	return ends
}

func read(folder string) (peer.StoredState, error) {
	d, clean, err := New(WithFolder(folder), withSync(noSync))
	if err != nil {
		return peer.StoredState{}, err
	}
	clean()
	return d.Stored(), nil
}

// change puts changed content into a copy of the folder's file and reads it.
func change(t testing.TB, folder, name string, content []byte) (peer.StoredState, error) {
	other, err := os.MkdirTemp(t.TempDir(), "")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = os.RemoveAll(other) }()
	if err := os.CopyFS(other, os.DirFS(folder)); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(other, name), content, 0o600); err != nil {
		t.Fatal(err)
	}
	return read(other)
}

func newestLog(t testing.TB, folder string) (string, []byte) {
	paths, _ := filepath.Glob(filepath.Join(folder, "log.*"))
	if len(paths) != 1 {
		t.Fatalf("log files: %v", paths)
	}
	data, err := os.ReadFile(paths[0])
	if err != nil {
		t.Fatal(err)
	}
	return filepath.Base(paths[0]), data
}

func sample() []peer.Batch {
	return []peer.Batch{
		batch(1, 0, command(1, 1), command(2, 1)),
		snapshotBatch(2, 2, command(3, 1)),
		batch(3, 3, command(4, 2)),
		batch(4, 3),
		batch(5, 3, command(4, 3), command(5, 3)),
	}
}

func isDamaged(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind() == Damaged
}

func TestTornTailIsCutOff(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	batches := sample()
	ends := fill(t, folder, batches)
	name, data := newestLog(t, folder)
	for cut := int(ends[1]); cut <= len(data); cut++ {
		whole := 2
		for whole < len(ends) && ends[whole] <= int64(cut) {
			whole++
		}
		s, err := change(t, folder, name, data[:cut])
		is.NoErr(err)
		is.True(same(s, model(batches[:whole])))

		zeros := append(append([]byte(nil), data[:cut]...), make([]byte, len(data)-cut+700)...)
		s, err = change(t, folder, name, zeros)
		is.NoErr(err)
		if !same(s, model(batches[:whole])) && (whole == len(batches) || !same(s, model(batches[:whole+1]))) {
			t.Fatalf("zeros from %d: %+v", cut, s)
		}
	}
}

func TestDamageIsTold(t *testing.T) {
	folder := t.TempDir()
	fill(t, folder, sample())
	paths, _ := filepath.Glob(filepath.Join(folder, "*.0*"))
	flips := 0
	for _, p := range paths {
		data, _ := os.ReadFile(p)
		for k := range data {
			for _, mask := range []byte{0x01, 0x80, 0x5A} {
				changed := append([]byte(nil), data...)
				changed[k] ^= mask
				if s, err := change(t, folder, filepath.Base(p), changed); !isDamaged(err) {
					t.Fatalf("%s byte %d mask %x: %v %+v", p, k, mask, err, s)
				}
				flips++
			}
		}
	}
	t.Logf("flips told: %d", flips)
}

func TestMissingFilesAreDamage(t *testing.T) {
	is := is.New(t)
	for _, pattern := range []string{"log.*", "snapshot.*"} {
		folder := t.TempDir()
		fill(t, folder, sample())
		paths, _ := filepath.Glob(filepath.Join(folder, pattern))
		is.NoErr(os.Remove(paths[0]))
		_, err := read(folder)
		is.True(isDamaged(err))
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
		WithOnDurable(func(uint64) { t.Error("a batch whose sync failed was said to be durable") }),
		withSync(func(*os.File) error {
			if fail.Load() {
				return errors.New("no sync")
			}
			return nil
		}))
	is.NoErr(err)
	fail.Store(true)
	d.Append(batch(1, 0, command(1, 1)))
	is.True(<-fatal != nil)
	fail.Store(false)
	d.Append(batch(2, 0, command(2, 1)))
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
		d.Append(batch(uint64(k), 0, command(k, 1)))
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
					entries = append(entries, command(first+k, term))
					last = first + k
				}
				b := batch(1, 0, entries...)
				if last > base && rapid.IntRange(0, 4).Draw(t, "snapshot") == 0 {
					index := rapid.IntRange(base+1, last).Draw(t, "index")
					held := model(append(all, append(batches, b)...)).Entries()
					b = snapshotBatch(1, peer.Index(index), held[index-base:]...)
					base = index
				}
				batches = append(batches, b)
			}
			fill(t, folder, batches)
			all = append(all, batches...)
			s, err := read(folder)
			if err != nil {
				t.Fatal(err)
			}
			if !same(s, model(all)) {
				t.Fatalf("read %+v, wrote %+v", s, model(all))
			}
		}
	})
}

func FuzzReadFrame(f *testing.F) {
	f.Add(appendFrame(nil, []byte("payload")))
	f.Add(appendFrame(appendFrame(nil, nil), []byte("payload"))[:20])
	f.Add(make([]byte, 40))
	f.Fuzz(func(t *testing.T, data []byte) {
		w, ok := readFrame(data).(whole)
		if !ok {
			return
		}
		again, ok := readFrame(appendFrame(nil, w.payload)).(whole)
		if !ok || string(again.payload) != string(w.payload) {
			t.Fatal("a frame that was read cannot be written")
		}
	})
}
