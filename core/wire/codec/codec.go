// Package codec converts the values of core/state, and the events and effects of the
// control group's leader and of its members' agents, to protobuf messages and back.
//
// Decoders return an error for a message that no correct peer sends, and never panic on
// corrupt input.
package codec

import (
	"verbenabank/core/state/rules"
	"verbenabank/core/wire/wirepb"
)

// ParseRules parses rules from their canonical JSON.
type ParseRules func(content []byte) (rules.Rules, error)

// Codec decodes the messages that contain rules. It is immutable and safe for concurrent use.
type Codec struct {
	parse ParseRules
}

// Option configures a Codec.
type Option func(*Codec)

// WithRules sets the parser of rules. Without it, DecodeRules accepts only version 0 with an
// empty digest.
func WithRules(parse ParseRules) Option { return func(c *Codec) { c.parse = parse } }

// New returns a codec with the options applied in order.
func New(opts ...Option) *Codec {
	c := &Codec{parse: func([]byte) (rules.Rules, error) { return rules.Rules{}, nil }}
	for _, o := range opts {
		o(c)
	}
	return c
}

// EncodeRules returns the message for the rules, with their canonical JSON.
func EncodeRules(r rules.Rules) *wirepb.Configuration {
	return &wirepb.Configuration{Version: r.Version(), Digest: r.Digest(), Content: r.Content()}
}

// DecodeRules parses the content of a message and returns the rules. It fails if the version
// or the digest of the message is not that of the content.
func (c *Codec) DecodeRules(m *wirepb.Configuration) (rules.Rules, error) {
	content, err := unpack(m)
	if err != nil {
		return rules.Rules{}, err
	}
	r, err := c.parse(content)
	if err != nil {
		return rules.Rules{}, newError("rules", Malformed, err)
	}
	if r.Version() != m.GetVersion() || r.Digest() != m.GetDigest() {
		return rules.Rules{}, newError("rules", Mismatch, nil)
	}
	return r.WithContent(content), nil
}
