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

// envLateSettings makes the test binary run as the daemon. If the file that it names exists, that file is
// moved to the path in envSettings once the first settings are loaded.
const (
	envLateSettings = "VERBENA_TEST_LATE_SETTINGS"
	envSettings     = "VERBENA_TEST_SETTINGS"
)

func TestMain(m *testing.M) {
	late, ok := os.LookupEnv(envLateSettings)
	if !ok {
		os.Exit(m.Run())
	}
	os.Exit(Run("verbenad", os.Stderr, func(config.Settings) []serve.Option {
		_ = os.Rename(late, os.Getenv(envSettings))
		return nil
	}))
}

// daemonProcess is a daemon that runs as a separate process.
type daemonProcess struct {
	t            *testing.T
	settings     string // path of the settings file
	peers        string // address of the peers port
	lateSettings string // path of the file that replaces settings once they are loaded
	cmd          *exec.Cmd
	out          io.Closer // read end of the pipe of standard error
	lines        chan string
}

// startDaemon starts a daemon that is the only control replica of its group.
func startDaemon(t *testing.T) *daemonProcess {
	p := prepareDaemon(t)
	p.start()
	return p
}

// prepareDaemon writes the settings of a daemon that is not started yet.
func prepareDaemon(t *testing.T) *daemonProcess {
	t.Helper()
	i := is.New(t)
	folder := t.TempDir()
	at := uniqueIP()
	peers, admin, callers := at+":8090", at+":8070", at+":8080"
	p := &daemonProcess{
		t: t, settings: filepath.Join(folder, "settings.jsonc"), lateSettings: filepath.Join(folder, "late.jsonc"),
		peers: peers, lines: make(chan string, 1000),
	}
	text := fmt.Sprintf(`{"instance": "one", "zone": "z", "replicas": [%q], "open_network": true,
		"listen": {"callers": %q, "peers": %q, "admin": %q}, "control": {"data_folder": "data", "form": true},
		"log": {"level": "info", "format": "text"}}`, peers, callers, peers, admin)
	i.NoErr(os.WriteFile(p.settings, []byte(text), 0o600))
	return p
}

func (p *daemonProcess) start() {
	p.t.Helper()
	i := is.New(p.t)
	p.cmd = exec.Command(os.Args[0], "--settings", p.settings)
	p.cmd.Env = append(os.Environ(), envLateSettings+"="+p.lateSettings, envSettings+"="+p.settings)
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

// networkCount is the number of /16 loopback networks, from 127.100 on, that the daemons of one test process
// use.
const networkCount = 25

// daemonCount is the number of daemons that this test process has prepared.
var daemonCount atomic.Int32

// uniqueIP returns a loopback address that no other daemon of this or another test process uses. The
// ports are fixed, since a port found free may be taken by an outgoing connection before it is used.
func uniqueIP() string {
	n, id := daemonCount.Add(1), os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 100+n%networkCount, id>>8&0xff, max(1, id&0xff))
}

// await waits for a log line that contains the text.
func (p *daemonProcess) await(text string) {
	p.t.Helper()
	timeout := time.After(20 * time.Second)
	for {
		select {
		case l, ok := <-p.lines:
			if !ok {
				p.t.Fatalf("the process ended before it logged %q", text)
			}
			if strings.Contains(l, text) {
				return
			}
		case <-timeout:
			p.t.Fatalf("no log line with %q within 20 s", text)
		}
	}
}

// signal sends a signal. It has no effect if the process has ended.
func (p *daemonProcess) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// stopAndExpectExit asks for a graceful shutdown, then does the same as expectExit.
func (p *daemonProcess) stopAndExpectExit(s syscall.Signal) {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	p.expectExit(s)
}

// expectExit sends the signal at each log line until the process has ended, and expects exit code 0.
func (p *daemonProcess) expectExit(s syscall.Signal) {
	p.t.Helper()
	for range p.lines {
		p.signal(s)
	}
	if err := p.cmd.Wait(); err != nil {
		p.t.Fatalf("the process did not shut down cleanly: %v", err)
	}
}

// TestReloadDuringStartAndStop guards against a SIGHUP that ends the process while it starts or stops.
func TestReloadDuringStartAndStop(t *testing.T) {
	t.Parallel()
	p := startDaemon(t)
	p.await("process begins")
	p.signal(syscall.SIGHUP)
	p.await("daemon is up")
	p.signal(syscall.SIGHUP)
	p.await("asked to reload")
	p.stopAndExpectExit(syscall.SIGHUP)
}

// TestSecondStopIsIgnored guards against a second SIGTERM that cuts the graceful shutdown short.
func TestSecondStopIsIgnored(t *testing.T) {
	t.Parallel()
	p := startDaemon(t)
	p.await("process begins")
	p.stopAndExpectExit(syscall.SIGTERM)
}

// TestSettingsChangedDuringStartAreLoaded guards against a change of the settings file that is missed
// because it is made after the process has read the file and before it looks for changes.
func TestSettingsChangedDuringStartAreLoaded(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	p := prepareDaemon(t)
	text, err := os.ReadFile(p.settings)
	i.NoErr(err)
	i.NoErr(os.WriteFile(p.lateSettings, append(text, '\n'), 0o600))
	p.start()
	p.await("settings reloaded")
	p.stopAndExpectExit(syscall.SIGTERM)
}

// TestClosedLogPipeIsTolerated guards against a daemon that ends (by SIGPIPE) when the reader of its log
// has gone.
func TestClosedLogPipeIsTolerated(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	p := startDaemon(t)
	p.await("daemon is up")
	i.NoErr(p.out.Close())
	for range 3 {
		p.signal(syscall.SIGHUP) // writes a log line
		time.Sleep(50 * time.Millisecond)
	}
	p.stopAndExpectExit(syscall.SIGTERM)
}

// TestBlockedReloadDoesNotDelayStop guards against a settings file whose read blocks, as on a hung file
// system, and keeps the graceful shutdown from starting.
func TestBlockedReloadDoesNotDelayStop(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	p := startDaemon(t)
	p.await("daemon is up")
	fifo := p.settings + ".fifo"
	i.NoErr(syscall.Mkfifo(fifo, 0o600))
	i.NoErr(os.Rename(fifo, p.settings))
	p.signal(syscall.SIGHUP)
	p.await("asked to reload")
	p.signal(syscall.SIGTERM)
	p.await("planned stop is done")
	p.expectExit(syscall.SIGTERM)
}

// TestSilentPeerDoesNotDelayStop guards against a connection to the peers port that sends nothing and
// keeps the graceful shutdown from finishing.
func TestSilentPeerDoesNotDelayStop(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	p := startDaemon(t)
	p.await("daemon is up")
	c, err := net.Dial("tcp", p.peers)
	i.NoErr(err)
	defer func() { _ = c.Close() }()
	time.Sleep(100 * time.Millisecond)
	p.signal(syscall.SIGTERM)
	p.await("planned stop is done")
	p.expectExit(syscall.SIGTERM)
}
