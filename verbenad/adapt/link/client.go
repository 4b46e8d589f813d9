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

// Timeouts of calls to the leader.
const (
	callTimeout = time.Second // of one call to one replica
	// proposeTimeout bounds a proposal including the search for the leader.
	proposeTimeout = 10 * time.Second
)

// Client makes single calls to the control group, with a new connection for each
// call. It is safe for concurrent use.
type Client struct {
	replicas *Addresses
	options  []grpc.DialOption
	codec    *codec.Codec
}

// NewClient returns a client that tries the replicas in turn and follows their
// hints about the leader.
func NewClient(replicas *Addresses, options []grpc.DialOption, c *codec.Codec) *Client {
	return &Client{replicas: replicas, options: options, codec: c}
}

// Propose proposes a configuration and retries until a leader has decided on it. If
// ctx ends or 10 s pass first, the error is Undecided. Retrying after a lost reply
// is safe, since a configuration that is already in force is accepted again.
func (c *Client) Propose(ctx context.Context, a logcmd.SetRules) (fleet.Verdict, error) {
	m := codec.EncodeProposal(a)
	return c.decide(ctx, "offer", func(ctx context.Context, r wirepb.ControlClient) (*wirepb.Verdict, error) { return r.Offer(ctx, m) })
}

// SetZoneDrain drains a zone or ends its drain, and retries until a leader has decided on it. If ctx ends or 10 s pass
// first, the error is Undecided. Retrying after a lost reply is safe, since a repeated command changes nothing.
func (c *Client) SetZoneDrain(ctx context.Context, a logcmd.SetZoneDrain) (fleet.Verdict, error) {
	m := codec.EncodeZoneDrain(a)
	return c.decide(ctx, "drain zone", func(ctx context.Context, r wirepb.ControlClient) (*wirepb.Verdict, error) { return r.DrainZone(ctx, m) })
}

// decide makes a proposal until a leader has decided on it, ctx ends or proposeTimeout has passed.
func (c *Client) decide(ctx context.Context, op string, propose func(context.Context, wirepb.ControlClient) (*wirepb.Verdict, error)) (fleet.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	var verdict fleet.Verdict
	ok := c.callLeader(ctx, func(ctx context.Context, r wirepb.ControlClient) (string, bool) {
		v, err := propose(ctx, r)
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
		return nil, &Error{op: op, kind: Undecided, cause: ctx.Err()}
	}
	return verdict, nil
}

// Rules reads the rules in force from the leader, after a quorum has confirmed its
// leadership. It retries until ctx ends. Without any rules it returns the zero value.
func (c *Client) Rules(ctx context.Context) (rules.Rules, error) {
	var inForce *wirepb.Configuration
	ok := c.callLeader(ctx, func(ctx context.Context, r wirepb.ControlClient) (string, bool) {
		reply, err := r.Read(ctx, &wirepb.ReadRequest{})
		if err == nil && reply.GetConfirmed() {
			inForce = reply.GetRules()
			return "", true
		}
		return reply.GetLeader(), false
	})
	if !ok {
		return rules.Rules{}, &Error{op: "read rules", kind: Undecided, cause: ctx.Err()}
	}
	if inForce.GetVersion() == 0 {
		return rules.Rules{}, nil
	}
	return c.codec.DecodeRules(inForce)
}

// callLeader calls replicas until one call succeeds or ctx ends, and reports whether
// one did. A call returns the leader's address if it knows it, which is tried next;
// otherwise the replicas are tried in turn.
func (c *Client) callLeader(ctx context.Context, call func(context.Context, wirepb.ControlClient) (string, bool)) bool {
	next, hint := 0, ""
	for ctx.Err() == nil {
		address := hint
		if address == "" {
			list := c.replicas.List()
			address = list[next%len(list)]
			next++
		}
		leader, done := c.callReplica(ctx, address, call)
		if done {
			return true
		}
		hint = ""
		if leader != address {
			hint = leader
		}
		if hint == "" {
			pause(ctx, minBackoff)
		}
	}
	return false
}

// callReplica makes one call over a new connection. It returns the leader's address as
// far as the replica knows it, and whether the call succeeded.
func (c *Client) callReplica(ctx context.Context, address string, call func(context.Context, wirepb.ControlClient) (string, bool)) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := dial(address, c.options)
	if err != nil {
		return "", false
	}
	defer func() { _ = conn.Close() }()
	return call(ctx, wirepb.NewControlClient(conn))
}

// Audit returns the audit trail of the first replica that responds, which may lag
// behind the leader's.
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
