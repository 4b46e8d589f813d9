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
	trends map[Place]Trend
	keys   map[table.Incarnation]map[string]Heat
	rates  map[string][]float64
	paces  map[table.Incarnation]Pace

	spanMoved map[string]clock.Millis
}

// ViewOption sets one part of a View.
type ViewOption func(*View)

// WithBegan sets since when load is watched, and since when a service that was
// idle before has load.
func WithBegan(at clock.Millis, onsets map[string]clock.Millis) ViewOption {
	return func(v *View) { v.began, v.onsets = at, onsets }
}

// WithJoined sets when each member was first seen.
func WithJoined(joined map[table.Incarnation]clock.Millis) ViewOption {
	return func(v *View) { v.joined = joined }
}

// WithTrends sets the load of the shards.
func WithTrends(trends map[Place]Trend) ViewOption { return func(v *View) { v.trends = trends } }

// WithKeys sets the hottest keys of each member.
func WithKeys(keys map[table.Incarnation]map[string]Heat) ViewOption {
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

// Began returns since when the load of a service is watched. It begins anew when
// a service that was idle gets load.
func (v View) Began(service string) clock.Millis { return max(v.began, v.onsets[service]) }

// Joined returns when the leader first saw the member.
func (v View) Joined(i table.Incarnation) clock.Millis { return v.joined[i] }

// Trend returns the load of a shard, and whether the shard is known.
func (v View) Trend(p Place) (Trend, bool) {
	t, ok := v.trends[p]
	return t, ok
}

// Keys returns the hottest keys of a member.
func (v View) Keys(i table.Incarnation) map[string]Heat { return v.keys[i] }
