package lease

import "verbenabank/core/clock"

// waiting is the most renewals that may be on their way at once.
const waiting = 32

// Holder is a daemon's own count of its lease. It is for the control goroutine
// only.
type Holder struct {
	terms    Params
	sequence uint64
	sent     map[uint64]clock.Millis
	end      clock.Millis
	rulesEnd clock.Millis
}

// NewHolder returns a holder without a lease.
func NewHolder(opts ...Option) *Holder {
	return &Holder{terms: terms(opts), sent: map[uint64]clock.Millis{}}
}

// RecordSend numbers a renewal that is sent at now.
func (h *Holder) RecordSend(now clock.Millis) {
	h.sequence++
	h.sent[h.sequence] = now
	delete(h.sent, h.sequence-waiting)
}

// Sequence returns the number of the last renewal.
func (h *Holder) Sequence() uint64 { return h.sequence }

// RecordGrant counts the answer to the renewal with the number. Answers to renewals
// that are not known, or are answered already, count for nothing.
func (h *Holder) RecordGrant(sequence uint64, span, rulesSpan clock.Millis) {
	sent, ok := h.sent[sequence]
	if !ok {
		return
	}
	for n := range h.sent {
		if n <= sequence {
			delete(h.sent, n)
		}
	}
	h.end = max(h.end, sent.Add(span-h.terms.margin))
	h.rulesEnd = max(h.rulesEnd, sent.Add(rulesSpan-h.terms.margin))
}

// OldestUnanswered returns the age at now of the oldest renewal without an answer, 0 if
// there is none.
func (h *Holder) OldestUnanswered(now clock.Millis) clock.Millis {
	age := clock.Millis(0)
	for _, sent := range h.sent {
		age = max(age, now.Sub(sent))
	}
	return age
}

// DropInFlight forgets renewals that went to a session which ended.
func (h *Holder) DropInFlight() { clear(h.sent) }

// Relinquish ends ownership at once. The rules stay usable to their end.
func (h *Holder) Relinquish() {
	h.end = 0
	clear(h.sent)
}

// End returns the instant at which ownership lapses.
func (h *Holder) End() clock.Millis { return h.end }

// RulesEnd returns the instant from which the rules may be out of date.
func (h *Holder) RulesEnd() clock.Millis { return h.rulesEnd }
