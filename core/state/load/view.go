package load

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/table"
)

// View is what the leader knows of members and load at one instant. It must not
// be changed by its users, and is void once its maker learns more.
type View struct {
	began  clock.Millis
	onsets map[string]clock.Millis
	joined map[table.Incarnation]clock.Millis
	trends map[ShardRef]ShardStats
	keys   map[table.Incarnation]map[string]KeyHistory
	rates  map[string][]float64
	paces  map[table.Incarnation]TargetStats

	spanMoved map[string]clock.Millis
}

// ViewOption sets one part of a View.
type ViewOption func(*View)

// WithObservedSince sets since when load is watched, and since when a service that was
// idle before has load.
func WithObservedSince(at clock.Millis, onsets map[string]clock.Millis) ViewOption {
	return func(v *View) { v.began, v.onsets = at, onsets }
}

// WithJoined sets when each member was first seen.
func WithJoined(joined map[table.Incarnation]clock.Millis) ViewOption {
	return func(v *View) { v.joined = joined }
}

// WithShardStats sets the load of the shards.
func WithShardStats(trends map[ShardRef]ShardStats) ViewOption {
	return func(v *View) { v.trends = trends }
}

// WithHotKeys sets the hottest keys of each member.
func WithHotKeys(keys map[table.Incarnation]map[string]KeyHistory) ViewOption {
	return func(v *View) { v.keys = keys }
}

// NewView returns a view. All its instants are on the leader's clock.
func NewView(opts ...ViewOption) View {
	var v View
	for _, o := range opts {
		o(&v)
	}
	return v
}

// ObservedSince returns since when the load of a service is watched. It begins anew when
// a service that was idle gets load.
func (v View) ObservedSince(service string) clock.Millis { return max(v.began, v.onsets[service]) }

// Joined returns when the leader first saw the member.
func (v View) Joined(i table.Incarnation) clock.Millis { return v.joined[i] }

// ShardStats returns the load of a shard, and whether the shard is known.
func (v View) ShardStats(p ShardRef) (ShardStats, bool) {
	t, ok := v.trends[p]
	return t, ok
}

// HotKeys returns the hottest keys of a member.
func (v View) HotKeys(i table.Incarnation) map[string]KeyHistory { return v.keys[i] }
