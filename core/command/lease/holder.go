package lease

import "verbenabank/core/clock"

// maxInFlight is how many renewals without an answer are remembered; older ones are dropped.
const maxInFlight = 32

// Holder tracks a daemon's own lease. It is for the control goroutine only.
type Holder struct {
	params   Params
	sequence uint64
	inFlight map[uint64]clock.Millis
	end      clock.Millis
	rulesEnd clock.Millis
	// confirmed is the latest time at which the rules were certainly the newest ones, 0 if there is none.
	confirmed clock.Millis
	// granted is when the newest answered renewal was sent, 0 if there is none.
	granted clock.Millis
}

// NewHolder returns a holder without a lease.
func NewHolder(opts ...Option) *Holder {
	return &Holder{params: applyOptions(opts), inFlight: map[uint64]clock.Millis{}}
}

// RecordSend records a renewal that is sent at now, under the next sequence number.
func (h *Holder) RecordSend(now clock.Millis) {
	h.sequence++
	h.inFlight[h.sequence] = now
	delete(h.inFlight, h.sequence-maxInFlight)
}

// Sequence returns the sequence number of the last renewal, 0 before the first.
func (h *Holder) Sequence() uint64 { return h.sequence }

// RecordGrant extends the lease with the answer to a renewal, counted from the sending of that
// renewal. Answers to renewals that are unknown or were answered already are ignored.
func (h *Holder) RecordGrant(sequence uint64, ttl, rulesTTL clock.Millis) {
	sent, ok := h.inFlight[sequence]
	if !ok {
		return
	}
	for n := range h.inFlight {
		if n <= sequence {
			delete(h.inFlight, n)
		}
	}
	h.end = max(h.end, sent.Add(ttl-h.params.margin))
	h.rulesEnd = max(h.rulesEnd, sent.Add(rulesTTL-h.params.margin))
	h.confirmed = max(h.confirmed, sent)
	h.granted = max(h.granted, sent)
}

// RecordConfirmation extends the lease on the rules, which were the newest ones at an instant according to another
// member. It does not extend the lease on ownership.
func (h *Holder) RecordConfirmation(at clock.Millis) {
	h.rulesEnd = max(h.rulesEnd, at.Add(h.params.rulesTTL-h.params.margin))
	h.confirmed = max(h.confirmed, at)
}

// OldestUnanswered returns the age at now of the oldest renewal without an answer, 0 if
// there is none.
func (h *Holder) OldestUnanswered(now clock.Millis) clock.Millis {
	age := clock.Millis(0)
	for _, sent := range h.inFlight {
		age = max(age, now.Sub(sent))
	}
	return age
}

// DropInFlight drops the renewals in flight, since their session ended.
func (h *Holder) DropInFlight() { clear(h.inFlight) }

// Relinquish ends the lease at once. The rules stay usable until RulesEnd.
func (h *Holder) Relinquish() {
	h.end = 0
	clear(h.inFlight)
}

// End returns when ownership expires, 0 without a lease.
func (h *Holder) End() clock.Millis { return h.end }

// RulesConfirmed returns when the rules were last known to be the newest ones, 0 if never.
func (h *Holder) RulesConfirmed() clock.Millis { return h.confirmed }

// LastGranted returns when the newest renewal that the leader has answered was sent, 0 if there is none. What the
// control group had accepted by then was sent to the daemon before the answer.
func (h *Holder) LastGranted() clock.Millis { return h.granted }

// RulesEnd returns when the rules may have become out of date.
func (h *Holder) RulesEnd() clock.Millis { return h.rulesEnd }
