package plan

import (
	"verbenabank/core/clock"
	"verbenabank/vload/state/server"
)

// Fault is an action on processes that is injected at a scheduled time. It is immutable.
type Fault struct {
	at        clock.Millis
	processes []string
	action    Action
}

// NewFault returns a fault that is injected at an offset from the start of the load. A process is named
// "INSTANCE/target" or "INSTANCE/daemon"; "INSTANCE" names both, and "zone/ZONE" names all processes of
// a zone.
func NewFault(at clock.Millis, processes []string, action Action) Fault {
	return Fault{at: at, processes: processes, action: action}
}

// At returns when the fault is injected, as an offset from the start of the load.
func (f Fault) At() clock.Millis { return f.at }

// Processes returns the names of the affected processes, in the forms of NewFault; none for a Replace.
func (f Fault) Processes() []string { return f.processes }

// Action returns what is done to the processes.
func (f Fault) Action() Action { return f.action }

// Action is the kind of a fault: Kill, Freeze, Start, Restart, Leave, Tune or Replace. The names of the
// types appear in the log.
type Action interface{ action() }

// Kill ends processes with SIGKILL.
type Kill struct{}

// Freeze stops processes with SIGSTOP and resumes them when its duration is over.
type Freeze struct{ duration clock.Millis }

// NewFreeze returns a freeze with a duration.
func NewFreeze(duration clock.Millis) Freeze { return Freeze{duration: duration} }

// Duration returns how long the processes stay frozen.
func (f Freeze) Duration() clock.Millis { return f.duration }

// Start starts processes that are stopped.
type Start struct{}

// Restart shuts processes down gracefully and starts them again.
type Restart struct{}

// Leave shuts processes down gracefully, with SIGTERM.
type Leave struct{}

// Tune changes the behavior of targets and restores it when its duration is over.
type Tune struct {
	tuning   server.Tuning
	duration clock.Millis
}

// NewTune returns a change of behavior with a duration.
func NewTune(t server.Tuning, duration clock.Millis) Tune { return Tune{tuning: t, duration: duration} }

// Tuning returns the slowdown and report mode that hold meanwhile.
func (t Tune) Tuning() server.Tuning { return t.tuning }

// Duration returns how long the change lasts.
func (t Tune) Duration() clock.Millis { return t.duration }

// Replace replaces a file of the configuration folder.
type Replace struct {
	name    string
	content []byte
}

// NewReplace returns the replacement of the file with that name.
func NewReplace(name string, content []byte) Replace { return Replace{name: name, content: content} }

// Name returns the name of the file within the folder.
func (r Replace) Name() string { return r.name }

// Content returns the new content of the file. The caller must not change it.
func (r Replace) Content() []byte { return r.content }

func (Kill) action()    {}
func (Freeze) action()  {}
func (Start) action()   {}
func (Restart) action() {}
func (Leave) action()   {}
func (Tune) action()    {}
func (Replace) action() {}
