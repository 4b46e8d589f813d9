package fleet

import "slices"

// AcceptedLimit is how many accepted configurations are remembered, so that one that is sent
// again is accepted again.
const AcceptedLimit = 4096

// AcceptedVersion names a configuration that was accepted.
type AcceptedVersion struct {
	version uint64
	digest  string
}

// NewAcceptedVersion returns the mark of the configuration with the version and digest.
func NewAcceptedVersion(version uint64, digest string) AcceptedVersion {
	return AcceptedVersion{version: version, digest: digest}
}

// Version returns the version.
func (m AcceptedVersion) Version() uint64 { return m.version }

// Digest returns the digest.
func (m AcceptedVersion) Digest() string { return m.digest }

// WithAccepted adds configurations that were accepted, the newest last.
func WithAccepted(marks ...AcceptedVersion) Option {
	return func(f *State) {
		all := slices.Concat(f.accepted, marks)
		f.accepted = all[max(0, len(all)-AcceptedLimit):]
	}
}

// Accepted reports whether the configuration was accepted, now or earlier.
func (f *State) Accepted(version uint64, digest string) bool {
	return slices.Contains(f.accepted, NewAcceptedVersion(version, digest))
}

// AcceptedVersions returns the accepted configurations, the newest last. The list must not be changed.
func (f *State) AcceptedVersions() []AcceptedVersion { return f.accepted }
