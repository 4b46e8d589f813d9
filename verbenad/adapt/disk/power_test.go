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

// lossyDisk simulates a data folder under power loss. Files keep their synced content and a random
// prefix of what was written later. Names that were created, changed or removed after the last sync
// of the folder are each kept or lost at random.
type lossyDisk struct {
	random      *rand.Rand
	folder      string
	syncedFiles map[uint64][]byte // content at the last sync, by inode
	syncedNames map[string]uint64 // inodes by name, at the last sync of the folder
	syncsLeft   int               // syncs that succeed before power is lost
}

var errPowerLost = errors.New("simulated power loss")

func (d *lossyDisk) sync(f *os.File) error {
	d.syncsLeft--
	if d.syncsLeft < 0 {
		return errPowerLost
	}
	info, err := f.Stat()
	if err != nil {
		return err
	}
	if info.IsDir() {
		d.syncedNames = d.currentNames()
		return nil
	}
	data, err := io.ReadAll(io.NewSectionReader(f, 0, info.Size()))
	d.syncedFiles[inode(info)] = data
	return err
}

func inode(info os.FileInfo) uint64 {
	return info.Sys().(*syscall.Stat_t).Ino
}

// currentNames returns the inodes of the files in the folder by name.
func (d *lossyDisk) currentNames() map[string]uint64 {
	names := map[string]uint64{}
	list, _ := os.ReadDir(d.folder)
	for _, e := range list {
		if info, err := e.Info(); err == nil {
			names[e.Name()] = inode(info)
		}
	}
	return names
}

// losePower replaces the folder by a new one with the names and content that survive.
func (d *lossyDisk) losePower(t *testing.T) {
	is := is.New(t)
	current := d.currentNames()
	written := map[uint64][]byte{}
	for name, id := range current {
		data, err := os.ReadFile(filepath.Join(d.folder, name))
		is.NoErr(err)
		written[id] = data
	}
	var all []string
	for _, names := range []map[string]uint64{current, d.syncedNames} {
		for name := range names {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	next := t.TempDir()
	for _, name := range slices.Compact(all) {
		id, kept := d.syncedNames[name]
		if d.random.IntN(2) == 0 {
			id, kept = current[name], current[name] != 0
		}
		if kept {
			is.NoErr(os.WriteFile(filepath.Join(next, name), d.survivingContent(id, written[id]), 0o600))
		}
	}
	*d = lossyDisk{random: d.random, folder: next}
	d.syncedNames, d.syncedFiles = d.currentNames(), map[uint64][]byte{}
	for name, id := range d.syncedNames {
		data, err := os.ReadFile(filepath.Join(next, name))
		is.NoErr(err)
		d.syncedFiles[id] = data
	}
}

// survivingContent returns the synced content of a file and a random prefix of what was written after the
// sync, with probability 1/3 followed by zeros.
func (d *lossyDisk) survivingContent(id uint64, written []byte) []byte {
	synced := d.syncedFiles[id]
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

// runUntilLoss starts the storage and appends the batches that the function chooses for the recovered
// state, until power is lost or none are left. It returns how many were acknowledged and sent.
func (d *lossyDisk) runUntilLoss(choose func(recovered peer.StoredState) []peer.Batch) (acked, sent int, err error) {
	done := make(chan bool, 64)
	s, clean, err := New(WithFolder(d.folder), WithOnDurable(func(uint64) { done <- true }),
		WithOnFailure(func(error) { done <- false }), withSync(d.sync))
	if err != nil {
		return 0, 0, err
	}
	defer clean()
	for _, b := range choose(s.Stored()) {
		s.Append(b)
		sent++
		if !<-done {
			return acked, sent, errPowerLost
		}
		acked++
	}
	return acked, sent, nil
}

// TestAcknowledgedBatchesSurvivePowerLoss restarts a storage several times on the same folder and loses
// power at random syncs, also during recovery. Each recovered state must hold all acknowledged batches.
func TestAcknowledgedBatchesSurvivePowerLoss(t *testing.T) {
	batches := append(sampleBatches(), snapshotBatch(6, 4, entry(5, 3)), batch(7, 5, entry(6, 3)),
		snapshotBatch(8, 5, entry(6, 3)), batch(9, 6, entry(7, 4), entry(8, 4)), batch(10, 8), snapshotBatch(11, 8), batch(12, 8, entry(9, 5)))
	starts, losses := 0, 0
	for seed := range uint64(150) {
		d := &lossyDisk{random: rand.New(rand.NewPCG(seed, 9)), folder: t.TempDir(), syncedFiles: map[uint64][]byte{}, syncedNames: map[string]uint64{}}
		acked, sent := 0, 0
		for range 12 {
			starts++
			d.syncsLeft = 1 + d.random.IntN(14)
			more, tried, err := d.runUntilLoss(func(s peer.StoredState) []peer.Batch {
				acked = recoveredCount(t, seed, s, batches, acked, sent)
				return batches[acked:min(len(batches), acked+1+d.random.IntN(6))]
			})
			acked, sent = acked+more, max(sent, acked+tried)
			if err != nil && !errors.Is(err, errPowerLost) {
				t.Fatalf("seed %d: %v", seed, err)
			}
			if err != nil || d.random.IntN(2) == 0 {
				losses++
				d.losePower(t)
			}
		}
	}
	t.Logf("starts: %d, power losses: %d", starts, losses)
}

// recoveredCount returns how many batches the recovered state holds. It fails the test if an acknowledged
// batch is missing or a batch is held that was not sent.
func recoveredCount(t *testing.T, seed uint64, s peer.StoredState, batches []peer.Batch, acked, sent int) int {
	for k := max(acked, sent); k >= acked; k-- {
		if equalStates(s, expectedState(batches[:k])) {
			return k
		}
	}
	t.Fatalf("seed %d: %d batches acknowledged, %d sent, recovered %+v", seed, acked, sent, s)
	return 0
}
