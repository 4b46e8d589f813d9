package plan

import (
	"verbenabank/core/clock"
	"verbenabank/vload/state/server"
)

// Fault is something that is done to the fleet at a time.
type Fault struct {
	at     clock.Millis
	of     []string
	action Action
}

// NewFault returns an action on processes at a time after the start of the load.
// A process is named "INSTANCE/target" or "INSTANCE/daemon"; "INSTANCE" names
// both, and "zone/ZONE" names all processes of a zone.
func NewFault(at clock.Millis, of []string, action Action) Fault {
	return Fault{at: at, of: of, action: action}
}

// At returns when it is done, counted from the start of the load.
func (f Fault) At() clock.Millis { return f.at }

// Processes returns the names of the processes.
func (f Fault) Processes() []string { return f.of }

// Action returns what is done.
func (f Fault) Action() Action { return f.action }

// Action is what is done: Kill, Freeze, Start, Restart, Leave, Tune or Replace.
type Action interface{ action() }

// Kill ends processes at once.
type Kill struct{}

// Freeze stops processes for a time.
type Freeze struct{ span clock.Millis }

// NewFreeze returns a freeze that lasts span.
func NewFreeze(span clock.Millis) Freeze { return Freeze{span: span} }

// Duration returns how long the freeze lasts.
func (f Freeze) Duration() clock.Millis { return f.span }

// Start starts processes that ended.
type Start struct{}

// Restart ends processes gracefully and starts them again.
type Restart struct{}

// Leave ends processes gracefully.
type Leave struct{}

// Tune changes the behavior of targets for a time.
type Tune struct {
	tuning server.Tuning
	span   clock.Millis
}

// NewTune returns a change of behavior that lasts span.
func NewTune(t server.Tuning, span clock.Millis) Tune { return Tune{tuning: t, span: span} }

// Tuning returns the new behavior.
func (t Tune) Tuning() server.Tuning { return t.tuning }

// Duration returns how long it lasts.
func (t Tune) Duration() clock.Millis { return t.span }

// Replace writes a file of the operators' folder.
type Replace struct {
	name    string
	content []byte
}

// NewReplace returns the replacement of the file called name.
func NewReplace(name string, content []byte) Replace { return Replace{name: name, content: content} }

// Name returns the name of the file in the folder.
func (r Replace) Name() string { return r.name }

// Content returns what is written.
func (r Replace) Content() []byte { return r.content }

func (Kill) action()    {}
func (Freeze) action()  {}
func (Start) action()   {}
func (Restart) action() {}
func (Leave) action()   {}
func (Tune) action()    {}
func (Replace) action() {}
