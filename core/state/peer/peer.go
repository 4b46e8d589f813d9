// Package peer holds what control replicas exchange and store: identities, log
// entries, snapshots, group members and messages, as immutable values.
//
// The replication follows D. Ongaro, "Consensus: Bridging Theory and Practice",
// Stanford University, 2014.
package peer

// ID identifies one replica for the life of its data folder. It is random and
// never 0.
type ID uint64

// Term numbers a period with at most one leader. It only grows.
type Term uint64

// Index numbers an entry of the log, from 1.
type Index uint64

// Group identifies one control group. It is random; 0 means none.
type Group uint64
