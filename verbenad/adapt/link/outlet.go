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
	queue       chan parcel
	updateCache *updateCache
	cancel      func()
}

func newOutlet(s *updateCache, cancel func()) *outlet {
	return &outlet{queue: make(chan parcel, sessionQueue), updateCache: s, cancel: cancel}
}

// parcel is what waits for a daemon: encoded or unencoded. Updates can be large,
// so they are encoded by the session and not by the control goroutine.
type parcel interface{ parcel() }

type encoded struct{ order *wirepb.Order }

type unencoded struct{ update leader.Update }

func (encoded) parcel()   {}
func (unencoded) parcel() {}

// Welcome opens the session.
func (o *outlet) Welcome(group uint64, replicas []string) {
	o.put(encoded{order: codec.EncodeWelcome(group, replicas)})
}

// Send queues what the leader decided.
func (o *outlet) Send(e leader.Effect, group uint64) {
	switch e := e.(type) {
	case leader.SendLease:
		o.put(encoded{order: codec.EncodeLease(e, group)})
	case leader.SendUpdate:
		o.put(unencoded{update: e.Update()})
	case leader.SendRejoin:
		o.put(encoded{order: codec.EncodeRejoin(e)})
	case leader.Propose, leader.Confirm:
	}
}

// Redirect names another replica and ends the session.
func (o *outlet) Redirect(address string) {
	o.put(encoded{order: codec.EncodeRedirect(address)})
	close(o.queue)
}

func (o *outlet) put(p parcel) {
	select {
	case o.queue <- p:
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
		case p, ok := <-o.queue:
			if !ok {
				return nil
			}
			if err := stream.Send(o.order(p)); err != nil {
				return err
			}
		}
	}
}

func (o *outlet) order(p parcel) *wirepb.Order {
	switch p := p.(type) {
	case encoded:
		return p.order
	case unencoded:
		return o.updateCache.order(p.update)
	}
	return nil
}
