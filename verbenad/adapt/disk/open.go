package disk

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"

	"verbenabank/core/state/peer"
	"verbenabank/core/wire/peers"
)

// open recovers the state in the data folder and writes it to a new log file.
func (d *Disk) open() error {
	if err := d.lockFolder(); err != nil {
		return err
	}
	number, found, err := d.findNewestLog()
	if err != nil {
		return err
	}
	d.logNumber = number
	if found {
		if err := d.loadLog(number); err != nil {
			return err
		}
	}
	s := d.stored
	_, err = d.startLog(number+1, peer.NewBatch(0, s.HardState(), peer.Snapshot{}, s.Entries()))
	return err
}

// findNewestLog returns the number of the newest log file, and whether there is one.
// A snapshot without any log file is corruption.
func (d *Disk) findNewestLog() (uint64, bool, error) {
	files, err := os.ReadDir(d.folder)
	if err != nil {
		return 0, false, failed("list", d.folder, err)
	}
	var number, snapshot uint64
	for _, f := range files {
		var n uint64
		if _, err := fmt.Sscanf(f.Name(), "log.%x", &n); err == nil && f.Name() == logName(n) {
			number = max(number, n)
		}
		if _, err := fmt.Sscanf(f.Name(), "snapshot.%x", &n); err == nil && f.Name() == snapshotName(n) {
			snapshot = max(snapshot, n)
		}
	}
	if number == 0 && snapshot > 0 {
		return 0, false, corrupted("open", filepath.Join(d.folder, logName(snapshot)), 0, os.ErrNotExist)
	}
	return number, number > 0, nil
}

// loadLog recovers the state from the log file with the given number and from the
// snapshot that its header refers to.
func (d *Disk) loadLog(number uint64) error {
	path := filepath.Join(d.folder, logName(number))
	data, err := os.ReadFile(path)
	if err != nil {
		return failed("read", path, err)
	}
	if len(data) < logHeaderSize {
		return corrupted("read", path, 0, nil)
	}
	d.snapshotNumber = binary.BigEndian.Uint64(data[len(logMagic)+8:])
	if !bytes.Equal(data[:logHeaderSize], logHeader(number, d.snapshotNumber)) {
		return corrupted("read", path, 0, nil)
	}
	if err := d.loadSnapshot(); err != nil {
		return err
	}
	offset := int64(logHeaderSize)
	for {
		switch f := readFrame(data[offset:]).(type) {
		case endOfFile, tornFrame:
			return d.checkNotEmpty(path, offset)
		case corruptFrame:
			return corrupted("read", path, offset, nil)
		case validFrame:
			if err := d.replay(f.payload); err != nil {
				return corrupted("read", path, offset, err)
			}
			offset += int64(len(f.payload)) + frameOverhead
			offset = min(offset, int64(len(data)))
		}
	}
}

// checkNotEmpty returns an error if no complete frame follows the header of a log
// file. Each log file is created with one, so its absence is corruption.
func (d *Disk) checkNotEmpty(path string, offset int64) error {
	if offset == logHeaderSize {
		return corrupted("read", path, offset, nil)
	}
	return nil
}

func (d *Disk) loadSnapshot() error {
	if d.snapshotNumber == 0 {
		return nil
	}
	path := filepath.Join(d.folder, snapshotName(d.snapshotNumber))
	data, err := os.ReadFile(path)
	if err != nil {
		return corrupted("read", path, 0, err)
	}
	rest, ok := bytes.CutPrefix(data, []byte(snapshotMagic))
	f, intact := readFrame(rest).(validFrame)
	if !ok || !intact || len(rest) != len(f.payload)+frameOverhead || rest[len(rest)-1] != frameEndMark {
		return corrupted("read", path, 0, nil)
	}
	s, err := peers.UnmarshalSnapshot(f.payload)
	if err != nil {
		return corrupted("read", path, 0, err)
	}
	d.stored = peer.NewStoredState(peer.HardState{}, s, nil)
	return nil
}

// replay applies the batch in the payload of a frame to the recovered state. Its
// entries replace those from their first index on.
func (d *Disk) replay(payload []byte) error {
	b, err := peers.UnmarshalBatch(payload)
	if err != nil {
		return err
	}
	s := d.stored
	entries := s.Entries()
	if len(b.Entries()) > 0 {
		first := b.Entries()[0].Index()
		next := s.Snapshot().Index() + 1
		if first < next || first > next+peer.Index(len(entries)) {
			return fmt.Errorf("log entry %d does not follow the entries before it", first)
		}
		entries = append(entries[:first-next], b.Entries()...)
	}
	d.stored = peer.NewStoredState(b.HardState(), s.Snapshot(), entries)
	return nil
}
