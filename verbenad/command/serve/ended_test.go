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

// errCut is the end of a part of the daemon.
var errCut = errors.New("cut")

// mortal is a listener that fails for good when it is cut.
type mortal struct {
	net.Listener
	cut    chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (m *mortal) Accept() (net.Conn, error) {
	select {
	case <-m.cut:
		return nil, errCut
	case <-m.closed:
		return nil, net.ErrClosed
	}
}

func (m *mortal) Close() error {
	m.once.Do(func() { close(m.closed) })
	return m.Listener.Close()
}

// free returns an address that nobody listens on.
func free(t *testing.T) string {
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
	peers := free(t)
	s, err := jsonc.Parse(filepath.Join(t.TempDir(), "settings.jsonc"), fmt.Appendf(nil, `{"instance": "one", "zone": "z",
		"replicas": [%q], "open_network": true, "listen": {"callers": %q, "peers": %q, "admin": %q},
		"control": {"data_folder": "data", "form": true}, "grace_ms": 4000}`, peers, free(t), peers, free(t)))
	i.NoErr(err)
	log, _ := test.NewNullLogger()
	d, clean, err := New(s, log, opts...)
	i.NoErr(err)
	t.Cleanup(clean)
	return d
}

// TestPanicOfAnOperatorsRequestEndsItOnly guards against a process that ends with the fault of one request at
// its admin port.
func TestPanicOfAnOperatorsRequestEndsItOnly(t *testing.T) {
	i := is.New(t)
	d := newDaemon(t, WithAdminRoutes(func(r fiber.Router, _ AdminAPI) {
		r.Get("/bad", func(fiber.Ctx) error { panic(errCut) })
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

// TestDaemonAnswersAfterAPartOfItEnded guards against requests in flight that were cut since another
// part of the daemon had ended.
func TestDaemonAnswersAfterAPartOfItEnded(t *testing.T) {
	for name, end := range map[string]func(d *Daemon, m *mortal){
		"a server": func(_ *Daemon, m *mortal) { close(m.cut) },
		"the control goroutine": func(d *Daemon, _ *mortal) {
			d.loop.Post(ctrl.NewAgentEvent(agent.Ticked{}).Then(func() { panic(errCut) }))
		},
		"the disk": func(d *Daemon, _ *mortal) { d.loop.Post(ctrl.NewDiskFailed(errCut)) },
	} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			d := newDaemon(t)
			m := &mortal{Listener: d.adminPort, cut: make(chan struct{}), closed: make(chan struct{})}
			d.adminPort = m
			leave := d.owner.InFlight().Enter("s", 1)
			ended := make(chan error, 1)
			go func() { ended <- d.Run(context.Background()) }()
			time.Sleep(200 * time.Millisecond)
			end(d, m)
			select {
			case err := <-ended:
				t.Fatalf("the daemon ended with a request in flight: %v", err)
			case <-time.After(500 * time.Millisecond):
			}
			leave()
			select {
			case err := <-ended:
				i.True(errors.Is(err, errCut))
			case <-time.After(2500 * time.Millisecond):
				t.Fatal("the daemon did not end, though nothing was in flight any more")
			}
		})
	}
}
