package disk

import (
	"errors"
	"syscall"
	"time"

	"verbenabank/core/state/peer"
	"verbenabank/core/wire/peers"
)

// run is the storage goroutine. It writes queued batches until the storage is
// closed or fails; on close it writes what is still queued.
func (d *Disk) run() {
	for {
		stopping := false
		select {
		case <-d.wake:
		case <-d.stop:
			stopping = true
		}
		if err := d.writeBatches(d.takeQueued()); err != nil {
			d.onFailure(err)
			return
		}
		if stopping {
			return
		}
	}
}

// writeBatches makes batches durable and reports them. Consecutive batches without a
// snapshot share one sync; a batch with a snapshot is stored on its own.
func (d *Disk) writeBatches(batches []peer.Batch) error {
	for len(batches) > 0 {
		count := 0
		for count < len(batches) && batches[count].Snapshot().Index() == 0 {
			count++
		}
		var err error
		if count > 0 {
			err = d.appendToLog(batches[:count])
		} else {
			count = 1
			err = d.storeSnapshot(batches[0])
		}
		if errors.Is(err, syscall.ENOSPC) {
			if !d.waitForSpace(err) {
				return nil
			}
			continue
		}
		if err != nil {
			return err
		}
		d.onDurable(batches[count-1].Sequence())
		batches = batches[count:]
	}
	return nil
}

// diskFullRetryInterval is the delay before a write that found the disk full is retried.
const diskFullRetryInterval = 200 * time.Millisecond

// waitForSpace delays the retry of a write that found the disk full. The retry writes all
// data again; its batches are not acknowledged until it succeeds. waitForSpace returns
// false if the storage is being closed.
func (d *Disk) waitForSpace(err error) bool {
	d.onDiskFull(err)
	t := time.NewTimer(diskFullRetryInterval)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-d.stop:
		return false
	}
}

// appendToLog appends batches to the log file and syncs it once.
func (d *Disk) appendToLog(batches []peer.Batch) error {
	start := d.clock.Now()
	var data []byte
	for _, b := range batches {
		var err error
		if data, err = d.appendBatchFrame(data, b); err != nil {
			return err
		}
	}
	if _, err := d.logFile.WriteAt(data, d.logSize); err != nil {
		return failed("write", d.logFile.Name(), err)
	}
	if err := d.syncFile(d.logFile); err != nil {
		return failed("sync", d.logFile.Name(), err)
	}
	d.logSize += int64(len(data))
	d.onSync(SyncStats{duration: d.clock.Now().Sub(start), batches: len(batches), bytes: len(data)})
	return nil
}

// appendBatchFrame encodes a batch and appends it to buffer as a frame.
func (d *Disk) appendBatchFrame(buffer []byte, b peer.Batch) ([]byte, error) {
	payload, err := peers.MarshalBatch(b)
	if err == nil && len(payload) > maxPayloadSize {
		err = errTooLarge
	}
	if err != nil {
		return nil, failed("encode batch for", d.folder, err)
	}
	return appendFrame(buffer, payload), nil
}

// storeSnapshot writes the snapshot of a batch and starts a new log file with the batch.
func (d *Disk) storeSnapshot(b peer.Batch) error {
	start := d.clock.Now()
	payload, err := peers.MarshalSnapshot(b.Snapshot())
	if err == nil && len(payload) > maxPayloadSize {
		err = errTooLarge
	}
	if err != nil {
		return failed("encode snapshot for", d.folder, err)
	}
	number := d.logNumber + 1
	data := append([]byte(snapshotMagic), appendFrame(nil, payload)...)
	file, err := d.writeFile(snapshotName(number), data)
	if err != nil {
		return err
	}
	_ = file.Close()
	size, err := d.startLog(number, b)
	if err != nil {
		return err
	}
	d.onSync(SyncStats{duration: d.clock.Now().Sub(start), batches: 1, bytes: len(data) + size})
	return nil
}

// startLog creates the log file with the given number and the batch as its first
// frame, and removes the files that it replaces. The header refers to the snapshot
// with the same number if the batch has one, else to the current snapshot. It
// returns the size of the file in bytes.
func (d *Disk) startLog(number uint64, b peer.Batch) (int, error) {
	snapshot := d.snapshotNumber
	if b.Snapshot().Index() > 0 {
		snapshot = number
	}
	data, err := d.appendBatchFrame(logHeader(number, snapshot), b)
	if err != nil {
		return 0, err
	}
	file, err := d.writeFile(logName(number), data)
	if err != nil {
		return 0, err
	}
	if d.logFile != nil {
		_ = d.logFile.Close()
	}
	d.logFile, d.logNumber, d.snapshotNumber, d.logSize = file, number, snapshot, int64(len(data))
	return len(data), d.removeObsolete()
}
