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

	"verbenabank/core/command/agent"
	"verbenabank/core/wire/codec"
	"verbenabank/verbenad/adapt/link"
)

// TestAttachAttemptsBackOff guards against daemons that reconnect without backoff while no
// leader exists: it counts the connections to a replica that closes each of them.
func TestAttachAttemptsBackOff(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var attempts atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			attempts.Add(1)
			_ = c.Close()
		}
	}()
	u, stop := link.NewUplink(link.NewAddresses(l.Addr().String()),
		[]grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}, codec.New(), logrus.NewEntry(logrus.New()))
	u.Start(func(agent.Event) {})
	time.Sleep(time.Second)
	stop()
	_ = l.Close()
	is.True(attempts.Load() >= 3)
	is.True(attempts.Load() <= 22) // constant delays of 20 ms would give more than 30
}
