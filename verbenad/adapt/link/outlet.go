package link

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"verbenabank/core/command/leader"
	"verbenabank/core/wire/codec"
	"verbenabank/core/wire/wirepb"
)

// outlet queues orders for one daemon. A full queue ends the session, since the
// daemon would fall behind without knowing.
type outlet struct {
	queue  chan *wirepb.Order
	cancel func()
}

func newOutlet(cancel func()) *outlet {
	return &outlet{queue: make(chan *wirepb.Order, queueLength), cancel: cancel}
}

// Welcome opens the session.
func (o *outlet) Welcome(group uint64) { o.put(codec.EncodeWelcome(group)) }

// Send queues what the leader decided.
func (o *outlet) Send(e leader.Effect, group uint64) {
	switch e := e.(type) {
	case leader.SendLease:
		o.put(codec.EncodeLease(e, group))
	case leader.SendUpdate:
		o.put(codec.EncodeUpdate(e.Update()))
	case leader.SendRejoin:
		o.put(codec.EncodeRejoin(e))
	case leader.Offer, leader.Confirm:
	}
}

// Redirect names another replica and ends the session.
func (o *outlet) Redirect(address string) {
	o.put(codec.EncodeRedirect(address))
	close(o.queue)
}

func (o *outlet) put(m *wirepb.Order) {
	select {
	case o.queue <- m:
	default:
		o.cancel()
	}
}

// serve sends queued orders until the session ends.
func (o *outlet) serve(ctx context.Context, stream wirepb.Control_AttachServer) error {
	for {
		select {
		case <-ctx.Done():
			return status.Error(codes.Canceled, "link: the session ended")
		case m, ok := <-o.queue:
			if !ok {
				return nil
			}
			if err := stream.Send(m); err != nil {
				return err
			}
		}
	}
}
