package fleet

import "slices"

// MarkLimit is how many accepted configurations are remembered. A conditional submission that
// is sent again, such as after a lost reply, gets the verdict Repeated while it is remembered.
const MarkLimit = 4096

// Mark identifies an accepted configuration.
type Mark struct {
	version uint64
	digest  string
}

// NewMark returns the identity of the configuration with the version and digest.
func NewMark(version uint64, digest string) Mark { return Mark{version: version, digest: digest} }

// Version returns the version.
func (m Mark) Version() uint64 { return m.version }

// Digest returns the SHA-256 of the content in hexadecimal.
func (m Mark) Digest() string { return m.digest }

// WithAccepted appends accepted configurations, the newest last, and drops the oldest beyond
// AcceptedLimit.
func WithAccepted(versions ...Mark) Option {
	return func(f *Fleet) {
		all := slices.Concat(f.acceptedVersions, versions)
		f.acceptedVersions = all[max(0, len(all)-MarkLimit):]
	}
}

// Accepted reports whether the configuration is among the last AcceptedLimit accepted ones.
func (f *Fleet) Accepted(version uint64, digest string) bool {
	return slices.Contains(f.acceptedVersions, NewMark(version, digest))
}

// Marks returns the remembered configurations, the newest last. The caller must not modify the
// list.
func (f *Fleet) Marks() []Mark { return f.acceptedVersions }
