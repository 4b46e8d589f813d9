package hop

import (
	"context"
	"sync"
	"time"

	"verbenabank/core/clock"
	"verbenabank/core/command/agent"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
	"verbenabank/core/wire/codec"
	"verbenabank/core/wire/wirepb"
)

// Limits of questions for rules. They may take long in a process with too little processor time, and are then not
// repeated.
const (
	rulesTimeout  = 4 * time.Second
	openQuestions = 12
)

// AskRules asks the daemon at an address for rules newer than a version, on the connection that requests use. It
// calls answered from another goroutine if there is an answer. While openQuestions have none it asks no more.
func (c *Client) AskRules(address string, asked clock.Millis, version uint64, d *codec.Codec, answered func(agent.RulesAnswered)) {
	n, ok := c.conn(address)
	if !ok || c.questions.Load() >= openQuestions {
		return
	}
	c.questions.Add(1)
	go func() {
		defer c.questions.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), rulesTimeout)
		defer cancel()
		m, err := wirepb.NewHopClient(n).Rules(ctx, &wirepb.RulesRequest{Version: version})
		if err != nil {
			return
		}
		if e, err := d.DecodeRulesReply(asked, m); err == nil {
			answered(e)
		}
	}()
}

// WithRules lets the server answer questions for rules from the snapshots of its daemon.
func WithRules(c *clock.Clock, s *snap.Store) ServerOption {
	return func(v *Server) { v.clock, v.snapshots = c, s }
}

// Rules answers a daemon that has rules of a version.
func (s *Server) Rules(_ context.Context, m *wirepb.RulesRequest) (*wirepb.RulesReply, error) {
	current := s.snapshots.Load()
	reply := codec.EncodeRulesReply(current, s.clock.Now())
	if r := current.Table().Rules(); r.Version() > m.GetVersion() {
		reply.Newer = s.packed.get(r)
	}
	return reply, nil
}

// packedRules keeps the message of the newest rules, since many daemons ask for them at the same time.
type packedRules struct {
	mu      sync.Mutex
	version uint64
	message *wirepb.Configuration
}

func (p *packedRules) get(r rules.Rules) *wirepb.Configuration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.message == nil || p.version != r.Version() {
		p.version, p.message = r.Version(), codec.EncodePackedRules(r)
	}
	return p.message
}
