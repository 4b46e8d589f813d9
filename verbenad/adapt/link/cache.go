package link

import (
	"sync/atomic"

	"verbenabank/core/command/leader"
	"verbenabank/core/wire/codec"
	"verbenabank/core/wire/wirepb"
)

// updateCache keeps the newest encoded updates, since most sessions are sent the same
// ones. Sessions that ask for the same update at once may encode it twice. It is
// safe for concurrent use.
type updateCache struct {
	whole atomic.Pointer[cachedUpdate] // from the empty table
	step  atomic.Pointer[cachedUpdate]
}

// cachedUpdate is an encoded update. The versions determine it, since they are
// indexes of the log.
type cachedUpdate struct {
	from, to uint64
	order    *wirepb.Order
}

// order returns the message of an update, which must not be changed.
func (s *updateCache) order(u leader.Update) *wirepb.Order {
	place := &s.step
	if u.Full() {
		place = &s.whole
	}
	if k := place.Load(); k != nil && k.from == u.From() && k.to == u.To() {
		return k.order
	}
	m := codec.EncodeUpdate(u)
	place.Store(&cachedUpdate{from: u.From(), to: u.To(), order: m})
	return m
}
