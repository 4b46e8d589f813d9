// Package lines keeps the ledgers of stand-in targets in append-only files of
// JSON lines.
package jsonl

import (
	"os"

	"github.com/sourcegraph/conc"

	"verbenabank/core/clock"
	"verbenabank/vload/state/ledger"
)

const queueLength = 1024

// Writer appends to one ledger file. It is safe for concurrent use.
type Writer struct {
	boot     string
	service  string
	instance string
	file     *os.File
	entries  chan entry
	writer   conc.WaitGroup
}

// entry is a line on its way to the file.
type entry struct {
	text []byte
	done chan error
}

// New opens the ledger file at path for one run of a target. boot is unique to
// the run. The second result closes the file.
func New(path, boot, service, instance string) (*Writer, func(), error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, nil, fail("open", Unwritable, err)
	}
	w := &Writer{
		boot: boot, service: service, instance: instance,
		file: file, entries: make(chan entry, queueLength),
	}
	w.writer.Go(w.write)
	stop := func() {
		close(w.entries)
		w.writer.Wait()
		_ = file.Close()
	}
	return w, stop, nil
}

// Begin writes that a request begins to run. It returns after the operating
// system has the line.
func (w *Writer) Begin(sequence uint64, o ledger.Request, at clock.Millis) error {
	return w.append(line{
		Kind: kindBegin, Boot: w.boot, Sequence: sequence, At: at, Service: w.service, Instance: w.instance,
		ID: o.ID(), Key: o.Key(), Method: o.Method(), Shard: o.Shard(), Epoch: o.Epoch(), Lease: o.LeaseUntil(),
	})
}

// Commit writes that a request took effect.
func (w *Writer) Commit(sequence uint64, at clock.Millis) error {
	return w.append(line{Kind: kindCommit, Boot: w.boot, Sequence: sequence, At: at})
}

// Abort writes that a request was given up without effect.
func (w *Writer) Abort(sequence uint64, at clock.Millis) error {
	return w.append(line{Kind: kindAbort, Boot: w.boot, Sequence: sequence, At: at})
}

// RecordShutdown writes that the target announced its leave.
func (w *Writer) RecordShutdown(at clock.Millis) error {
	return w.append(line{Kind: kindLeave, Boot: w.boot, At: at})
}

func (w *Writer) append(l line) error {
	e := entry{text: encode(l), done: make(chan error, 1)}
	w.entries <- e
	return <-e.done
}

// write takes all entries that wait and gives them to the operating system at
// once.
func (w *Writer) write() {
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
