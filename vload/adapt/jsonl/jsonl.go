// Package jsonl stores the ledgers of stand-in targets in append-only files, one JSON
// object a line.
package jsonl

import (
	"os"

	"github.com/sourcegraph/conc"

	"verbenabank/core/clock"
	"verbenabank/vload/state/ledger"
)

const queueSize = 1024

// Writer appends records to a ledger file. It is safe for concurrent use: one
// goroutine writes, and batches the records that are queued.
type Writer struct {
	boot     string
	service  string
	instance string
	file     *os.File
	entries  chan entry
	worker   conc.WaitGroup
}

// entry is an encoded record in the queue. done receives the result of its write.
type entry struct {
	text []byte
	done chan error
}

// New opens or creates the ledger file at path for one run of a target. boot must be
// unique to the run. The second result writes the queued records and closes the file;
// no record may be appended after it is called.
func New(path, boot, service, instance string) (*Writer, func(), error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, nil, fail("open", Unwritable, err)
	}
	w := &Writer{
		boot: boot, service: service, instance: instance,
		file: file, entries: make(chan entry, queueSize),
	}
	w.worker.Go(w.writeBatches)
	stop := func() {
		close(w.entries)
		w.worker.Wait()
		_ = file.Close()
	}
	return w, stop, nil
}

// Begin records the start of an execution. It returns after the record was written
// to the file, without a sync to disk.
func (w *Writer) Begin(sequence uint64, r ledger.Request, at clock.Millis) error {
	return w.append(line{
		Kind: kindBegin, Boot: w.boot, Sequence: sequence, At: at, Service: w.service, Instance: w.instance,
		ID: r.ID(), Key: r.Key(), Method: r.Method(), Shard: r.Shard(), Epoch: r.Epoch(), Lease: r.LeaseUntil(),
	})
}

// Commit records that an execution took effect, and returns as Begin does.
func (w *Writer) Commit(sequence uint64, at clock.Millis) error {
	return w.append(line{Kind: kindCommit, Boot: w.boot, Sequence: sequence, At: at})
}

// Abort records that an execution was aborted without effect, and returns as Begin does.
func (w *Writer) Abort(sequence uint64, at clock.Millis) error {
	return w.append(line{Kind: kindAbort, Boot: w.boot, Sequence: sequence, At: at})
}

// RecordShutdown records that the target announced its shutdown, and returns as Begin does.
func (w *Writer) RecordShutdown(at clock.Millis) error {
	return w.append(line{Kind: kindShutdown, Boot: w.boot, At: at})
}

func (w *Writer) append(l line) error {
	e := entry{text: encode(l), done: make(chan error, 1)}
	w.entries <- e
	return <-e.done
}

// writeBatches writes all queued entries with one system call.
func (w *Writer) writeBatches() {
	for e := range w.entries {
		batch := []entry{e}
		for range len(w.entries) {
			batch = append(batch, <-w.entries)
		}
		var text []byte
		for _, e := range batch {
			text = append(text, e.text...)
		}
		_, err := w.file.Write(text)
		if err != nil {
			err = fail("append", Unwritable, err)
		}
		for _, e := range batch {
			e.done <- err
		}
	}
}
