// Package link is the gRPC transport between processes: the message streams
// between control replicas, the sessions of daemons with the leader, and single
// calls to the leader.
package link

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
)

// Timeouts and backoff of connections.
const (
	connectTimeout = 500 * time.Millisecond
	minBackoff     = 20 * time.Millisecond
	maxBackoff     = 250 * time.Millisecond
)

// Lengths of send queues, in messages.
const (
	sendQueueLength = 1024
	// sessionQueueLength covers several seconds of orders to one daemon, since the
	// leader sends leases and updates at bounded rates. It is the shorter
	// one, since the leader has one queue for each daemon.
	sessionQueueLength = 256
)

// connectWithin bounds one attempt to connect.
func connectWithin(timeout time.Duration) grpc.DialOption {
	return grpc.WithConnectParams(grpc.ConnectParams{
		Backoff:           backoff.Config{BaseDelay: minBackoff, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxBackoff},
		MinConnectTimeout: timeout,
	})
}

// dial creates a client connection, which connects on first use.
func dial(address string, options []grpc.DialOption) (*grpc.ClientConn, error) {
	combined := append([]grpc.DialOption{connectWithin(connectTimeout)}, options...)
	conn, err := grpc.NewClient("passthrough:///"+address, combined...)
	if err != nil {
		return nil, &Error{op: "dial " + address, kind: Unreachable, cause: err}
	}
	return conn, nil
}
