// Package rules holds the configuration of services and routes: the merged and validated
// content of the files of the operators, as immutable values.
package rules

import (
	"maps"
	"slices"
)

// Rules is one version of the configuration. The zero value has version 0 and no
// services. It is immutable and safe for concurrent use.
type Rules struct {
	version  uint64
	digest   string
	content  []byte
	services map[string]Service
	routes   []Route
	limits   Limits
}

// New returns rules with the given version and services. digest is the SHA-256 of the merged
// content in lower-case hexadecimal.
func New(version uint64, digest string, services ...Service) Rules {
	r := Rules{version: version, digest: digest, services: make(map[string]Service, len(services))}
	for _, s := range services {
		r.services[s.Name()] = s
	}
	return r
}

// WithContent returns the rules with their canonical encoding, which must not be
// modified afterwards.
func (r Rules) WithContent(content []byte) Rules {
	r.content = content
	return r
}

// Content returns the canonical encoding of the rules. The caller must not modify it.
func (r Rules) Content() []byte { return r.content }

// Version returns the version that the operators gave the configuration, 0 if there is none.
func (r Rules) Version() uint64 { return r.version }

// Digest returns the SHA-256 of the merged content in lower-case hexadecimal.
func (r Rules) Digest() string { return r.digest }

// Service returns the service with the name, and whether there is one.
func (r Rules) Service(name string) (Service, bool) {
	s, ok := r.services[name]
	return s, ok
}

// ServiceNames returns the names of all services, sorted.
func (r Rules) ServiceNames() []string { return slices.Sorted(maps.Keys(r.services)) }

// WithRoutes returns the rules with the routes, which must not be modified afterwards.
func (r Rules) WithRoutes(routes ...Route) Rules {
	r.routes = routes
	return r
}

// WithLimits returns the rules with limits on the requests and connections of callers.
func (r Rules) WithLimits(l Limits) Rules {
	r.limits = l
	return r
}

// Routes returns the routes. The caller must not modify the list.
func (r Rules) Routes() []Route { return r.routes }

// Limits returns the limits on the requests and connections of callers, or the defaults if none
// are set.
func (r Rules) Limits() Limits {
	if r.limits == (Limits{}) {
		return NewLimits(DefaultMaxHeaderBytes, DefaultMaxBodyBytes, DefaultHeaderTimeout, DefaultIdleTimeout)
	}
	return r.limits
}
