package group

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"verbenabank/vscale/adapt/stat"
)

// maxProcs limits each replica to two threads that run Go code at once.
const maxProcs = "GOMAXPROCS=2"

// Replica is a control replica, a process of verbenad.
type Replica struct {
	index   int
	address string
	folder  string
	command *exec.Cmd
}

func (r *Replica) peersAddress() string { return fmt.Sprintf("%s:%d", r.address, peersPort) }

func (r *Replica) adminAddress() string { return fmt.Sprintf("%s:%d", r.address, adminPort) }

// CPUSeconds returns the CPU time that the process used since its start.
func (r *Replica) CPUSeconds() (float64, error) { return stat.CPUSeconds(r.command.Process.Pid) }

// ResidentBytes returns the resident set size of the process.
func (r *Replica) ResidentBytes() (float64, error) { return stat.ResidentBytes(r.command.Process.Pid) }

// Metrics requests the metrics of the replica.
func (r *Replica) Metrics() (stat.Metrics, error) { return stat.ReadMetrics(r.adminAddress()) }

// StoredBytes returns the total size of the files in the data folder.
func (r *Replica) StoredBytes() (float64, error) {
	total := 0.0
	files, err := os.ReadDir(filepath.Join(r.folder, "data"))
	if err != nil {
		return 0, fail("read data folder", Unreadable, err)
	}
	for _, f := range files {
		if i, err := f.Info(); err == nil {
			total += float64(i.Size())
		}
	}
	return total, nil
}

// start writes the settings of a replica and starts its process. The kernel kills the
// process when the calling thread ends (Pdeathsig), so the caller must hold its thread
// with runtime.LockOSThread.
func (g *Group) start(r *Replica) error {
	r.folder = filepath.Join(g.folder, fmt.Sprintf("control-%d", r.index+1))
	if err := os.MkdirAll(filepath.Join(r.folder, "data"), 0o755); err != nil {
		return fail("create folder", NotStarted, err)
	}
	if err := g.writeSettings(r); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(r.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fail("open log", NotStarted, err)
	}
	defer func() { _ = log.Close() }()
	r.command = exec.Command(g.daemonPath, "--settings", "daemon.jsonc")
	r.command.Dir = r.folder
	r.command.Env = append(os.Environ(), maxProcs)
	r.command.Stdout, r.command.Stderr = log, log
	r.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := r.command.Start(); err != nil {
		r.command = nil
		return fail("start "+g.daemonPath, NotStarted, err)
	}
	return nil
}

func (r *Replica) kill() {
	if r.command == nil {
		return
	}
	_ = r.command.Process.Kill()
	_ = r.command.Wait()
	r.command = nil
}
