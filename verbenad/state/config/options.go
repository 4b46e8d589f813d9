package config

import (
	"net/netip"
	"slices"

	"verbenabank/core/clock"
)

// Option sets one property of Settings.
type Option func(*Settings)

// WithName sets the names of the instance and of its availability zone.
func WithName(instance, zone string) Option {
	return func(s *Settings) { s.instance, s.zone = instance, zone }
}

// WithListen sets the addresses to listen on. The one for callers may be the zero value: the daemon then
// takes no requests of callers.
func WithListen(callers, peers, admin netip.AddrPort) Option {
	return func(s *Settings) { s.callersAddress, s.peersAddress, s.adminAddress = callers, peers, admin }
}

// WithAdvertised sets the address at which other processes reach the peers port.
func WithAdvertised(peers netip.AddrPort) Option {
	return func(s *Settings) { s.advertisedAddress = peers }
}

// WithReplicas sets the addresses of the control replicas' peers ports.
func WithReplicas(replicas ...netip.AddrPort) Option {
	return func(s *Settings) { s.replicas = slices.Clone(replicas) }
}

// WithSecret sets the secret by which processes authenticate each other.
func WithSecret(secret []byte) Option {
	return func(s *Settings) { s.secret = slices.Clone(secret) }
}

// WithControl makes the daemon a control replica.
func WithControl(control Control) Option {
	return func(s *Settings) { s.control = Some(control) }
}

// WithTLS enables mutual TLS between processes, with the given files.
func WithTLS(files TLS) Option { return func(s *Settings) { s.tls = Some(files) } }

// WithConfigFolder sets the path of the folder that the daemon reads the configuration from.
func WithConfigFolder(path string) Option { return func(s *Settings) { s.configFolder = Some(path) } }

// WithLog sets the least severe level that is logged, and the format of log lines.
func WithLog(level Level, format Format) Option {
	return func(s *Settings) { s.logLevel, s.logFormat = level, format }
}

// WithReadyAddress sets the address of a port that answers only readiness checks.
func WithReadyAddress(a netip.AddrPort) Option { return func(s *Settings) { s.readyAddress = a } }

// WithLocalTarget sets the service and the address of the local target, for the time before it announces
// itself.
func WithLocalTarget(t LocalTarget) Option { return func(s *Settings) { s.localTarget = t } }

// WithTimings sets the durations of leases, holds, draining and shutdown.
func WithTimings(t Timings) Option { return func(s *Settings) { s.timings = t } }

// WithRetryBudget sets the retry budget of the fleet.
func WithRetryBudget(b RetryBudget) Option { return func(s *Settings) { s.retryBudget = b } }

// WithLinkMbps sets the bandwidth of the instance's network link in Mbit/s, 0 if it is not known.
func WithLinkMbps(mbps float64) Option { return func(s *Settings) { s.linkMbps = mbps } }

// WithMemoryMB sets the memory that the process may use in MB, 0 if it is not known.
func WithMemoryMB(mb int64) Option { return func(s *Settings) { s.memoryMB = mb } }

// WithOpenNetwork declares the network between the processes as trusted, so that they need no secret.
func WithOpenNetwork() Option { return func(s *Settings) { s.openNetwork = true } }

// WithLastingRules sets whether the last known rules stay valid while no leader can be reached.
func WithLastingRules(lasting bool) Option { return func(s *Settings) { s.lastingRules = lasting } }

// WithTerms sets the terms of service of the deployment.
func WithTerms(names []string) Option { return func(s *Settings) { s.terms = slices.Clone(names) } }

// WithZoneCost turns on the balancing of pooled services by expected work, and sets the cost of the way to another zone
// in milliseconds.
func WithZoneCost(cost clock.Millis) Option { return func(s *Settings) { s.zoneCost = Some(cost) } }

// WithColdBound sets how many requests a cold target may get in a second.
func WithColdBound(b ColdBound) Option { return func(s *Settings) { s.coldBound = b } }
