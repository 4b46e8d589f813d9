package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// runMainVariable is the environment variable that makes the test binary run as vload.
const runMainVariable = "VLOAD_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// TestTargetStartedWithNohupOutlivesItsTerminal guards against a target that installs
// a handler for SIGHUP although it was started with the signal ignored, and so stops
// when its terminal is closed.
func TestTargetStartedWithNohupOutlivesItsTerminal(t *testing.T) {
	i := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	i.NoErr(err)
	address := l.Addr().String()
	i.NoErr(l.Close())
	folder := t.TempDir()
	path := filepath.Join(folder, "target.jsonc")
	i.NoErr(os.WriteFile(path, fmt.Appendf(nil, `{"instance": "one", "service": "s", "listen": %q, "admin": "127.0.0.1:1",
		"ledger": "ledger.jsonl", "slots": 2, "backlog": 2, "connections": 10, "connect_ms": 1, "drain_ms": 100, "fencing": "commit",
		"spread": "fixed", "service_ms": {"GET": 3}}`, address), 0o600))
	c := exec.Command("nohup", os.Args[0], "target", path)
	c.Dir, c.Env = folder, append(os.Environ(), runMainVariable+"=1")
	i.NoErr(c.Start())
	exited := make(chan error, 1)
	go func() { exited <- c.Wait() }()
	defer func() { _ = c.Process.Kill() }()
	for start := time.Now(); time.Since(start) < 10*time.Second; time.Sleep(20 * time.Millisecond) {
		if a, err := http.Get("http://" + address + "/x"); err == nil {
			_ = a.Body.Close()
			break
		}
	}
	i.NoErr(c.Process.Signal(syscall.SIGHUP))
	select {
	case err := <-exited:
		t.Fatalf("target exited on SIGHUP: %v", err)
	case <-time.After(500 * time.Millisecond):
	}
	i.NoErr(c.Process.Signal(syscall.SIGTERM))
	i.NoErr(<-exited)
}
