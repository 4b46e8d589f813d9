package link

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"verbenabank/core/state/fleet"
	"verbenabank/core/state/order"
	"verbenabank/core/wire/codec"
	"verbenabank/core/wire/wirepb"
)

// Spans of calls to the leader.
const (
	callTimeout = 2 * time.Second
	// decideWithin is how long an offer looks for a leader.
	decideWithin = 10 * time.Second
)

// Client makes single calls to the leader of the control group. It is safe for
// concurrent use.
type Client struct {
	replicas []string
	options  []grpc.DialOption
	codec    *codec.Codec
}

// NewClient returns a client that finds the leader through the replicas.
func NewClient(replicas []string, options []grpc.DialOption, c *codec.Codec) *Client {
	return &Client{replicas: replicas, options: options, codec: c}
}

// Offer offers a configuration until a leader decided it. An offer that was lost
// on the way is made again, which is safe: what is in force is accepted again.
func (c *Client) Offer(ctx context.Context, a order.Accept) (*wirepb.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, decideWithin)
	defer cancel()
	m, next, hint := codec.EncodeProposal(a), 0, ""
	for ctx.Err() == nil {
		address := hint
		if address == "" {
			address = c.replicas[next%len(c.replicas)]
			next++
		}
		v, err := c.offer(ctx, address, m)
		if err == nil && v.GetCode() != wirepb.VerdictCode_VERDICT_CODE_UNDECIDED {
			return v, nil
		}
		hint = ""
		if l := v.GetLeader(); l != address {
			hint = l
		}
		if hint == "" {
			pause(ctx, backoffLeast)
		}
	}
	return nil, &Error{op: "offer", kind: Undecided, cause: ctx.Err()}
}

func (c *Client) offer(ctx context.Context, address string, m *wirepb.Proposal) (*wirepb.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := dial(address, c.options)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	return wirepb.NewControlClient(conn).Offer(ctx, m)
}

// Audit returns the audit trail of the first replica that answers.
func (c *Client) Audit(ctx context.Context) ([]fleet.Record, error) {
	for _, address := range c.replicas {
		if f, err := c.inspect(ctx, address); err == nil {
			return f.Audit(), nil
		}
	}
	return nil, &Error{op: "audit", kind: Unreachable}
}

func (c *Client) inspect(ctx context.Context, address string) (*fleet.Fleet, error) {
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
	return c.codec.State(r.GetState())
}
