package load

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/table"
)

// View is what the leader knows of members and load at one instant. It must not
// be changed by its users.
type View struct {
	joined map[table.Incarnation]clock.Millis
	shards map[table.Incarnation]map[table.Shard]float64
	keys   map[table.Incarnation]map[string]float64
}

// NewView returns a view: when each member was first seen, on the leader's clock,
// and the requests per second of its shards and of its hottest keys.
func NewView(joined map[table.Incarnation]clock.Millis, shards map[table.Incarnation]map[table.Shard]float64, keys map[table.Incarnation]map[string]float64) View {
	return View{joined: joined, shards: shards, keys: keys}
}

// Joined returns when the leader first saw the member.
func (v View) Joined(i table.Incarnation) clock.Millis { return v.joined[i] }

// Rate returns the requests per second of a shard at its member.
func (v View) Rate(i table.Incarnation, s table.Shard) float64 { return v.shards[i][s] }

// Keys returns the requests per second of the hottest keys of a member.
func (v View) Keys(i table.Incarnation) map[string]float64 { return v.keys[i] }
