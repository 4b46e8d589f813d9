// Package memory counts the memory that a process holds for others against one budget: connections, request heads by what
// they cost when parsed, buffered bodies and answers, and requests of other daemons.
package memory

import (
	"bytes"
	"math"
	"sync"
	"sync/atomic"

	"verbenabank/core/command/quota"
	"verbenabank/verbenad/command/meter"
)

// Costs of what a process holds, in bytes.
const (
	// RequestBytes is the cost of a request in flight besides its head and body: its goroutines, buffers and streams.
	RequestBytes = 24 << 10
	// lineBytes is the cost of a header line or a cookie besides its bytes: a parsed field, its copies and its messages.
	lineBytes = 256
	// copies is how often the bytes of a head are held.
	copies = 2
)

// HeadBytes returns the cost of a head with a number of bytes and lines.
func HeadBytes(size, lines int) int64 { return int64(size)*copies + int64(lines)*lineBytes }

// Lines returns how many fields a head costs: its lines, and its semicolons, since each may separate two cookies.
func Lines(head []byte) int { return bytes.Count(head, newline) + bytes.Count(head, semicolon) }

var newline, semicolon = []byte("\n"), []byte(";")

// Budget is the memory budget of a process. It is safe for concurrent use.
type Budget struct {
	meter  *meter.Meter
	mu     sync.Mutex
	budget *quota.Budget
}

// Share is what one connection holds of the budget. It is safe for concurrent use.
type Share struct {
	budget *Budget
	share  quota.Share
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget {
	return &Budget{meter: meter.ForPart("memory"), budget: quota.New(limit)}
}

// Unlimited returns a budget that refuses nothing.
func Unlimited() *Budget { return New(math.MaxInt64) }

// NewShare returns a share that holds nothing.
func (b *Budget) NewShare() *Share { return &Share{budget: b} }

// Held returns how many bytes are held.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Held()
}

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 { return b.budget.Limit() }

// Take takes n bytes and reports whether they were granted. What was refused is counted by its kind.
func (s *Share) Take(n int64, kind string) bool {
	s.budget.mu.Lock()
	v := s.budget.budget.Take(&s.share, n)
	s.budget.mu.Unlock()
	switch v.(type) {
	case quota.Granted:
		return true
	case quota.Refused:
		s.budget.meter.Add("refused_"+kind, 1)
	}
	return false
}

// Force takes n bytes that are held already.
func (s *Share) Force(n int64) {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.budget.budget.Force(&s.share, n)
}

// Give gives n bytes back.
func (s *Share) Give(n int64) {
	if n == 0 {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.budget.budget.Give(&s.share, n)
}

// Close gives back all that the connection holds, also what was not given back after a panic. Nothing may be taken after it.
func (s *Share) Close() {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.budget.budget.Give(&s.share, s.share.Held())
}

// Tally is the sum of what one request holds of a share, so that it is given back at once. It is safe for concurrent use.
type Tally struct {
	share *Share
	held  atomic.Int64
}

// NewTally returns a tally that holds nothing.
func (s *Share) NewTally() *Tally { return &Tally{share: s} }

// Take takes n bytes and reports whether they were granted.
func (t *Tally) Take(n int64, kind string) bool {
	if !t.share.Take(n, kind) {
		return false
	}
	t.held.Add(n)
	return true
}

// Force takes n bytes that are held already.
func (t *Tally) Force(n int64) {
	t.share.Force(n)
	t.held.Add(n)
}

// Give gives back n bytes that the request does not hold any more.
func (t *Tally) Give(n int64) {
	t.held.Add(-n)
	t.share.Give(n)
}

// Close gives back all that the request holds.
func (t *Tally) Close() { t.share.Give(t.held.Swap(0)) }
