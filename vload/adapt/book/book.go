// Package book keeps the ledgers of stand-in targets in append-only files of
// JSON lines.
package book

import (
	"os"

	"github.com/sourcegraph/conc"

	"verbenabank/core/clock"
	"verbenabank/vload/state/ledger"
)

const queueLength = 1024

// Book appends to one ledger file. It is safe for concurrent use.
type Book struct {
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
func New(path, boot, service, instance string) (*Book, func(), error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, nil, fail("open", Unwritable, err)
	}
	b := &Book{
		boot: boot, service: service, instance: instance,
		file: file, entries: make(chan entry, queueLength),
	}
	b.writer.Go(b.write)
	stop := func() {
		close(b.entries)
		b.writer.Wait()
		_ = file.Close()
	}
	return b, stop, nil
}

// Begin writes that a request begins to run. It returns after the operating
// system has the line.
func (b *Book) Begin(ticket uint64, o ledger.Order, at clock.Millis) error {
	return b.append(line{
		Kind: kindBegin, Boot: b.boot, Ticket: ticket, At: at, Service: b.service, Instance: b.instance,
		ID: o.ID(), Key: o.Key(), Method: o.Method(), Shard: o.Shard(), Epoch: o.Epoch(), Lease: o.Lease(),
	})
}

// Commit writes that a request took effect.
func (b *Book) Commit(ticket uint64, at clock.Millis) error {
	return b.append(line{Kind: kindCommit, Boot: b.boot, Ticket: ticket, At: at})
}

// Abort writes that a request was given up without effect.
func (b *Book) Abort(ticket uint64, at clock.Millis) error {
	return b.append(line{Kind: kindAbort, Boot: b.boot, Ticket: ticket, At: at})
}

// Leave writes that the target announced its leave.
func (b *Book) Leave(at clock.Millis) error {
	return b.append(line{Kind: kindLeave, Boot: b.boot, At: at})
}

func (b *Book) append(l line) error {
	e := entry{text: encode(l), done: make(chan error, 1)}
	b.entries <- e
	return <-e.done
}

// write takes all entries that wait and gives them to the operating system at
// once.
func (b *Book) write() {
	for e := range b.entries {
		batch := []entry{e}
		for range len(b.entries) {
			batch = append(batch, <-b.entries)
		}
		var text []byte
		for _, e := range batch {
			text = append(text, e.text...)
		}
		_, err := b.file.Write(text)
		if err != nil {
			err = fail("append", Unwritable, err)
		}
		for _, e := range batch {
			e.done <- err
		}
	}
}
