package serve

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus/hooks/test"

	"verbenabank/core/command/agent"
	"verbenabank/verbenad/adapt/jsonc"
	"verbenabank/verbenad/command/ctrl"
)

// errInjected is the error with which a component of the daemon fails.
var errInjected = errors.New("injected failure")

// failingListener is a listener whose Accept fails permanently once the channel fail is closed.
type failingListener struct {
	net.Listener
	fail   chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (l *failingListener) Accept() (net.Conn, error) {
	select {
	case <-l.fail:
		return nil, errInjected
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *failingListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// freeAddress returns a loopback address with a port that no process listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// newDaemon returns a daemon that is the only control replica of its group.
func newDaemon(t *testing.T, opts ...Option) *Daemon {
	t.Helper()
	i := is.New(t)
	peers := freeAddress(t)
	s, err := jsonc.Parse(filepath.Join(t.TempDir(), "settings.jsonc"), fmt.Appendf(nil, `{"instance": "one", "zone": "z",
		"replicas": [%q], "open_network": true, "listen": {"callers": %q, "peers": %q, "admin": %q},
		"control": {"data_folder": "data", "form": true}, "grace_ms": 4000}`, peers, freeAddress(t), peers, freeAddress(t)))
	i.NoErr(err)
	log, _ := test.NewNullLogger()
	d, clean, err := New(s, log, opts...)
	i.NoErr(err)
	t.Cleanup(clean)
	return d
}

// TestAdminPanicEndsOnlyItsRequest guards against a panic in a handler of the admin server that ends the
// process.
func TestAdminPanicEndsOnlyItsRequest(t *testing.T) {
	i := is.New(t)
	d := newDaemon(t, WithAdminRoutes(func(r fiber.Router, _ AdminAPI) {
		r.Get("/bad", func(fiber.Ctx) error { panic(errInjected) })
	}))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	for path, status := range map[string]int{"/bad": http.StatusInternalServerError, "/health": http.StatusOK} {
		a, err := http.Get("http://" + d.adminPort.Addr().String() + path)
		i.NoErr(err)
		i.Equal(a.StatusCode, status)
		_ = a.Body.Close()
	}
	cancel()
	i.NoErr(<-ended)
}

// TestInFlightRequestsFinishAfterComponentFailure guards against a failure of one component that cuts
// requests in flight, although they don't need that component.
func TestInFlightRequestsFinishAfterComponentFailure(t *testing.T) {
	for name, fail := range map[string]func(d *Daemon, l *failingListener){
		"a server": func(_ *Daemon, l *failingListener) { close(l.fail) },
		"the control goroutine": func(d *Daemon, _ *failingListener) {
			d.loop.Post(ctrl.NewAgentEvent(agent.Ticked{}).Then(func() { panic(errInjected) }))
		},
		"the disk": func(d *Daemon, _ *failingListener) { d.loop.Post(ctrl.NewDiskFailed(errInjected)) },
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			d := newDaemon(t)
			l := &failingListener{Listener: d.adminPort, fail: make(chan struct{}), closed: make(chan struct{})}
			d.adminPort = l
			finish := d.owner.InFlight().Enter("s", 1)
			ended := make(chan error, 1)
			go func() { ended <- d.Run(context.Background()) }()
			time.Sleep(200 * time.Millisecond)
			fail(d, l)
			select {
			case err := <-ended:
				t.Fatalf("the daemon ended with a request in flight: %v", err)
			case <-time.After(500 * time.Millisecond):
			}
			finish()
			select {
			case err := <-ended:
				i.True(errors.Is(err, errInjected))
			case <-time.After(2500 * time.Millisecond):
				t.Fatal("the daemon did not end after its last request in flight had finished")
			}
		})
	}
}
