package link

import (
	"sync"
	"sync/atomic"

	"verbenabank/core/command/leader"
	"verbenabank/core/wire/wirepb"
)

// updateCache holds the last encoded full update and the last incremental one, since most
// sessions are sent the same updates. It is safe for concurrent use.
type updateCache struct {
	encode      func(leader.Update) *wirepb.Order
	encoding    sync.Mutex                   // held while an update is encoded, so that one session does it for all
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
	if order, ok := slot.Load().get(u); ok {
		return order
	}
	c.encoding.Lock()
	defer c.encoding.Unlock()
	if order, ok := slot.Load().get(u); ok {
		return order
	}
	m := c.encode(u)
	slot.Store(&cachedUpdate{from: u.From(), to: u.To(), order: m})
	return m
}

// get returns the encoded update if it is that of u. The receiver may be nil.
func (c *cachedUpdate) get(u leader.Update) (*wirepb.Order, bool) {
	if c == nil || c.from != u.From() || c.to != u.To() {
		return nil, false
	}
	return c.order, true
}
