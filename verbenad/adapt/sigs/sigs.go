// Package sigs receives the signals that operators send to the process.
package sigs

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals receives signals. Those that come again before they were taken count once. It is safe
// for concurrent use.
type Signals struct {
	stops   chan os.Signal
	reloads chan os.Signal
}

// New installs the handlers. They stay until the process ends, so that no signal has its default
// action while the process starts or stops.
func New() *Signals {
	s := &Signals{stops: make(chan os.Signal, 1), reloads: make(chan os.Signal, 1)}
	signal.Notify(s.stops, os.Interrupt, syscall.SIGTERM)
	signal.Notify(s.reloads, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // a log without a reader is an error of its writer only
	return s
}

// Stops receives requests for a planned stop.
func (s *Signals) Stops() <-chan os.Signal { return s.stops }

// Reloads receives requests to read the settings again.
func (s *Signals) Reloads() <-chan os.Signal { return s.reloads }
