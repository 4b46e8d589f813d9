package roster

import (
	"verbenabank/core/clock"
	"verbenabank/vload/state/server"
)

// Effect is an action for the fleet to carry out: Launch, SendSignal, SetTuning, ReplaceFile or
// ScheduleResume.
type Effect interface{ effect() }

// Launch starts a process.
type Launch struct{ name string }

// Name returns the name of the process.
func (l Launch) Name() string { return l.name }

// Signal is a signal to a process.
type Signal int

// Values of Signal.
const (
	Terminate Signal = iota + 1 // SIGTERM
	Kill                        // SIGKILL
	Stop                        // SIGSTOP
	Continue                    // SIGCONT
)

// SendSignal sends a signal to a process.
type SendSignal struct {
	name   string
	signal Signal
}

// Name returns the name of the process.
func (s SendSignal) Name() string { return s.name }

// Signal returns the signal to send.
func (s SendSignal) Signal() Signal { return s.signal }

// SetTuning changes the behavior of a target after a delay.
type SetTuning struct {
	name   string
	tuning server.Tuning
	delay  clock.Millis
}

// Name returns the name of the process.
func (s SetTuning) Name() string { return s.name }

// Tuning returns the new slowdown and report mode.
func (s SetTuning) Tuning() server.Tuning { return s.tuning }

// Delay returns the time to wait before the change, 0 for none.
func (s SetTuning) Delay() clock.Millis { return s.delay }

// ReplaceFile replaces a file of the configuration folder.
type ReplaceFile struct {
	name    string
	content []byte
}

// Name returns the name of the file within the folder.
func (r ReplaceFile) Name() string { return r.name }

// Content returns the new content of the file.
func (r ReplaceFile) Content() []byte { return r.content }

// ScheduleResume resumes frozen processes after a delay.
type ScheduleResume struct {
	delay clock.Millis
	names []string
}

// Delay returns how long the processes stay frozen.
func (s ScheduleResume) Delay() clock.Millis { return s.delay }

// Names returns the names of the processes.
func (s ScheduleResume) Names() []string { return s.names }

func (Launch) effect()         {}
func (SendSignal) effect()     {}
func (SetTuning) effect()      {}
func (ReplaceFile) effect()    {}
func (ScheduleResume) effect() {}
