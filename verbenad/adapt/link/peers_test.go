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

// counting counts the streams of a peer server.
type counting struct {
	wirepb.UnimplementedPeerServer
	inner   wirepb.PeerServer
	streams atomic.Int32
}

func (c *counting) Exchange(s wirepb.Peer_ExchangeServer) error {
	c.streams.Add(1)
	return c.inner.Exchange(s)
}

// mute takes messages and gives no sign.
type mute struct{ wirepb.UnimplementedPeerServer }

func (mute) Exchange(s wirepb.Peer_ExchangeServer) error {
	for {
		if _, err := s.Recv(); err != nil {
			return err
		}
	}
}

// TestSilentStreamToAReplicaIsReplaced is seed 116 of the soak: a line that takes bytes and passes
// none on left the control group without a leader for good.
func TestSilentStreamToAReplicaIsReplaced(t *testing.T) {
	log := logrus.NewEntry(logrus.New())
	for _, c := range []struct {
		name   string
		inner  wirepb.PeerServer
		silent bool
	}{{"silent", mute{}, true}, {"sound", link.NewServer(ctrl.New(), codec.New(), log), false}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			n := &counting{inner: c.inner}
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
			is.Equal(n.streams.Load() > 1, c.silent)
		})
	}
}
