package fleet

import "slices"

// AcceptedLimit is how many accepted configurations are remembered. A conditional proposal that
// is sent again, such as after a lost reply, gets the verdict Repeated while it is remembered.
const AcceptedLimit = 4096

// AcceptedVersion identifies an accepted configuration.
type AcceptedVersion struct {
	version uint64
	digest  string
}

// NewAcceptedVersion returns the identity of the configuration with the version and digest.
func NewAcceptedVersion(version uint64, digest string) AcceptedVersion {
	return AcceptedVersion{version: version, digest: digest}
}

// Version returns the version.
func (v AcceptedVersion) Version() uint64 { return v.version }

// Digest returns the SHA-256 of the content in hexadecimal.
func (v AcceptedVersion) Digest() string { return v.digest }

// WithAccepted appends accepted configurations, the newest last, and drops the oldest beyond
// AcceptedLimit.
func WithAccepted(versions ...AcceptedVersion) Option {
	return func(f *State) {
		all := slices.Concat(f.acceptedVersions, versions)
		f.acceptedVersions = all[max(0, len(all)-AcceptedLimit):]
	}
}

// Accepted reports whether the configuration is among the last AcceptedLimit accepted ones.
func (f *State) Accepted(version uint64, digest string) bool {
	return slices.Contains(f.acceptedVersions, NewAcceptedVersion(version, digest))
}

// AcceptedVersions returns the remembered configurations, the newest last. The caller must not modify the
// list.
func (f *State) AcceptedVersions() []AcceptedVersion { return f.acceptedVersions }
