package raft

import (
	"math/rand/v2"
	"slices"

	"verbenabank/core/state/peer"
)

// Option sets one property of a Node.
type Option func(*Node)

// WithAddress sets where peers reach this replica, as "ip:port".
func WithAddress(address string) Option {
	return func(n *Node) { n.address = address }
}

// WithSeeds sets the addresses of all control replicas in the settings, this one
// included.
func WithSeeds(addresses ...string) Option {
	return func(n *Node) {
		n.seeds = slices.Clone(addresses)
		slices.Sort(n.seeds)
	}
}

// WithBootstrap allows the replica to found the group if all others are blank too.
func WithBootstrap(form bool) Option {
	return func(n *Node) { n.form = form }
}

// WithOpenMembership lets replicas join that no settings list, and removes members that are silent for
// long as long as the least count of voters is left. They may join again.
func WithOpenMembership(least int) Option {
	return func(n *Node) { n.open, n.least = true, least }
}

// WithRandom sets the seed of identities, nonces and election timeouts. Each
// start of a process needs another one.
func WithRandom(high, low uint64) Option {
	return func(n *Node) { n.random = rand.New(rand.NewPCG(high, low)) }
}

// WithStored sets what the storage holds.
func WithStored(s peer.StoredState) Option {
	return func(n *Node) { n.stored = s }
}

// WithTrail sets how many entries before a snapshot stay in memory, so that
// followers a little behind need no snapshot.
func WithTrail(entries int) Option {
	return func(n *Node) { n.trail = peer.Index(entries) }
}

// WithChunk sets the greatest number of bytes of a snapshot in one message.
func WithChunk(bytes int) Option {
	return func(n *Node) { n.chunk = bytes }
}

// WithLimit sets the greatest number of bytes of entries in one message. A single
// entry may be larger.
func WithLimit(bytes int) Option {
	return func(n *Node) { n.limit = bytes }
}
