// Package grant holds the data that passes between a daemon and its target about the keys of an
// ordered service: what the target reports in a heartbeat, and what the answer offers it.
package grant

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/table"
)

// Delivery is the way in which grants reach the target: ByCall or ByHeartbeat.
type Delivery interface{ delivery() }

// ByCall grants and releases keys with one call to the target for each range.
type ByCall struct{}

// ByHeartbeat grants keys in the answers to the target's heartbeats. An answer lists everything that
// the target is to hold; the target releases the rest.
type ByHeartbeat struct{}

func (ByCall) delivery()      {}
func (ByHeartbeat) delivery() {}

// MaxHandoverBytes is the length of the longest handover token that is passed on.
const MaxHandoverBytes = 32

// Row is a range of keys that a target holds, or is to hold, at an epoch.
type Row struct {
	first    table.Key
	last     table.Key
	epoch    table.Epoch
	handover string
}

// NewRow returns the row for the keys from first to last, both inclusive.
func NewRow(first, last table.Key, e table.Epoch) Row { return Row{first: first, last: last, epoch: e} }

// WithHandover returns the row with the token of the previous holder.
func (r Row) WithHandover(token string) Row {
	r.handover = token
	return r
}

// First returns the first key, inclusive.
func (r Row) First() table.Key { return r.first }

// Last returns the last key, inclusive.
func (r Row) Last() table.Key { return r.last }

// Epoch returns the fencing token.
func (r Row) Epoch() table.Epoch { return r.epoch }

// Handover returns the token of the previous holder, "" if there is none.
func (r Row) Handover() string { return r.handover }

// FreedRow is a range of keys that a target has released, with the token for the next holder.
type FreedRow struct {
	first    table.Key
	last     table.Key
	handover string
}

// NewFreedRow returns the row for the keys from first to last, both inclusive. A token of more than
// MaxHandoverBytes is dropped, so that the next holder starts without one.
func NewFreedRow(first, last table.Key, handover string) FreedRow {
	if len(handover) > MaxHandoverBytes {
		handover = ""
	}
	return FreedRow{first: first, last: last, handover: handover}
}

// First returns the first key, inclusive.
func (r FreedRow) First() table.Key { return r.first }

// Last returns the last key, inclusive.
func (r FreedRow) Last() table.Key { return r.last }

// Handover returns the token for the next holder, "" if there is none.
func (r FreedRow) Handover() string { return r.handover }

// Answer is what the answer to a heartbeat says about keys: Nothing or Offer.
type Answer interface{ answer() }

// Nothing leaves the target's keys as they are and renews none.
type Nothing struct{}

// Offer lists all keys that the target is to hold. The target releases all others, so an offer without
// rows takes everything away.
type Offer struct {
	rows []Row
	ttl  clock.Millis
}

// NewOffer returns an offer of the rows for ttl, counted from the sending of the heartbeat.
func NewOffer(rows []Row, ttl clock.Millis) Offer { return Offer{rows: rows, ttl: ttl} }

// Rows returns the ranges of keys, ordered by key. The caller must not modify them.
func (o Offer) Rows() []Row { return o.rows }

// TTL returns the time to live, counted by the target from the sending of the heartbeat.
func (o Offer) TTL() clock.Millis { return o.ttl }

func (Nothing) answer() {}
func (Offer) answer()   {}
