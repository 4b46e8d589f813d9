package group

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"verbenabank/vscale/adapt/stat"
)

// threads bounds how many threads of a replica run Go code at once.
const threads = "GOMAXPROCS=2"

// Replica is one process of the group.
type Replica struct {
	number  int
	address string
	folder  string
	command *exec.Cmd
}

func (r *Replica) peers() string { return fmt.Sprintf("%s:%d", r.address, peersPort) }

func (r *Replica) admin() string { return fmt.Sprintf("%s:%d", r.address, adminPort) }

// Seconds returns the processor time used so far.
func (r *Replica) Seconds() (float64, error) { return stat.Seconds(r.command.Process.Pid) }

// Resident returns the resident memory in bytes.
func (r *Replica) Resident() (float64, error) { return stat.Resident(r.command.Process.Pid) }

// Vars returns the metrics that the replica shows.
func (r *Replica) Vars() (stat.Vars, error) { return stat.Read(r.admin()) }

// Stored returns the bytes in the data folder.
func (r *Replica) Stored() (float64, error) {
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

// start writes the settings of a replica and starts it. The replica is killed when
// the calling thread ends, so the caller must stay on one thread.
func (g *Group) start(r *Replica) error {
	r.folder = filepath.Join(g.folder, fmt.Sprintf("control-%d", r.number+1))
	if err := os.MkdirAll(filepath.Join(r.folder, "data"), 0o755); err != nil {
		return fail("make folder", NotStarted, err)
	}
	if err := g.settings(r); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(r.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fail("open log", NotStarted, err)
	}
	defer func() { _ = log.Close() }()
	r.command = exec.Command(g.daemon, "--settings", "daemon.jsonc")
	r.command.Dir = r.folder
	r.command.Env = append(os.Environ(), threads)
	r.command.Stdout, r.command.Stderr = log, log
	r.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := r.command.Start(); err != nil {
		r.command = nil
		return fail("start "+g.daemon, NotStarted, err)
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
