// Package config holds the settings of a daemon process as immutable data. How they are read from a file is
// not its concern.
package config

import (
	"net/netip"
	"slices"

	"verbenabank/core/clock"
)

// Settings are the validated settings of a daemon. They are immutable and safe for concurrent use.
type Settings struct {
	instance          string
	zone              string
	callersAddress    netip.AddrPort
	peersAddress      netip.AddrPort
	adminAddress      netip.AddrPort
	advertisedAddress netip.AddrPort
	replicas          []netip.AddrPort
	secret            []byte
	control           Optional[Control]
	tls               Optional[TLS]
	configFolder      Optional[string]
	readyAddress      netip.AddrPort
	localTarget       LocalTarget
	timings           Timings
	retryBudget       RetryBudget
	linkMbps          float64
	coldBound         ColdBound
	memoryMB          int64
	openNetwork       bool
	lastingRules      bool
	terms             []string
	zoneCost          Optional[clock.Millis]
	logLevel          Level
	logFormat         Format
}

// New returns settings with opts applied. By default, logs are plain text from level info on.
func New(opts ...Option) Settings {
	s := Settings{logLevel: LevelInfo, logFormat: Plain{}, coldBound: NewColdBound(1, 0)}
	for _, o := range opts {
		o(&s)
	}
	return s
}

// Instance returns the name of the instance.
func (s Settings) Instance() string { return s.instance }

// Zone returns the availability zone of the instance.
func (s Settings) Zone() string { return s.zone }

// CallersAddress returns the address to listen on for HTTP requests of callers, the zero value if the daemon
// takes none.
func (s Settings) CallersAddress() netip.AddrPort { return s.callersAddress }

// PeersAddress returns the address to listen on for other processes of the system.
func (s Settings) PeersAddress() netip.AddrPort { return s.peersAddress }

// AdminAddress returns the address to listen on for the local target, the platform and operators.
func (s Settings) AdminAddress() netip.AddrPort { return s.adminAddress }

// AdvertisedAddress returns the address at which other processes reach the peers port. It may differ from the
// address to listen on behind network address translation.
func (s Settings) AdvertisedAddress() netip.AddrPort { return s.advertisedAddress }

// Replicas returns the addresses of the control replicas' peers ports.
func (s Settings) Replicas() []netip.AddrPort { return slices.Clone(s.replicas) }

// Secret returns the secret by which processes authenticate each other, empty on an open network.
func (s Settings) Secret() []byte { return slices.Clone(s.secret) }

// Control returns the settings of the control replica, if this daemon is one.
func (s Settings) Control() (Control, bool) { return s.control.value, s.control.set }

// TLS returns the files for mutual TLS between processes, if it is enabled.
func (s Settings) TLS() (TLS, bool) { return s.tls.value, s.tls.set }

// ConfigFolder returns the path of the folder that this daemon reads the configuration from, if it has one.
func (s Settings) ConfigFolder() (string, bool) { return s.configFolder.value, s.configFolder.set }

// ReadyAddress returns the address of a port that answers only readiness checks, the zero value if there is
// none.
func (s Settings) ReadyAddress() netip.AddrPort { return s.readyAddress }

// LocalTarget returns the service and the address of the local target, as far as they are set.
func (s Settings) LocalTarget() LocalTarget { return s.localTarget }

// Timings returns the durations of leases, holds, draining and shutdown. Those that are 0 are not set.
func (s Settings) Timings() Timings { return s.timings }

// RetryBudget returns the retry budget of the fleet. It is not set if its window is 0.
func (s Settings) RetryBudget() RetryBudget { return s.retryBudget }

// ColdBound returns how many requests a cold target may get in a second.
func (s Settings) ColdBound() ColdBound { return s.coldBound }

// LinkMbps returns the bandwidth of the instance's network link in Mbit/s, 0 if it is not known.
func (s Settings) LinkMbps() float64 { return s.linkMbps }

// MemoryMB returns the memory that the process may use in MB, 0 if it is not set.
func (s Settings) MemoryMB() int64 { return s.memoryMB }

// OpenNetwork reports whether the network between the processes is trusted, so that they need no
// secret.
func (s Settings) OpenNetwork() bool { return s.openNetwork }

// LastingRules reports whether the last known rules stay valid, and traffic continues, while no leader can be
// reached for newer ones.
func (s Settings) LastingRules() bool { return s.lastingRules }

// HasTerm reports whether the settings list a term of service. The program that runs the daemon decides which features
// a term turns on; the daemon itself gives terms no meaning.
func (s Settings) HasTerm(name string) bool { return slices.Contains(s.terms, name) }

// ZoneCost returns the cost of the way to another zone in milliseconds, for the balancing by expected work, and whether
// the settings ask for it.
func (s Settings) ZoneCost() (clock.Millis, bool) { return s.zoneCost.value, s.zoneCost.set }

// LogLevel returns the least severe level that is logged.
func (s Settings) LogLevel() Level { return s.logLevel }

// LogFormat returns the format of log lines.
func (s Settings) LogFormat() Format { return s.logFormat }

// Optional is a value that may be unset, as it is in the zero value.
type Optional[T any] struct {
	value T
	set   bool
}

// Some returns an Optional that is set to value.
func Some[T any](value T) Optional[T] { return Optional[T]{value: value, set: true} }
