package link

import (
	"sync/atomic"

	"verbenabank/core/command/leader"
	"verbenabank/core/wire/codec"
	"verbenabank/core/wire/wirepb"
)

// updateCache holds the last encoded full update and the last incremental one, since most
// sessions are sent the same updates. Sessions that need the same update at the same
// time may both encode it. It is safe for concurrent use.
type updateCache struct {
	full        atomic.Pointer[cachedUpdate] // starts from the empty table
	incremental atomic.Pointer[cachedUpdate]
}

// cachedUpdate is an encoded update. Its two versions identify it, since versions are
// indexes of the replicated log.
type cachedUpdate struct {
	from, to uint64
	order    *wirepb.Order
}

// get returns the encoded update, which is shared and must not be modified.
func (c *updateCache) get(u leader.Update) *wirepb.Order {
	slot := &c.incremental
	if u.Full() {
		slot = &c.full
	}
	if cached := slot.Load(); cached != nil && cached.from == u.From() && cached.to == u.To() {
		return cached.order
	}
	m := codec.EncodeUpdate(u)
	slot.Store(&cachedUpdate{from: u.From(), to: u.To(), order: m})
	return m
}
