// Package proc starts processes on this machine and signals them.
package proc

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
)

// goMaxProcs keeps the threads of many processes on one machine few.
const goMaxProcs = "GOMAXPROCS=2"

// Process is a running process.
type Process struct {
	command *exec.Cmd
	log     *os.File
}

// Start runs binary with arguments in the folder and appends what it prints to
// the log file there. The process gets a group of its own, so that an interrupt
// from a terminal reaches only the caller; if the caller's thread dies, it is
// killed, so the caller must stay on one thread.
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

// ID returns the number of the process.
func (p *Process) ID() int { return p.command.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	if err := p.command.Process.Signal(s); err != nil {
		return fail("signal", NotSignalled, err)
	}
	return nil
}

// Wait returns after the process ended, with an error unless it exited with 0.
func (p *Process) Wait() error {
	err := p.command.Wait()
	_ = p.log.Close()
	return err
}
