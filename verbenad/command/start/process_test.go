package start

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/verbenad/command/serve"
	"verbenabank/verbenad/state/config"
)

// asProgram makes the test binary run as the daemon. Its value is the path of a file that is
// moved to lateTo once the settings are loaded, if it exists.
const (
	asProgram = "VERBENA_TEST_PROGRAM"
	lateTo    = "VERBENA_TEST_LATE"
)

func TestMain(m *testing.M) {
	late, ok := os.LookupEnv(asProgram)
	if !ok {
		os.Exit(m.Run())
	}
	os.Exit(Run("verbenad", os.Stderr, func(config.Settings) []serve.Option {
		_ = os.Rename(late, os.Getenv(lateTo))
		return nil
	}))
}

// program is the daemon as a process of its own.
type program struct {
	t     *testing.T
	path  string // of the settings
	peers string // address
	late  string // of settings that are put in place once those of path are loaded
	cmd   *exec.Cmd
	out   io.Closer // the reading end of what the process prints
	lines chan string
}

// begin starts a daemon that is the only control replica of its group.
func begin(t *testing.T) *program {
	p := prepare(t)
	p.start()
	return p
}

// prepare writes the settings of a daemon.
func prepare(t *testing.T) *program {
	t.Helper()
	i := is.New(t)
	folder := t.TempDir()
	at := ip()
	peers, admin, callers := at+":8090", at+":8070", at+":8080"
	p := &program{
		t: t, path: filepath.Join(folder, "settings.jsonc"), late: filepath.Join(folder, "late.jsonc"),
		peers: peers, lines: make(chan string, 1000),
	}
	text := fmt.Sprintf(`{"instance": "one", "zone": "z", "replicas": [%q], "open_network": true,
		"listen": {"callers": %q, "peers": %q, "admin": %q}, "control": {"data_folder": "data", "form": true},
		"log": {"level": "info", "format": "text"}}`, peers, callers, peers, admin)
	i.NoErr(os.WriteFile(p.path, []byte(text), 0o600))
	return p
}

func (p *program) start() {
	p.t.Helper()
	i := is.New(p.t)
	p.cmd = exec.Command(os.Args[0], "--settings", p.path)
	p.cmd.Env = append(os.Environ(), asProgram+"="+p.late, lateTo+"="+p.path)
	out, err := p.cmd.StderrPipe()
	i.NoErr(err)
	i.NoErr(p.cmd.Start())
	p.out = out
	p.t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	go func() {
		defer close(p.lines)
		for s := bufio.NewScanner(out); s.Scan(); {
			p.lines <- s.Text()
		}
	}()
}

// networks is how many networks, from 127.100 on, daemons of one test process may have.
const networks = 25

// programs counts the daemons of this test process.
var programs atomic.Int32

// ip returns a loopback address that no other daemon of this or another test process has. Ports are
// fixed, since one that was free a moment ago may be taken by an outgoing connection.
func ip() string {
	n, id := programs.Add(1), os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 100+n%networks, id>>8&0xff, max(1, id&0xff))
}

// await waits for a line that has the text.
func (p *program) await(text string) {
	p.t.Helper()
	late := time.After(20 * time.Second)
	for {
		select {
		case l, ok := <-p.lines:
			if !ok {
				p.t.Fatalf("the process ended before %q", text)
			}
			if strings.Contains(l, text) {
				return
			}
		case <-late:
			p.t.Fatalf("no line has %q", text)
		}
	}
}

// signal sends a signal, unless the process has ended.
func (p *program) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// wantsStop asks for a planned stop, sends the signal with each line until the process has ended, and
// wants it to end well.
func (p *program) wantsStop(s syscall.Signal) {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	p.wantsEnd(s)
}

// wantsEnd sends the signal with each line until the process has ended, and wants it to end well.
func (p *program) wantsEnd(s syscall.Signal) {
	p.t.Helper()
	for range p.lines {
		p.signal(s)
	}
	if err := p.cmd.Wait(); err != nil {
		p.t.Fatalf("a process that was asked to stop ended with: %v", err)
	}
}

// TestReloadEndsTheProcess guards against a SIGHUP that ends a process which starts or stops.
func TestReloadEndsTheProcess(t *testing.T) {
	t.Parallel()
	p := begin(t)
	p.await("process begins")
	p.signal(syscall.SIGHUP)
	p.await("daemon is up")
	p.signal(syscall.SIGHUP)
	p.await("asked to reload")
	p.wantsStop(syscall.SIGHUP)
}

// TestSecondStopEndsTheProcess guards against a second SIGTERM that cuts a planned stop short.
func TestSecondStopEndsTheProcess(t *testing.T) {
	t.Parallel()
	p := begin(t)
	p.await("process begins")
	p.wantsStop(syscall.SIGTERM)
}

// TestSettingsChangedDuringTheStartAreMissed guards against settings that are written after the
// process has read them and before it looks for changes.
func TestSettingsChangedDuringTheStartAreMissed(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	p := prepare(t)
	text, err := os.ReadFile(p.path)
	i.NoErr(err)
	i.NoErr(os.WriteFile(p.late, append(text, '\n'), 0o600))
	p.start()
	p.await("settings reloaded")
	p.wantsStop(syscall.SIGTERM)
}

// TestClosedLogEndsTheProcess guards against a reader of the log that goes away and takes the
// daemon with it.
func TestClosedLogEndsTheProcess(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	p := begin(t)
	p.await("daemon is up")
	i.NoErr(p.out.Close())
	for range 3 {
		p.signal(syscall.SIGHUP) // has a line
		time.Sleep(50 * time.Millisecond)
	}
	p.wantsStop(syscall.SIGTERM)
}

// TestReloadHoldsUpTheStop guards against settings that cannot be read to their end, as on a
// file system that hangs, and keep a planned stop from beginning.
func TestReloadHoldsUpTheStop(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	p := begin(t)
	p.await("daemon is up")
	fifo := p.path + ".fifo"
	i.NoErr(syscall.Mkfifo(fifo, 0o600))
	i.NoErr(os.Rename(fifo, p.path))
	p.signal(syscall.SIGHUP)
	p.await("asked to reload")
	p.signal(syscall.SIGTERM)
	p.await("planned stop is done")
	p.wantsEnd(syscall.SIGTERM)
}

// TestSilentPeerHoldsUpTheStop guards against a connection to the peers port that brings nothing
// and keeps a planned stop from its end.
func TestSilentPeerHoldsUpTheStop(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	p := begin(t)
	p.await("daemon is up")
	c, err := net.Dial("tcp", p.peers)
	i.NoErr(err)
	defer func() { _ = c.Close() }()
	time.Sleep(100 * time.Millisecond)
	p.signal(syscall.SIGTERM)
	p.await("planned stop is done")
	p.wantsEnd(syscall.SIGTERM)
}
