package link_test

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"verbenabank/core/command/agent"
	"verbenabank/core/wire/codec"
	"verbenabank/core/wire/wirepb"
	"verbenabank/verbenad/adapt/link"
)

// slowListener delays the first read on each connection, as a process does whose processor is saturated.
type slowListener struct {
	net.Listener
	delay time.Duration
}

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &slowConn{Conn: c, delay: l.delay}, err
}

type slowConn struct {
	net.Conn
	delay time.Duration
	once  sync.Once
}

func (c *slowConn) Read(p []byte) (int, error) {
	c.once.Do(func() { time.Sleep(c.delay) })
	return c.Conn.Read(p)
}

// welcoming is a leader that accepts all sessions.
type welcoming struct {
	wirepb.UnimplementedControlServer
}

func (welcoming) Attach(s wirepb.Control_AttachServer) error {
	if err := s.Send(codec.EncodeWelcome(1, nil)); err != nil {
		return err
	}
	<-s.Context().Done()
	return nil
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func serveLeader(t *testing.T, l net.Listener) {
	s := grpc.NewServer()
	wirepb.RegisterControlServer(s, welcoming{})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
}

// startUplink returns the events of an uplink to the replicas.
func startUplink(t *testing.T, replicas ...string) <-chan agent.Event {
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	u, stop := link.NewUplink(link.NewAddresses(replicas...),
		[]grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}, codec.New(), logrus.NewEntry(log))
	t.Cleanup(stop)
	events := make(chan agent.Event, 16)
	u.Start(func(e agent.Event) { events <- e })
	return events
}

func awaitSession(t *testing.T, events <-chan agent.Event, limit time.Duration) {
	is := is.New(t)
	select {
	case e := <-events:
		is.Equal(e, agent.Connected{})
	case <-time.After(limit):
		t.Fatal("no session")
	}
}

// TestSlowHandshakeOpensASession guards against a daemon that never has a session again: a handshake takes longer than
// an attempt may, and each attempt starts from nothing.
func TestSlowHandshakeOpensASession(t *testing.T) {
	l := listen(t)
	serveLeader(t, slowListener{Listener: l, delay: 1200 * time.Millisecond})
	awaitSession(t, startUplink(t, l.Addr().String()), 3*time.Second)
}

// TestSilentReplicaDelaysNoOther guards against a search that waits for a replica without an answer as long as for a
// slow handshake.
func TestSilentReplicaDelaysNoOther(t *testing.T) {
	silent, l := listen(t), listen(t)
	serveLeader(t, l)
	awaitSession(t, startUplink(t, silent.Addr().String(), l.Addr().String()), 1500*time.Millisecond)
}
