// Package sets holds the settings of a daemon process as immutable data. How they are read from a file is
// not its concern.
package sets

import (
	"net/netip"
	"slices"
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
	localTarget       Beside
	timings           Terms
	retryBudget       Retries
	linkMbps          float64
	openNetwork       bool
	lastingRules      bool
	logLevel          Level
	logFormat         Format
}

// New returns settings with opts applied. By default, logs are plain text from level info on.
func New(opts ...Option) Settings {
	s := Settings{logLevel: LevelInfo, logFormat: Plain{}}
	for _, o := range opts {
		o(&s)
	}
	return s
}

// Instance returns the name of the instance.
func (s Settings) Instance() string { return s.instance }

// Zone returns the availability zone of the instance.
func (s Settings) Zone() string { return s.zone }

// Callers returns the address to listen on for HTTP requests of callers, the zero value if the daemon
// takes none.
func (s Settings) Callers() netip.AddrPort { return s.callersAddress }

// Peers returns the address to listen on for other processes of the system.
func (s Settings) Peers() netip.AddrPort { return s.peersAddress }

// Admin returns the address to listen on for the local target, the platform and operators.
func (s Settings) Admin() netip.AddrPort { return s.adminAddress }

// Advertised returns the address at which other processes reach the peers port. It may differ from the
// address to listen on behind network address translation.
func (s Settings) Advertised() netip.AddrPort { return s.advertisedAddress }

// Replicas returns the peers addresses of the control replicas.
func (s Settings) Replicas() []netip.AddrPort { return slices.Clone(s.replicas) }

// Secret returns the secret by which processes authenticate each other, empty on an open network.
func (s Settings) Secret() []byte { return slices.Clone(s.secret) }

// Control returns the settings of the control replica, if this daemon is one.
func (s Settings) Control() (Control, bool) { return s.control.value, s.control.set }

// TLS returns the files for mutual TLS between processes, if it is enabled.
func (s Settings) TLS() (TLS, bool) { return s.tls.value, s.tls.set }

// Folder returns the path of the folder that this daemon reads the configuration from, if it has one.
func (s Settings) Folder() (string, bool) { return s.configFolder.value, s.configFolder.set }

// Ready returns the address of a port that answers only readiness checks, the zero value if there is
// none.
func (s Settings) Ready() netip.AddrPort { return s.readyAddress }

// Beside returns the service and the address of the local target, as far as they are set.
func (s Settings) Beside() Beside { return s.localTarget }

// Terms returns the durations of leases, holds, draining and shutdown. Those that are 0 are not set.
func (s Settings) Terms() Terms { return s.timings }

// Retries returns the retry budget of the fleet. It is not set if its window is 0.
func (s Settings) Retries() Retries { return s.retryBudget }

// Link returns the bandwidth of the instance's network link in Mbit/s, 0 if it is not known.
func (s Settings) Link() float64 { return s.linkMbps }

// Open reports whether the network between the processes is trusted, so that they need no
// secret.
func (s Settings) Open() bool { return s.openNetwork }

// Lasting reports whether the last known rules stay valid, and traffic continues, while no leader can be
// reached for newer ones.
func (s Settings) Lasting() bool { return s.lastingRules }

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
