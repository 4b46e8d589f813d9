// Package link carries messages between the processes of the system over gRPC:
// those of control replicas, and the sessions of daemons with the leader.
package link

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
)

// Spans of connections.
const (
	connectTimeout = 500 * time.Millisecond
	backoffLeast   = 20 * time.Millisecond
	backoffMost    = 250 * time.Millisecond
	attachMost     = 80 * time.Millisecond // between two attempts to attach
	attachSteps    = 2                     // doublings from backoffLeast to attachMost
)

// How many messages may wait for one connection.
const (
	queueLength = 1024
	// sessionQueue holds the orders of some seconds for one daemon, since the
	// leader sends leases and updates at bounded rates. The leader has one for
	// each daemon.
	sessionQueue = 256
)

// dial returns a connection to a process. It connects when it is first used.
func dial(address string, options []grpc.DialOption) (*grpc.ClientConn, error) {
	all := append([]grpc.DialOption{
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: backoffLeast, Multiplier: 1.6, Jitter: 0.2, MaxDelay: backoffMost},
			MinConnectTimeout: connectTimeout,
		}),
	}, options...)
	c, err := grpc.NewClient("passthrough:///"+address, all...)
	if err != nil {
		return nil, &Error{op: "dial " + address, kind: Unreachable, cause: err}
	}
	return c, nil
}
