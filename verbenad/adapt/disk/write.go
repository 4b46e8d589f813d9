package disk

import (
	"errors"
	"syscall"
	"time"

	"verbenabank/core/state/peer"
	"verbenabank/core/wire/peers"
)

// serve writes batches until the disk is closed or fails.
func (d *Disk) serve() {
	for {
		ended := false
		select {
		case <-d.wake:
		case <-d.stop:
			ended = true
		}
		if err := d.drain(d.take()); err != nil {
			d.fatal(err)
			return
		}
		if ended {
			return
		}
	}
}

// drain makes batches durable: those without a snapshot together, those with one
// each alone.
func (d *Disk) drain(batches []peer.Batch) error {
	for len(batches) > 0 {
		count := 0
		for count < len(batches) && batches[count].Snapshot().Index() == 0 {
			count++
		}
		var err error
		if count > 0 {
			err = d.write(batches[:count])
		} else {
			count = 1
			err = d.renew(batches[0])
		}
		if errors.Is(err, syscall.ENOSPC) {
			if !d.awaitSpace(err) {
				return nil
			}
			continue
		}
		if err != nil {
			return err
		}
		d.done(batches[count-1].Sequence())
		batches = batches[count:]
	}
	return nil
}

// spaceEvery is the pause before a write is tried again on a full disk.
const spaceEvery = 200 * time.Millisecond

// awaitSpace pauses after a write that found the disk full. What was to be written is written
// again; until then nothing of it is acknowledged. It reports false at the end of the process.
func (d *Disk) awaitSpace(err error) bool {
	d.full(err)
	t := time.NewTimer(spaceEvery)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-d.stop:
		return false
	}
}

// write appends batches to the log file with one sync.
func (d *Disk) write(batches []peer.Batch) error {
	begin := d.clock.Now()
	var data []byte
	for _, b := range batches {
		var err error
		if data, err = d.frame(data, b); err != nil {
			return err
		}
	}
	if _, err := d.log.WriteAt(data, d.size); err != nil {
		return failed("write", d.log.Name(), err)
	}
	if err := d.sync(d.log); err != nil {
		return failed("sync", d.log.Name(), err)
	}
	d.size += int64(len(data))
	d.synced(SyncStats{span: d.clock.Now().Sub(begin), batches: len(batches), bytes: len(data)})
	return nil
}

// frame appends the frame of a batch.
func (d *Disk) frame(to []byte, b peer.Batch) ([]byte, error) {
	payload, err := peers.MarshalBatch(b)
	if err == nil && len(payload) > maxPayload {
		err = errTooLarge
	}
	if err != nil {
		return nil, failed("encode batch for", d.folder, err)
	}
	return appendFrame(to, payload), nil
}

// renew stores a snapshot and begins a new log file with the batch.
func (d *Disk) renew(b peer.Batch) error {
	begin := d.clock.Now()
	payload, err := peers.MarshalSnapshot(b.Snapshot())
	if err == nil && len(payload) > maxPayload {
		err = errTooLarge
	}
	if err != nil {
		return failed("encode snapshot for", d.folder, err)
	}
	number := d.number + 1
	data := append([]byte(snapshotMagic), appendFrame(nil, payload)...)
	file, err := d.place(snapshotName(number), data)
	if err != nil {
		return err
	}
	_ = file.Close()
	size, err := d.begin(number, b)
	if err != nil {
		return err
	}
	d.synced(SyncStats{span: d.clock.Now().Sub(begin), batches: 1, bytes: len(data) + size})
	return nil
}

// begin makes the log file with the number, which refers to the snapshot with
// the same number if the batch has one, else to the present one. It returns the
// size of the file.
func (d *Disk) begin(number uint64, b peer.Batch) (int, error) {
	snapshot := d.snapshot
	if b.Snapshot().Index() > 0 {
		snapshot = number
	}
	data, err := d.frame(logHeader(number, snapshot), b)
	if err != nil {
		return 0, err
	}
	file, err := d.place(logName(number), data)
	if err != nil {
		return 0, err
	}
	if d.log != nil {
		_ = d.log.Close()
	}
	d.log, d.number, d.snapshot, d.size = file, number, snapshot, int64(len(data))
	return len(data), d.tidy()
}
