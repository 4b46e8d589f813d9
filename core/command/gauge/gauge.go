// Package gauge keeps the leader's picture of its members: since when they are
// known and how much load they report.
package gauge

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/load"
	"verbenabank/core/state/table"
)

// smoothing is the weight of the newest report in a rate.
const smoothing = 0.3

// Gauge is the picture. It is for the control goroutine only.
type Gauge struct {
	members map[table.Incarnation]*member
}

// member is what is known of one member.
type member struct {
	joined   clock.Millis
	reported clock.Millis
	shards   map[table.Shard]float64
	keys     map[string]float64
}

// New returns a gauge that knows no member.
func New() *Gauge { return &Gauge{members: map[table.Incarnation]*member{}} }

// Joined takes note of a member first seen at now.
func (g *Gauge) Joined(i table.Incarnation, now clock.Millis) {
	g.members[i] = &member{joined: now, reported: now, shards: map[table.Shard]float64{}, keys: map[string]float64{}}
}

// Left forgets a member.
func (g *Gauge) Left(i table.Incarnation) { delete(g.members, i) }

// Knows reports whether the member was seen.
func (g *Gauge) Knows(i table.Incarnation) bool {
	_, ok := g.members[i]
	return ok
}

// Report counts what a member measured since its last report. An empty report
// counts for nothing, since most renewals carry none.
func (g *Gauge) Report(i table.Incarnation, r load.Report, now clock.Millis) {
	m, ok := g.members[i]
	if !ok || r.Empty() || now <= m.reported {
		return
	}
	seconds := float64(now.Sub(m.reported)) / float64(clock.Second)
	m.reported = now
	counts := map[table.Shard]float64{}
	for _, s := range r.Shards() {
		counts[s.Shard()] = float64(s.Requests()) / seconds
	}
	m.shards = smooth(m.shards, counts)
	hot := map[string]float64{}
	for _, k := range r.Keys() {
		hot[k.Key()] = float64(k.Requests()) / seconds
	}
	m.keys = smooth(m.keys, hot)
}

// smooth moves rates towards the newest ones and drops those that are near zero.
func smooth[K comparable](rates, newest map[K]float64) map[K]float64 {
	next := map[K]float64{}
	for k, r := range rates {
		if v := r + smoothing*(newest[k]-r); v > 0.01 {
			next[k] = v
		}
	}
	for k, r := range newest {
		if _, ok := rates[k]; !ok {
			next[k] = smoothing * r
		}
	}
	return next
}

// View returns the picture at this instant.
func (g *Gauge) View() load.View {
	joined := map[table.Incarnation]clock.Millis{}
	shards := map[table.Incarnation]map[table.Shard]float64{}
	keys := map[table.Incarnation]map[string]float64{}
	for i, m := range g.members {
		joined[i], shards[i], keys[i] = m.joined, m.shards, m.keys
	}
	return load.NewView(joined, shards, keys)
}
