// Package rules holds the configuration in force: the merged and checked result
// of the operators' files, as immutable values.
package rules

import (
	"maps"
	"slices"
)

// Rules is one accepted configuration. The zero value has version 0 and no
// services. It is immutable and safe for concurrent use.
type Rules struct {
	version  uint64
	digest   string
	content  []byte
	services map[string]Service
	routes   []Route
	limits   Limits
}

// New returns rules with the given version, the digest of the merged content in
// lower-case hexadecimal SHA-256, and services.
func New(version uint64, digest string, services ...Service) Rules {
	r := Rules{version: version, digest: digest, services: make(map[string]Service, len(services))}
	for _, s := range services {
		r.services[s.Name()] = s
	}
	return r
}

// WithContent returns the rules with their canonical encoding, which must not be
// changed afterwards.
func (r Rules) WithContent(content []byte) Rules {
	r.content = content
	return r
}

// Content returns the canonical encoding of the rules. It must not be changed.
func (r Rules) Content() []byte { return r.content }

// Version returns the number that the operators gave this configuration.
func (r Rules) Version() uint64 { return r.version }

// Digest returns the SHA-256 of the merged content in hexadecimal.
func (r Rules) Digest() string { return r.digest }

// Service returns the service called name.
func (r Rules) Service(name string) (Service, bool) {
	s, ok := r.services[name]
	return s, ok
}

// ServiceNames returns the names of all services in order.
func (r Rules) ServiceNames() []string { return slices.Sorted(maps.Keys(r.services)) }

// WithRoutes returns the rules with routes by host and path.
func (r Rules) WithRoutes(routes ...Route) Rules {
	r.routes = routes
	return r
}

// WithLimits returns the rules with limits for callers.
func (r Rules) WithLimits(l Limits) Rules {
	r.limits = l
	return r
}

// Routes returns the routes by host and path, which must not be changed.
func (r Rules) Routes() []Route { return r.routes }

// Limits returns the limits for callers.
func (r Rules) Limits() Limits {
	if r.limits == (Limits{}) {
		return NewLimits(DefaultMaxHeaderBytes, DefaultMaxBodyBytes, DefaultHeaderTimeout, DefaultIdleTimeout)
	}
	return r.limits
}
