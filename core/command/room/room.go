// Package room decides who gets the room of targets when demand exceeds it. Targets make calls to other services while
// they run a request; a call that is refused wastes the request that made it. So a target runs calls before new
// requests, and the daemons beside the targets that make the calls admit fewer new requests while the targets that
// are called have too little room (backpressure from callee to caller).
//
// Origins learns which classes are calls, Demand measures which share of the new requests a target can serve, Gate
// limits the new requests of targets that make calls, and Levels refuses at the entry what a gate would refuse.
// None of them is safe for concurrent use.
package room

import "hash/fnv"

// Full is the share in percent with which all requests are admitted.
const Full = 100

// draw returns a number from 0 to Full-1 that is the same for a request at every daemon, so that a request that one
// daemon refuses is not admitted by the next.
func draw(id string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	sum := h.Sum32()
	sum ^= sum >> 15
	sum *= 0x2c1b3c6d
	sum ^= sum >> 12
	return int(sum % Full)
}
