package fleet

import "slices"

// MarkLimit is how many accepted configurations are remembered, so that one that is sent
// again is accepted again.
const MarkLimit = 4096

// Mark names a configuration that was accepted.
type Mark struct {
	version uint64
	digest  string
}

// NewMark returns the mark of the configuration with the version and digest.
func NewMark(version uint64, digest string) Mark { return Mark{version: version, digest: digest} }

// Version returns the version.
func (m Mark) Version() uint64 { return m.version }

// Digest returns the digest.
func (m Mark) Digest() string { return m.digest }

// WithAccepted adds configurations that were accepted, the newest last.
func WithAccepted(marks ...Mark) Option {
	return func(f *Fleet) {
		all := slices.Concat(f.accepted, marks)
		f.accepted = all[max(0, len(all)-MarkLimit):]
	}
}

// Accepted reports whether the configuration was accepted, now or earlier.
func (f *Fleet) Accepted(version uint64, digest string) bool {
	return slices.Contains(f.accepted, NewMark(version, digest))
}

// Marks returns the accepted configurations, the newest last. The list must not be changed.
func (f *Fleet) Marks() []Mark { return f.accepted }
