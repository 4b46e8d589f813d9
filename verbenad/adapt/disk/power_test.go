package disk

import (
	"errors"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/state/peer"
)

// drive is a folder that loses power: files keep what was synced, and any part of what was
// written later; names that were made, changed or removed without a sync of the folder are
// kept or lost one by one.
type drive struct {
	random *rand.Rand
	folder string
	files  map[uint64][]byte // synced content, by inode
	names  map[string]uint64 // synced names
	left   int               // syncs until power is lost
}

var errNoPower = errors.New("no power")

func (d *drive) sync(f *os.File) error {
	d.left--
	if d.left < 0 {
		return errNoPower
	}
	info, err := f.Stat()
	if err != nil {
		return err
	}
	if info.IsDir() {
		d.names = d.present()
		return nil
	}
	data, err := io.ReadAll(io.NewSectionReader(f, 0, info.Size()))
	d.files[inode(info)] = data
	return err
}

func inode(info os.FileInfo) uint64 {
	return info.Sys().(*syscall.Stat_t).Ino
}

// present returns the names in the folder.
func (d *drive) present() map[string]uint64 {
	names := map[string]uint64{}
	list, _ := os.ReadDir(d.folder)
	for _, e := range list {
		if info, err := e.Info(); err == nil {
			names[e.Name()] = inode(info)
		}
	}
	return names
}

// lose makes a folder of what the drive kept.
func (d *drive) lose(t *testing.T) {
	is := is.New(t)
	present := d.present()
	written := map[uint64][]byte{}
	for name, id := range present {
		data, err := os.ReadFile(filepath.Join(d.folder, name))
		is.NoErr(err)
		written[id] = data
	}
	var all []string
	for _, names := range []map[string]uint64{present, d.names} {
		for name := range names {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	next := t.TempDir()
	for _, name := range slices.Compact(all) {
		id, kept := d.names[name]
		if d.random.IntN(2) == 0 {
			id, kept = present[name], present[name] != 0
		}
		if kept {
			is.NoErr(os.WriteFile(filepath.Join(next, name), d.torn(id, written[id]), 0o600))
		}
	}
	*d = drive{random: d.random, folder: next}
	d.names, d.files = d.present(), map[uint64][]byte{}
	for name, id := range d.names {
		data, err := os.ReadFile(filepath.Join(next, name))
		is.NoErr(err)
		d.files[id] = data
	}
}

// torn returns the synced content of a file with any beginning of what was written after it, as
// far as it reached the disk, or zeros in its place.
func (d *drive) torn(id uint64, written []byte) []byte {
	synced := d.files[id]
	if len(written) <= len(synced) {
		return synced
	}
	end := len(synced) + d.random.IntN(len(written)-len(synced)+1)
	data := append(slices.Clone(synced), written[len(synced):end]...)
	if d.random.IntN(3) == 0 {
		data = append(data, make([]byte, d.random.IntN(len(written)-end+1))...)
	}
	return data
}

// live starts the storage, appends batches until power is lost or the process is killed, and
// returns what was found and how many more were acknowledged and sent.
func (d *drive) live(batches func(found peer.StoredState) []peer.Batch) (acked, sent int, err error) {
	done := make(chan bool, 64)
	s, clean, err := New(WithFolder(d.folder), WithOnDurable(func(uint64) { done <- true }),
		WithOnFailure(func(error) { done <- false }), withSync(d.sync))
	if err != nil {
		return 0, 0, err
	}
	defer clean()
	for _, b := range batches(s.Stored()) {
		s.Append(b)
		sent++
		if !<-done {
			return acked, sent, errNoPower
		}
		acked++
	}
	return acked, sent, nil
}

// TestAcknowledgedBatchesOutliveLossesOfPower loses power at any sync of several lives, also of
// their start.
func TestAcknowledgedBatchesOutliveLossesOfPower(t *testing.T) {
	batches := append(sample(), snapshotBatch(6, 4, command(5, 3)), batch(7, 5, command(6, 3)),
		snapshotBatch(8, 5, command(6, 3)), batch(9, 6, command(7, 4), command(8, 4)), batch(10, 8), snapshotBatch(11, 8), batch(12, 8, command(9, 5)))
	lives, losses := 0, 0
	for seed := range uint64(150) {
		d := &drive{random: rand.New(rand.NewPCG(seed, 9)), folder: t.TempDir(), files: map[uint64][]byte{}, names: map[string]uint64{}}
		acked, sent := 0, 0
		for range 12 {
			lives++
			d.left = 1 + d.random.IntN(14)
			more, tried, err := d.live(func(s peer.StoredState) []peer.Batch {
				acked = found(t, seed, s, batches, acked, sent)
				return batches[acked:min(len(batches), acked+1+d.random.IntN(6))]
			})
			acked, sent = acked+more, max(sent, acked+tried)
			if err != nil && !errors.Is(err, errNoPower) {
				t.Fatalf("seed %d: %v", seed, err)
			}
			if err != nil || d.random.IntN(2) == 0 {
				losses++
				d.lose(t)
			}
		}
	}
	t.Logf("lives %d, losses of power %d", lives, losses)
}

// found returns how many batches a storage holds: at least those that were acknowledged, and none
// that was not sent.
func found(t *testing.T, seed uint64, s peer.StoredState, batches []peer.Batch, acked, sent int) int {
	for k := max(acked, sent); k >= acked; k-- {
		if same(s, model(batches[:k])) {
			return k
		}
	}
	t.Fatalf("seed %d: %d acknowledged, %d sent, found %+v", seed, acked, sent, s)
	return 0
}
