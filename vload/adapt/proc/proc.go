// Package proc starts local processes and sends them signals.
package proc

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
)

// goMaxProcs limits the threads of each process, since many run on one machine.
const goMaxProcs = "GOMAXPROCS=2"

// Process is a child process.
type Process struct {
	command *exec.Cmd
	log     *os.File
}

// Start runs binary with arguments in folder and appends its standard output and
// error to the file log there. The process gets its own process group, so that an
// interrupt from a terminal reaches only the caller. It is killed when the operating
// system thread that started it exits (Pdeathsig), so that thread must outlive it.
func Start(binary, folder, log string, arguments ...string) (*Process, error) {
	file, err := os.OpenFile(filepath.Join(folder, log), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fail("open log", NotStarted, err)
	}
	command := exec.Command(binary, arguments...)
	command.Dir = folder
	command.Env = append(os.Environ(), goMaxProcs)
	command.Stdout, command.Stderr = file, file
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = file.Close()
		return nil, fail("start "+binary, NotStarted, err)
	}
	return &Process{command: command, log: file}, nil
}

// ID returns the process ID.
func (p *Process) ID() int { return p.command.Process.Pid }

// Signal sends a signal to the process. It fails if the process was waited for.
func (p *Process) Signal(s syscall.Signal) error {
	if err := p.command.Process.Signal(s); err != nil {
		return fail("signal", NotSignalled, err)
	}
	return nil
}

// Wait waits until the process exits and closes its log. It returns an error unless
// the exit code is 0. It may be called once.
func (p *Process) Wait() error {
	err := p.command.Wait()
	_ = p.log.Close()
	return err
}
