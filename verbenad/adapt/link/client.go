package link

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"verbenabank/core/state/fleet"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/rules"
	"verbenabank/core/wire/codec"
	"verbenabank/core/wire/wirepb"
)

// Spans of calls to the leader.
const (
	callTimeout = time.Second
	// decideWithin is how long an offer looks for a leader.
	decideWithin = 10 * time.Second
)

// Client makes single calls to the leader of the control group. It is safe for
// concurrent use.
type Client struct {
	replicas *Addresses
	options  []grpc.DialOption
	codec    *codec.Codec
}

// NewClient returns a client that finds the leader through the replicas.
func NewClient(replicas *Addresses, options []grpc.DialOption, c *codec.Codec) *Client {
	return &Client{replicas: replicas, options: options, codec: c}
}

// Propose offers a configuration until a leader decided it. An offer that was lost
// on the way is made again, which is safe: what is in force is accepted again.
func (c *Client) Propose(ctx context.Context, a logcmd.SetRules) (fleet.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, decideWithin)
	defer cancel()
	m := codec.EncodeProposal(a)
	var verdict fleet.Verdict
	ok := c.ask(ctx, func(ctx context.Context, r wirepb.ControlClient) (string, bool) {
		v, err := r.Offer(ctx, m)
		decided := false
		if err == nil {
			verdict, decided = codec.DecodeVerdict(v)
		}
		if decided {
			return "", true
		}
		return v.GetLeader(), false
	})
	if !ok {
		return nil, &Error{op: "offer", kind: Undecided, cause: ctx.Err()}
	}
	return verdict, nil
}

// Rules returns the rules in force, confirmed by a quorum after the call.
func (c *Client) Rules(ctx context.Context) (rules.Rules, error) {
	var found *wirepb.Configuration
	ok := c.ask(ctx, func(ctx context.Context, r wirepb.ControlClient) (string, bool) {
		reply, err := r.Read(ctx, &wirepb.ReadRequest{})
		if err == nil && reply.GetConfirmed() {
			found = reply.GetRules()
			return "", true
		}
		return reply.GetLeader(), false
	})
	if !ok {
		return rules.Rules{}, &Error{op: "read rules", kind: Undecided, cause: ctx.Err()}
	}
	if found.GetVersion() == 0 {
		return rules.Rules{}, nil
	}
	return c.codec.DecodeRules(found)
}

// ask calls replicas, the leader if one names it, until a call is done or ctx ends.
func (c *Client) ask(ctx context.Context, call func(context.Context, wirepb.ControlClient) (string, bool)) bool {
	next, hint := 0, ""
	for ctx.Err() == nil {
		address := hint
		if address == "" {
			list := c.replicas.List()
			address = list[next%len(list)]
			next++
		}
		leader, done := c.try(ctx, address, call)
		if done {
			return true
		}
		hint = ""
		if leader != address {
			hint = leader
		}
		if hint == "" {
			pause(ctx, backoffLeast)
		}
	}
	return false
}

func (c *Client) try(ctx context.Context, address string, call func(context.Context, wirepb.ControlClient) (string, bool)) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := dial(address, c.options)
	if err != nil {
		return "", false
	}
	defer func() { _ = conn.Close() }()
	return call(ctx, wirepb.NewControlClient(conn))
}

// Audit returns the audit trail of the first replica that answers.
func (c *Client) Audit(ctx context.Context) ([]fleet.Record, error) {
	for _, address := range c.replicas.List() {
		if f, err := c.inspect(ctx, address); err == nil {
			return f.Audit(), nil
		}
	}
	return nil, &Error{op: "audit", kind: Unreachable}
}

func (c *Client) inspect(ctx context.Context, address string) (*fleet.State, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := dial(address, c.options)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	r, err := wirepb.NewControlClient(conn).Inspect(ctx, &wirepb.InspectRequest{Audit: true})
	if err != nil {
		return nil, &Error{op: "inspect " + address, kind: Unreachable, cause: err}
	}
	return c.codec.DecodeStateMessage(r.GetState())
}
