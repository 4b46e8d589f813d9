package config

import (
	"net/netip"
	"slices"
)

// Option sets one property of Settings.
type Option func(*Settings)

// WithName sets the names of the instance and of its availability zone.
func WithName(instance, zone string) Option {
	return func(s *Settings) { s.instance, s.zone = instance, zone }
}

// WithListen sets the addresses to listen on.
func WithListen(callers, peers, admin netip.AddrPort) Option {
	return func(s *Settings) { s.callers, s.peers, s.admin = callers, peers, admin }
}

// WithAdvertised sets the address at which other processes reach listen.peers.
func WithAdvertised(peers netip.AddrPort) Option {
	return func(s *Settings) { s.advertised = peers }
}

// WithReplicas sets the peers addresses of the control replicas.
func WithReplicas(replicas ...netip.AddrPort) Option {
	return func(s *Settings) { s.replicas = slices.Clone(replicas) }
}

// WithSecret sets the secret that all processes share.
func WithSecret(secret []byte) Option {
	return func(s *Settings) { s.secret = slices.Clone(secret) }
}

// WithControl makes the daemon a control replica.
func WithControl(control Control) Option {
	return func(s *Settings) { s.control = Some(control) }
}

// WithTLS sets the files for mutual TLS between processes.
func WithTLS(files TLS) Option { return func(s *Settings) { s.tls = Some(files) } }

// WithConfigFolder sets the path of the configuration folder.
func WithConfigFolder(path string) Option { return func(s *Settings) { s.folder = Some(path) } }

// WithLog sets the least severe level that is logged and the format.
func WithLog(level Level, format Format) Option {
	return func(s *Settings) { s.level, s.format = level, format }
}

// WithReadyAddress sets the address of the port that only tells whether the daemon is ready.
func WithReadyAddress(a netip.AddrPort) Option { return func(s *Settings) { s.ready = a } }

// WithLocalTarget sets what is known of the target beside before it speaks.
func WithLocalTarget(b LocalTarget) Option { return func(s *Settings) { s.beside = b } }

// WithTimings sets the spans of leases, holds and stops.
func WithTimings(t Timings) Option { return func(s *Settings) { s.terms = t } }

// WithRetryBudget sets the retry budget of the fleet.
func WithRetryBudget(r RetryBudget) Option { return func(s *Settings) { s.retries = r } }

// WithLinkMbps sets the rate of the instance's link in Mbit/s, 0 if it is not known.
func WithLinkMbps(rate float64) Option { return func(s *Settings) { s.link = rate } }

// WithOpenNetwork says that the network between the processes is trusted.
func WithOpenNetwork() Option { return func(s *Settings) { s.open = true } }

// WithLastingRules lets traffic go on under the known rules while no leader can be asked.
func WithLastingRules(yes bool) Option { return func(s *Settings) { s.lasting = yes } }
