// Package sets holds the settings of one daemon process as immutable data.
package config

import (
	"net/netip"
	"slices"
)

// Settings are the checked settings of a daemon. They are safe for concurrent
// use.
type Settings struct {
	instance   string
	zone       string
	callers    netip.AddrPort
	peers      netip.AddrPort
	admin      netip.AddrPort
	advertised netip.AddrPort
	replicas   []netip.AddrPort
	secret     []byte
	control    Choice[Control]
	tls        Choice[TLS]
	folder     Choice[string]
	ready      netip.AddrPort
	beside     LocalTarget
	terms      Timings
	retries    RetryBudget
	link       float64
	open       bool
	lasting    bool
	level      Level
	format     Format
}

// New returns settings with info logs in plain text, changed by opts.
func New(opts ...Option) Settings {
	s := Settings{level: LevelInfo, format: Plain{}}
	for _, o := range opts {
		o(&s)
	}
	return s
}

// Instance returns the name of the instance.
func (s Settings) Instance() string { return s.instance }

// Zone returns the availability zone of the instance.
func (s Settings) Zone() string { return s.zone }

// CallersAddress returns the address for the HTTP requests of callers.
func (s Settings) CallersAddress() netip.AddrPort { return s.callers }

// PeersAddress returns the address for the other processes of the system.
func (s Settings) PeersAddress() netip.AddrPort { return s.peers }

// AdminAddress returns the address for the target beside, the platform and operators.
func (s Settings) AdminAddress() netip.AddrPort { return s.admin }

// AdvertisedAddress returns the address at which other processes reach Peers, which may
// differ from it behind address translation.
func (s Settings) AdvertisedAddress() netip.AddrPort { return s.advertised }

// Replicas returns the peers addresses of the control replicas.
func (s Settings) Replicas() []netip.AddrPort { return slices.Clone(s.replicas) }

// Secret returns the secret that all processes share.
func (s Settings) Secret() []byte { return slices.Clone(s.secret) }

// Control returns the settings of the control replica, if this daemon is one.
func (s Settings) Control() (Control, bool) { return s.control.value, s.control.set }

// TLS returns the files for mutual TLS between processes, if it is used.
func (s Settings) TLS() (TLS, bool) { return s.tls.value, s.tls.set }

// ConfigFolder returns the path of the configuration folder, if this daemon has one.
func (s Settings) ConfigFolder() (string, bool) { return s.folder.value, s.folder.set }

// ReadyAddress returns the address of a port that only tells whether the daemon is ready, the zero
// value if there is none.
func (s Settings) ReadyAddress() netip.AddrPort { return s.ready }

// LocalTarget returns what is known of the target beside before it speaks.
func (s Settings) LocalTarget() LocalTarget { return s.beside }

// Timings returns the spans of leases, holds and stops; those that are 0 are not set.
func (s Settings) Timings() Timings { return s.terms }

// RetryBudget returns the retry budget of the fleet; it is not set if its window is 0.
func (s Settings) RetryBudget() RetryBudget { return s.retries }

// LinkMbps returns the rate of the instance's link in Mbit/s, 0 if it is not known.
func (s Settings) LinkMbps() float64 { return s.link }

// OpenNetwork reports whether the network between the processes is trusted, so that they need no
// secret.
func (s Settings) OpenNetwork() bool { return s.open }

// LastingRules reports whether traffic goes on under the known rules while no leader can be
// asked for newer ones.
func (s Settings) LastingRules() bool { return s.lasting }

// LogLevel returns the least severe level that is logged.
func (s Settings) LogLevel() Level { return s.level }

// LogFormat returns the format of log lines.
func (s Settings) LogFormat() Format { return s.format }

// Choice is a value that may be unset. The zero value is unset.
type Choice[T any] struct {
	value T
	set   bool
}

// Some returns the choice that is set to value.
func Some[T any](value T) Choice[T] { return Choice[T]{value: value, set: true} }
