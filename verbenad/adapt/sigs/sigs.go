// Package sigs receives the signals by which operators control the process.
package sigs

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals receives signals for shutdown and reload. Repeated signals of one kind are merged while
// one is pending. It is safe for concurrent use.
type Signals struct {
	stops   chan os.Signal
	reloads chan os.Signal
}

// New installs the signal handlers. They are never removed, so that no signal has its default
// action while the process starts or shuts down.
func New() *Signals {
	s := &Signals{stops: make(chan os.Signal, 1), reloads: make(chan os.Signal, 1)}
	signal.Notify(s.stops, os.Interrupt, syscall.SIGTERM)
	signal.Notify(s.reloads, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // if the log's reader is gone, only writes to the log fail
	return s
}

// Stops delivers requests for a graceful shutdown: SIGINT and SIGTERM.
func (s *Signals) Stops() <-chan os.Signal { return s.stops }

// Reloads delivers requests to reload the settings: SIGHUP.
func (s *Signals) Reloads() <-chan os.Signal { return s.reloads }
