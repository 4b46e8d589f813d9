package disk

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"slices"

	"golang.org/x/sys/unix"
)

const (
	logMagic         = "VBLOG\x00\x00\x01"
	snapshotMagic    = "VBSNAP\x00\x01"
	logHeaderSize    = 28
	temporaryPattern = "*.new"
)

func logName(number uint64) string      { return fmt.Sprintf("log.%016x", number) }
func snapshotName(number uint64) string { return fmt.Sprintf("snapshot.%016x", number) }

// logHeader returns the header of a log file: the magic, the number of the log,
// the number of its snapshot (0 if it has none), and the CRC32C of these.
func logHeader(number, snapshot uint64) []byte {
	data := []byte(logMagic)
	data = binary.BigEndian.AppendUint64(data, number)
	data = binary.BigEndian.AppendUint64(data, snapshot)
	return binary.BigEndian.AppendUint32(data, crc32.Checksum(data, castagnoli))
}

// lockFolder creates the data folder if it is missing, and locks it for this process.
func (d *Disk) lockFolder() error {
	if err := os.MkdirAll(d.folder, 0o700); err != nil {
		return failed("make", d.folder, err)
	}
	path := filepath.Join(d.folder, "lock")
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return failed("open", path, err)
	}
	d.lockFile = file
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return &Error{operation: "lock", kind: Locked, path: path, cause: err}
	}
	return nil
}

// writeFile creates a durable file atomically: it writes and syncs a temporary
// file, renames it and syncs the folder. It returns the open file, positioned at
// its end.
func (d *Disk) writeFile(name string, data []byte) (*os.File, error) {
	path := filepath.Join(d.folder, name)
	file, err := os.OpenFile(path+".new", os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, failed("make", path, err)
	}
	if _, err = file.Write(data); err == nil {
		err = d.syncFile(file)
	}
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err == nil {
		err = d.syncFolder()
	}
	if err != nil {
		_ = file.Close()
		return nil, failed("write", path, err)
	}
	return file, nil
}

func (d *Disk) syncFolder() error {
	folder, err := os.Open(d.folder)
	if err != nil {
		return err
	}
	defer func() { _ = folder.Close() }()
	return d.syncFile(folder)
}

// removeObsolete removes all log, snapshot and temporary files except the current
// log and its snapshot.
func (d *Disk) removeObsolete() error {
	keep := []string{logName(d.logNumber), snapshotName(d.snapshotNumber)}
	for _, pattern := range []string{"log.*", "snapshot.*", temporaryPattern} {
		paths, err := filepath.Glob(filepath.Join(d.folder, pattern))
		if err != nil {
			return failed("list", d.folder, err)
		}
		for _, p := range paths {
			if slices.Contains(keep, filepath.Base(p)) {
				continue
			}
			if err := os.Remove(p); err != nil && !os.IsNotExist(err) {
				return failed("remove", p, err)
			}
		}
	}
	return nil
}
