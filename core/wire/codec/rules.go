package codec

import (
	"verbenabank/core/clock"
	"verbenabank/core/command/agent"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
	"verbenabank/core/wire/wirepb"
)

// EncodePackedRules is EncodeRules with a large configuration compressed.
func EncodePackedRules(r rules.Rules) *wirepb.Configuration {
	m := EncodeRules(r)
	packLarge(m)
	return m
}

// EncodeRulesReply returns the answer to a daemon that asks for rules: those of the snapshot, without content, and when
// they were confirmed.
func EncodeRulesReply(s *snap.Snapshot, now clock.Millis) *wirepb.RulesReply {
	m := &wirepb.RulesReply{Group: s.Group(), Version: s.Table().Rules().Version()}
	if at := s.RulesConfirmed(); at > 0 {
		m.Confirmed, m.ConfirmedMs = true, int64(now.Sub(at))
	}
	return m
}

// DecodeRulesReply returns the agent's event for the answer to a question that was asked at an instant.
func (c *Codec) DecodeRulesReply(asked clock.Millis, m *wirepb.RulesReply) (agent.RulesAnswered, error) {
	e := agent.NewRulesAnswered(asked, m.GetGroup(), m.GetVersion())
	if m.GetConfirmed() {
		if m.GetConfirmedMs() < 0 {
			return agent.RulesAnswered{}, newError("rules reply", OutOfRange, nil)
		}
		e = e.WithConfirmation(clock.Millis(m.GetConfirmedMs()))
	}
	if m.GetNewer() == nil {
		return e, nil
	}
	r, err := c.DecodeRules(m.GetNewer())
	if err == nil && r.Version() != m.GetVersion() {
		err = newError("rules reply", Mismatch, nil)
	}
	return e.WithNewer(r), err
}
