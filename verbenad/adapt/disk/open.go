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

// open recovers what the folder holds and writes it to a new log file.
func (d *Disk) open() error {
	if err := d.hold(); err != nil {
		return err
	}
	number, found, err := d.newest()
	if err != nil {
		return err
	}
	d.number = number
	if found {
		if err := d.load(number); err != nil {
			return err
		}
	}
	s := d.stored
	_, err = d.begin(number+1, peer.NewBatch(0, s.HardState(), peer.Snapshot{}, s.Entries()))
	return err
}

// newest returns the number of the newest log file. A folder without one must
// not hold a snapshot either.
func (d *Disk) newest() (uint64, bool, error) {
	names, err := os.ReadDir(d.folder)
	if err != nil {
		return 0, false, failed("list", d.folder, err)
	}
	var number, snapshot uint64
	for _, n := range names {
		var x uint64
		if _, err := fmt.Sscanf(n.Name(), "log.%x", &x); err == nil && n.Name() == logName(x) {
			number = max(number, x)
		}
		if _, err := fmt.Sscanf(n.Name(), "snapshot.%x", &x); err == nil && n.Name() == snapshotName(x) {
			snapshot = max(snapshot, x)
		}
	}
	if number == 0 && snapshot > 0 {
		return 0, false, damaged("open", filepath.Join(d.folder, logName(snapshot)), 0, os.ErrNotExist)
	}
	return number, number > 0, nil
}

// load reads the log file with the number and its snapshot.
func (d *Disk) load(number uint64) error {
	path := filepath.Join(d.folder, logName(number))
	data, err := os.ReadFile(path)
	if err != nil {
		return failed("read", path, err)
	}
	if len(data) < logHeaderSize {
		return damaged("read", path, 0, nil)
	}
	d.snapshot = binary.BigEndian.Uint64(data[len(logMagic)+8:])
	if !bytes.Equal(data[:logHeaderSize], logHeader(number, d.snapshot)) {
		return damaged("read", path, 0, nil)
	}
	if err := d.loadSnapshot(); err != nil {
		return err
	}
	offset := int64(logHeaderSize)
	for {
		switch f := readFrame(data[offset:]).(type) {
		case nothing, torn:
			return d.settled(path, offset)
		case broken:
			return damaged("read", path, offset, nil)
		case whole:
			if err := d.replay(f.payload); err != nil {
				return damaged("read", path, offset, err)
			}
			offset += int64(len(f.payload)) + frameExtra
			offset = min(offset, int64(len(data)))
		}
	}
}

// settled checks that the log holds the frame it began with.
func (d *Disk) settled(path string, offset int64) error {
	if offset == logHeaderSize {
		return damaged("read", path, offset, nil)
	}
	return nil
}

func (d *Disk) loadSnapshot() error {
	if d.snapshot == 0 {
		return nil
	}
	path := filepath.Join(d.folder, snapshotName(d.snapshot))
	data, err := os.ReadFile(path)
	if err != nil {
		return damaged("read", path, 0, err)
	}
	rest, ok := bytes.CutPrefix(data, []byte(snapshotMagic))
	f, intact := readFrame(rest).(whole)
	if !ok || !intact || len(rest) != len(f.payload)+frameExtra || rest[len(rest)-1] != frameMark {
		return damaged("read", path, 0, nil)
	}
	s, err := peers.UnmarshalSnapshot(f.payload)
	if err != nil {
		return damaged("read", path, 0, err)
	}
	d.stored = peer.NewStoredState(peer.HardState{}, s, nil)
	return nil
}

// replay takes over the batch of a record.
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
			return fmt.Errorf("entry %d does not follow", first)
		}
		entries = append(entries[:first-next], b.Entries()...)
	}
	d.stored = peer.NewStoredState(b.HardState(), s.Snapshot(), entries)
	return nil
}
