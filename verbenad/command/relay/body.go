package relay

import (
	"io"
	"sync"
)

// replayBytes is how much of a body is kept for another attempt. It covers what a hop
// sends before the other daemon admits the request.
const replayBytes = 192 << 10

// Body is the body of a request, read from the caller once and kept in part, so that
// attempts which surely did not run can be made again.
type Body struct {
	source  io.Reader
	length  int64
	limit   int64
	onWhole func()

	reading sync.Mutex // held while the source is read

	mu      sync.Mutex
	kept    []byte
	read    int64
	attempt int
	over    bool // kept is not all that was read
	whole   bool
	err     *Error
}

// NewBody returns the body of announced length, -1 if it is not announced, and at
// most limit bytes. onWhole is called when all of it was read.
func NewBody(source io.Reader, length, limit int64, onWhole func()) *Body {
	return &Body{source: source, length: length, limit: limit, onWhole: onWhole}
}

// open returns the reader of a new attempt; the readers of earlier ones fail.
func (b *Body) open() io.Reader {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempt++
	return &attemptBody{body: b, attempt: b.attempt}
}

// replayable ends the present attempt and reports whether another one would get the
// whole body.
func (b *Body) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempt++
	return !b.over && b.err == nil
}

// Length returns the announced length in bytes, -1 if it was not announced.
func (b *Body) Length() int64 { return b.length }

// fault returns why the body could not be read whole, nil if there was no fault.
func (b *Body) fault() *Error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// Finish ends all attempts. It reports whether the whole body was read; if not, interrupt
// is called to end a read that is under way.
func (b *Body) Finish(interrupt func()) bool {
	b.mu.Lock()
	b.attempt++
	whole := b.whole
	b.mu.Unlock()
	if whole {
		return true
	}
	if !b.reading.TryLock() {
		interrupt()
		b.reading.Lock()
	}
	b.reading.Unlock()
	return false
}

// attemptBody reads the body for one attempt.
type attemptBody struct {
	body    *Body
	attempt int
	offset  int64
}

// Read returns what is kept, then what the caller sends.
func (a *attemptBody) Read(p []byte) (int, error) {
	b := a.body
	b.reading.Lock()
	defer b.reading.Unlock()
	if n, err, ok := a.readKept(p); ok {
		return n, err
	}
	n, err := b.source.Read(p)
	return a.note(p[:n], err)
}

// readKept reports false if the source must be read.
func (a *attemptBody) readKept(p []byte) (int, error, bool) {
	b := a.body
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case a.attempt != b.attempt:
		return 0, unread(Abandoned, nil), true
	case a.offset < b.read && !b.over:
		n := copy(p, b.kept[a.offset:])
		a.offset += int64(n)
		return n, nil, true
	case b.err != nil:
		return 0, b.err, true
	case b.whole:
		return 0, io.EOF, true
	}
	if len(b.kept) >= replayBytes {
		b.over, b.kept = true, nil
	}
	return 0, nil, false
}

// note takes in what was read from the source.
func (a *attemptBody) note(p []byte, err error) (int, error) {
	b := a.body
	b.mu.Lock()
	defer b.mu.Unlock()
	b.read += int64(len(p))
	a.offset += int64(len(p))
	if !b.over {
		b.kept = append(b.kept, p...)
	}
	switch {
	case b.read > b.limit:
		b.err = unread(Oversized, nil)
	case err == io.EOF && b.length >= 0 && b.read < b.length:
		b.err = unread(Short, nil)
	case err == io.EOF, err == nil && b.read == b.length:
		b.whole = true
		err = io.EOF
		b.onWhole()
	case err != nil:
		b.err = unread(Unread, err)
	}
	if b.err != nil {
		return 0, b.err
	}
	return len(p), err
}
