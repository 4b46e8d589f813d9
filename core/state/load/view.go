package load

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/table"
)

// View is what the leader knows about members and load at one time. It must not be modified,
// and must not be used any more once the stats.Collector that made it has processed another event.
type View struct {
	observedSince        clock.Millis
	serviceObservedSince map[string]clock.Millis
	joined               map[table.Incarnation]clock.Millis
	returned             map[table.Incarnation]clock.Millis
	shardStats           map[ShardRef]ShardStats
	hotKeys              map[table.Incarnation]map[string]KeyHistory
	cellRates            map[string][]float64
	targetStats          map[table.Incarnation]TargetStats

	spanMoved map[string]clock.Millis
}

// ViewOption sets one part of a View.
type ViewOption func(*View)

// WithObservedSince sets when the leader began to observe load, and when each service that was idle
// before began to receive requests.
func WithObservedSince(at clock.Millis, services map[string]clock.Millis) ViewOption {
	return func(v *View) { v.observedSince, v.serviceObservedSince = at, services }
}

// WithJoined sets when the leader first saw each member.
func WithJoined(joined map[table.Incarnation]clock.Millis) ViewOption {
	return func(v *View) { v.joined = joined }
}

// WithReturned sets when members were taken back whose zone had been drained.
func WithReturned(returned map[table.Incarnation]clock.Millis) ViewOption {
	return func(v *View) { v.returned = returned }
}

// WithShardStats sets the statistics of the shards.
func WithShardStats(stats map[ShardRef]ShardStats) ViewOption {
	return func(v *View) { v.shardStats = stats }
}

// WithHotKeys sets the hottest keys of each member.
func WithHotKeys(hotKeys map[table.Incarnation]map[string]KeyHistory) ViewOption {
	return func(v *View) { v.hotKeys = hotKeys }
}

// NewView returns a view. All its times are on the clock of the leader.
func NewView(opts ...ViewOption) View {
	var v View
	for _, o := range opts {
		o(&v)
	}
	return v
}

// ObservedSince returns since when the load of a service has been observed. It starts again when a
// service that was idle receives requests.
func (v View) ObservedSince(service string) clock.Millis {
	return max(v.observedSince, v.serviceObservedSince[service])
}

// Joined returns when the leader first saw the member.
func (v View) Joined(i table.Incarnation) clock.Millis { return v.joined[i] }

// Returned returns when the member was taken back after a drain of its zone, 0 if the leader has seen no such drain end.
func (v View) Returned(i table.Incarnation) clock.Millis { return v.returned[i] }

// ShardStats returns the statistics of a shard, and whether there are any.
func (v View) ShardStats(r ShardRef) (ShardStats, bool) {
	s, ok := v.shardStats[r]
	return s, ok
}

// HotKeys returns the hottest keys of a member with their history.
func (v View) HotKeys(i table.Incarnation) map[string]KeyHistory { return v.hotKeys[i] }
