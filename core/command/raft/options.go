package raft

import (
	"math/rand/v2"
	"slices"

	"verbenabank/core/state/peer"
)

// Option sets one property of a Node.
type Option func(*Node)

// WithAddress sets the address at which peers reach this replica, as "ip:port".
func WithAddress(address string) Option {
	return func(n *Node) { n.address = address }
}

// WithSeeds sets the addresses of all configured control replicas, including this one.
func WithSeeds(addresses ...string) Option {
	return func(n *Node) {
		n.seeds = slices.Clone(addresses)
		slices.Sort(n.seeds)
	}
}

// WithBootstrap allows the replica to bootstrap the group if all other configured replicas are blank too.
func WithBootstrap(allowed bool) Option {
	return func(n *Node) { n.bootstrap = allowed }
}

// WithOpenMembership lets replicas join that are not configured, and removes members that are unresponsive for
// long, as long as the minimum number of voters is left. Removed replicas may join again.
func WithOpenMembership(minVoters int) Option {
	return func(n *Node) { n.openMembership, n.minVoters = true, minVoters }
}

// WithRandom sets the seed for IDs, nonces and election timeouts. Each start of a process needs a
// different one.
func WithRandom(high, low uint64) Option {
	return func(n *Node) { n.random = rand.New(rand.NewPCG(high, low)) }
}

// WithStored sets what the storage holds at the start.
func WithStored(s peer.StoredState) Option {
	return func(n *Node) { n.stored = s }
}

// WithTrailingEntries sets how many entries before a snapshot stay in memory, so that a follower that
// is only a little behind needs no snapshot. The default is 4096.
func WithTrailingEntries(entries int) Option {
	return func(n *Node) { n.trailing = peer.Index(entries) }
}

// WithTrailingBytes sets how many bytes the entries before a snapshot that stay in memory may have. The default is 8 MiB.
func WithTrailingBytes(bytes int) Option {
	return func(n *Node) { n.trailingBytes = bytes }
}

// WithChunkSize sets the maximum size in bytes of the part of a snapshot in one message. The default
// is 256 KiB.
func WithChunkSize(bytes int) Option {
	return func(n *Node) { n.chunkSize = bytes }
}

// WithMaxRequestBytes sets the maximum size in bytes of the entries in one message. A single entry may
// be larger. The default is 256 KiB.
func WithMaxRequestBytes(bytes int) Option {
	return func(n *Node) { n.maxRequestBytes = bytes }
}
