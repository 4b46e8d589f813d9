// Package peer holds what control replicas exchange and store: identities, log
// entries, snapshots, group members and messages, as immutable values.
//
// The replication is Raft, as described in D. Ongaro, "Consensus: Bridging Theory and Practice",
// Stanford University, 2014.
package peer

// ID identifies a replica for the lifetime of its data folder. It is random and
// never 0.
type ID uint64

// Term is the number of a period with at most one leader. It only increases.
type Term uint64

// Index is the position of an entry in the log, from 1.
type Index uint64

// Group identifies one control group. It is random; 0 means none.
type Group uint64
