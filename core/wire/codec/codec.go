// Package codec maps the values of core/state and the events and effects of the
// control decisions to protobuf messages and back.
//
// Decoders return an error on anything that a sound peer would not send; they
// never panic on damaged input.
package codec

import (
	"verbenabank/core/state/rules"
	"verbenabank/core/wire/wirepb"
)

// ParseRules reads the canonical encoding of rules.
type ParseRules func(content []byte) (rules.Rules, error)

// Codec maps messages. It is immutable and safe for concurrent use.
type Codec struct {
	parse ParseRules
}

// Option sets one property of a Codec.
type Option func(*Codec)

// WithRules sets how rules are read from their canonical encoding.
func WithRules(parse ParseRules) Option { return func(c *Codec) { c.parse = parse } }

// New returns a codec.
func New(opts ...Option) *Codec {
	c := &Codec{parse: func([]byte) (rules.Rules, error) { return rules.Rules{}, nil }}
	for _, o := range opts {
		o(c)
	}
	return c
}

// EncodeRules returns the message for rules.
func EncodeRules(r rules.Rules) *wirepb.Configuration {
	return &wirepb.Configuration{Version: r.Version(), Digest: r.Digest(), Content: r.Content()}
}

// DecodeRules returns the rules of a message, read anew from their content.
func (c *Codec) DecodeRules(m *wirepb.Configuration) (rules.Rules, error) {
	r, err := c.parse(m.GetContent())
	if err != nil {
		return rules.Rules{}, fail("rules", Unreadable, err)
	}
	if r.Version() != m.GetVersion() || r.Digest() != m.GetDigest() {
		return rules.Rules{}, fail("rules", Mismatch, nil)
	}
	return r.WithContent(m.GetContent()), nil
}
