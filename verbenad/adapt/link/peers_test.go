package link_test

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"verbenabank/core/state/peer"
	"verbenabank/core/wire/codec"
	"verbenabank/core/wire/wirepb"
	"verbenabank/verbenad/adapt/link"
	"verbenabank/verbenad/command/ctrl"
)

// streamCounter is a peer server that counts its streams.
type streamCounter struct {
	wirepb.UnimplementedPeerServer
	inner   wirepb.PeerServer
	streams atomic.Int32
}

func (c *streamCounter) Exchange(s wirepb.Peer_ExchangeServer) error {
	c.streams.Add(1)
	return c.inner.Exchange(s)
}

// unresponsivePeer receives messages and acknowledges none.
type unresponsivePeer struct{ wirepb.UnimplementedPeerServer }

func (unresponsivePeer) Exchange(s wirepb.Peer_ExchangeServer) error {
	for {
		if _, err := s.Recv(); err != nil {
			return err
		}
	}
}

// TestUnacknowledgedPeerStreamIsReplaced guards against a failure of the soak test (seed 116): a
// connection that accepted bytes but delivered none was never replaced, which left the control
// group without a leader for good.
func TestUnacknowledgedPeerStreamIsReplaced(t *testing.T) {
	log := logrus.NewEntry(logrus.New())
	for _, c := range []struct {
		name     string
		inner    wirepb.PeerServer
		replaced bool
	}{{"unresponsive", unresponsivePeer{}, true}, {"responsive", link.NewServer(ctrl.New(), codec.New(), log), false}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			n := &streamCounter{inner: c.inner}
			s := grpc.NewServer()
			wirepb.RegisterPeerServer(s, n)
			go func() { _ = s.Serve(l) }()
			defer s.Stop()
			p, stop := link.NewPeerTransport([]grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}, log)
			defer stop()
			for range 60 { // 3 s
				p.Send(l.Addr().String(), peer.NewMessage(peer.NewHeader(1, 1, "10.0.0.1:1", 2), 1, peer.NewHello(1, 0)))
				time.Sleep(50 * time.Millisecond)
			}
			is.Equal(n.streams.Load() > 1, c.replaced)
		})
	}
}
