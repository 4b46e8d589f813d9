package relay

import (
	"io"
	"sync"
)

// maxReplayBytes is how much of a body is buffered for a retry. It covers what is forwarded to
// another daemon before that daemon admits the request.
const maxReplayBytes = 192 << 10

// Body is the body of a request. It is read from the caller once and its first part is buffered,
// so that an attempt that certainly did not run can be retried.
type Body struct {
	source     io.Reader
	length     int64
	limit      int64
	onComplete func()
	memory     Memory // nil if all is granted

	readMu sync.Mutex // held during reads of the source

	mu         sync.Mutex
	replay     []byte
	received   int64
	attempt    int
	overflowed bool // more was received than replay can hold
	complete   bool
	err        *Error
}

// Memory grants the memory for what is buffered of a body. What is not given back before is given back with the request.
type Memory interface {
	// Take takes n bytes and reports whether they were granted. A refusal is counted by its kind.
	Take(n int64, kind string) bool
	// Give gives n bytes back.
	Give(n int64)
}

// BodyOption sets one property of a Body.
type BodyOption func(*Body)

// WithMemory sets what grants the memory for the buffered part of the body. If it refuses, the body is not buffered any
// more, so that a failed attempt is not repeated. By default all is granted.
func WithMemory(m Memory) BodyOption { return func(b *Body) { b.memory = m } }

// NewBody returns a body of the announced length in bytes, -1 if it is unknown, that may have at
// most limit bytes. onComplete is called once, with a lock of the body held, when all of it was
// read.
func NewBody(source io.Reader, length, limit int64, onComplete func(), opts ...BodyOption) *Body {
	b := &Body{source: source, length: length, limit: limit, onComplete: onComplete}
	for _, o := range opts {
		o(b)
	}
	return b
}

// newReader returns the reader of a new attempt. Readers of earlier attempts fail from then on.
func (b *Body) newReader() io.Reader {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempt++
	return &attemptReader{body: b, attempt: b.attempt}
}

// replayable ends the current attempt and reports whether a retry could send the whole body.
func (b *Body) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempt++
	return !b.overflowed && b.err == nil
}

// Length returns the announced length in bytes, -1 if it is unknown.
func (b *Body) Length() int64 { return b.length }

// readError returns why the body could not be read to its end, nil if no read failed so far.
func (b *Body) readError() *Error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// Finish ends all attempts and reports whether the whole body was read. If not, and a read is in
// progress, it calls interrupt, which must make that read return, and waits for it.
func (b *Body) Finish(interrupt func()) bool {
	b.mu.Lock()
	b.attempt++
	complete := b.complete
	b.mu.Unlock()
	if complete {
		return true
	}
	if !b.readMu.TryLock() {
		interrupt()
		b.readMu.Lock()
	}
	b.readMu.Unlock()
	return false
}

// attemptReader reads the body from its start for one attempt.
type attemptReader struct {
	body    *Body
	attempt int
	offset  int64
}

// Read returns the buffered bytes first, then those from the caller.
func (a *attemptReader) Read(p []byte) (int, error) {
	b := a.body
	b.readMu.Lock()
	defer b.readMu.Unlock()
	if n, err, ok := a.readReplay(p); ok {
		return n, err
	}
	n, err := b.source.Read(p)
	return a.record(p[:n], err)
}

// readReplay reads buffered bytes, or returns the known end or error of the body. It reports
// false if the source must be read.
func (a *attemptReader) readReplay(p []byte) (int, error, bool) {
	b := a.body
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case a.attempt != b.attempt:
		return 0, newReadError(AttemptEnded, nil), true
	case a.offset < b.received && !b.overflowed:
		n := copy(p, b.replay[a.offset:])
		a.offset += int64(n)
		return n, nil, true
	case b.err != nil:
		return 0, b.err, true
	case b.complete:
		return 0, io.EOF, true
	}
	if len(b.replay) >= maxReplayBytes {
		b.dropReplay()
	}
	return 0, nil, false
}

// buffer appends bytes to the replay buffer, or drops it if its memory is not granted. b.mu must be held.
func (b *Body) buffer(p []byte) {
	if b.overflowed || len(p) == 0 {
		return
	}
	if b.memory != nil && !b.memory.Take(int64(len(p)), "bodies") {
		b.dropReplay()
		return
	}
	b.replay = append(b.replay, p...)
}

// dropReplay drops the replay buffer for good and gives its memory back. b.mu must be held.
func (b *Body) dropReplay() {
	if b.memory != nil {
		b.memory.Give(int64(len(b.replay)))
	}
	b.overflowed, b.replay = true, nil
}

// record buffers bytes that were read from the source and checks the length of the body.
func (a *attemptReader) record(p []byte, err error) (int, error) {
	b := a.body
	b.mu.Lock()
	defer b.mu.Unlock()
	b.received += int64(len(p))
	a.offset += int64(len(p))
	b.buffer(p)
	switch {
	case b.received > b.limit:
		b.err = newReadError(Oversized, nil)
	case err == io.EOF && b.length >= 0 && b.received < b.length:
		b.err = newReadError(Incomplete, nil)
	case err == io.EOF, err == nil && b.received == b.length:
		b.complete = true
		err = io.EOF
		b.onComplete()
	case err != nil:
		b.err = newReadError(ReadFailed, err)
	}
	if b.err != nil {
		return 0, b.err
	}
	return len(p), err
}
