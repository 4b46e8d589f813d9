// Package quota decides who may hold how much of a memory budget that all share. A holder is a connection, or what else
// presses on a process; the budget is divided by dynamic thresholds: a holder gets no more than what is left free, so one
// that presses is refused long before the budget is used up, and others still find room. A reserve is kept for small
// amounts, which ordinary requests take.
package quota

const (
	// SmallBytes is the largest amount that may be taken from the reserve.
	SmallBytes = 32 << 10
	// reserveParts is the reserve as a part of the budget: one in so many.
	reserveParts = 4
)

// Verdict is the decision on an amount: Granted or Refused.
type Verdict interface{ verdict() }

// Granted means that the amount was taken; it has to be given back.
type Granted struct{}

// Refused means that nothing was taken.
type Refused struct{}

func (Granted) verdict() {}
func (Refused) verdict() {}

// Budget is a number of bytes and how many of them are held. It is not safe for concurrent use.
type Budget struct {
	limit int64
	held  int64
}

// Share is what one holder holds of a budget.
type Share struct{ held int64 }

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Held returns how many bytes all holders hold.
func (b *Budget) Held() int64 { return b.held }

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Held returns how many bytes the holder holds.
func (s *Share) Held() int64 { return s.held }

// Take takes n bytes for the holder unless that exceeds its threshold or the budget.
func (b *Budget) Take(s *Share, n int64) Verdict {
	free := b.limit - b.held
	if n > SmallBytes {
		free -= b.limit / reserveParts
	}
	if s.held+n > free {
		return Refused{}
	}
	b.held += n
	s.held += n
	return Granted{}
}

// Force takes n bytes that the holder has come to hold already, also beyond the budget.
func (b *Budget) Force(s *Share, n int64) {
	b.held += n
	s.held += n
}

// Give gives n bytes of the holder back.
func (b *Budget) Give(s *Share, n int64) {
	b.held -= n
	s.held -= n
}
