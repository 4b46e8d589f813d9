package roster

import (
	"verbenabank/core/clock"
	"verbenabank/vload/state/server"
)

// Effect is what is done to a process or a file: Launch, Send, Adjust, Write or
// Later.
type Effect interface{ effect() }

// Launch starts a process.
type Launch struct{ name string }

// Name returns the name of the process.
func (l Launch) Name() string { return l.name }

// Signal is what is sent to a process.
type Signal int

// Signals.
const (
	Terminate Signal = iota + 1
	Kill
	Stop
	Continue
)

// Send sends a signal to a process.
type Send struct {
	name   string
	signal Signal
}

// Name returns the name of the process.
func (s Send) Name() string { return s.name }

// Signal returns what is sent.
func (s Send) Signal() Signal { return s.signal }

// Adjust tunes a target after a time.
type Adjust struct {
	name   string
	tuning server.Tuning
	after  clock.Millis
}

// Name returns the name of the process.
func (a Adjust) Name() string { return a.name }

// Tuning returns the new behavior.
func (a Adjust) Tuning() server.Tuning { return a.tuning }

// After returns the time to wait before.
func (a Adjust) After() clock.Millis { return a.after }

// Write replaces a file of the operators' folder.
type Write struct {
	name    string
	content []byte
}

// Name returns the name of the file.
func (w Write) Name() string { return w.name }

// Content returns what is written.
func (w Write) Content() []byte { return w.content }

// Later thaws processes after a time.
type Later struct {
	span  clock.Millis
	names []string
}

// Span returns the time to wait.
func (l Later) Span() clock.Millis { return l.span }

// Names returns the names of the processes.
func (l Later) Names() []string { return l.names }

func (Launch) effect() {}
func (Send) effect()   {}
func (Adjust) effect() {}
func (Write) effect()  {}
func (Later) effect()  {}
