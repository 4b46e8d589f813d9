package link

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"verbenabank/core/command/leader"
	"verbenabank/core/wire/codec"
	"verbenabank/core/wire/wirepb"
)

// orderQueue is the send queue of one daemon's session. An order that finds it full ends
// the session, since dropping it would leave the daemon behind without its knowledge.
// Only the control goroutine adds orders.
type orderQueue struct {
	orders      chan queuedOrder
	updateCache *updateCache
	cancel      func()
}

func newOrderQueue(cache *updateCache, cancel func()) *orderQueue {
	return &orderQueue{orders: make(chan queuedOrder, sessionQueueLength), updateCache: cache, cancel: cancel}
}

// queuedOrder is an entry of the queue: encodedOrder or pendingUpdate. Updates can be
// large, so the session's goroutine encodes them instead of the control goroutine.
type queuedOrder interface{ queuedOrder() }

type encodedOrder struct{ order *wirepb.Order }

type pendingUpdate struct{ update leader.Update }

func (encodedOrder) queuedOrder()  {}
func (pendingUpdate) queuedOrder() {}

// Welcome accepts the session and names the group and the addresses of its replicas.
func (o *orderQueue) Welcome(group uint64, replicas []string) {
	o.enqueue(encodedOrder{order: codec.EncodeWelcome(group, replicas)})
}

// Send queues a lease, an update or a request to join again. Other effects of the leader
// are ignored.
func (o *orderQueue) Send(e leader.Effect, group uint64) {
	switch e := e.(type) {
	case leader.SendLease:
		o.enqueue(encodedOrder{order: codec.EncodeLease(e, group)})
	case leader.SendUpdate:
		o.enqueue(pendingUpdate{update: e.Update()})
	case leader.SendRejoin:
		o.enqueue(encodedOrder{order: codec.EncodeRejoin(e)})
	case leader.Propose, leader.Confirm:
	}
}

// Redirect names another replica and ends the session after the queued orders. The
// queue must not be used afterwards.
func (o *orderQueue) Redirect(address string) {
	o.enqueue(encodedOrder{order: codec.EncodeRedirect(address)})
	close(o.orders)
}

func (o *orderQueue) enqueue(p queuedOrder) {
	select {
	case o.orders <- p:
	default:
		o.cancel()
	}
}

// serve sends the queued orders until the session ends.
func (o *orderQueue) serve(ctx context.Context, stream wirepb.Control_AttachServer) error {
	for {
		select {
		case <-ctx.Done():
			return status.Error(codes.Canceled, "link: the session ended")
		case p, ok := <-o.orders:
			if !ok {
				return nil
			}
			if err := stream.Send(o.encode(p)); err != nil {
				return err
			}
		}
	}
}

func (o *orderQueue) encode(p queuedOrder) *wirepb.Order {
	switch p := p.(type) {
	case encodedOrder:
		return p.order
	case pendingUpdate:
		return o.updateCache.get(p.update)
	}
	return nil
}
