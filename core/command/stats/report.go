package stats

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/load"
	"verbenabank/core/state/table"
)

// Smoothing of reports.
const (
	// reportEvery is the time between two reports of a busy member.
	reportEvery = clock.Second
	// idleAfter is the silence that counts as a report of no requests.
	idleAfter = 2 * clock.Second
	// rateWeight is the weight of the newest report in a rate.
	rateWeight = 0.4
	// costWeight is the weight of the newest report in the cost of a request.
	costWeight = 0.1
	// leastCost and mostCost bound the cost of a shard's request beside the
	// service's mean request, so that one stall does not look like load.
	leastCost = 0.5
	mostCost  = 2
	// leastRequests is how many requests a report needs to say what is hot.
	leastRequests = 20
)

// RecordReport counts what a member measured since its last report. An empty report
// counts only after a silence, since most renewals carry none.
func (g *Collector) RecordReport(i table.Incarnation, r load.Report, now clock.Millis) {
	m, ok := g.members[i]
	if !ok || now <= m.reported || (r.Empty() && now.Sub(m.reported) < idleAfter) {
		return
	}
	seconds := m.span(now)
	m.reported, m.seen = now, true
	g.onset(m.service, r, now)
	g.cost(m.service, r)
	counts := map[load.ShardRef]load.Shard{}
	var total uint64
	for _, s := range r.Shards() {
		counts[load.NewShardRef(m.service, s.Shard())] = s
		total += s.Requests()
	}
	for p := range m.places {
		g.trends[p] = g.trend(p, counts[p], seconds)
	}
	g.heat(i, r, total, seconds)
}

// span returns the seconds that a report covers. Reports that were lost are not
// counted to the next one.
func (m *member) span(now clock.Millis) float64 {
	span := reportEvery
	if m.seen {
		span = min(max(now.Sub(m.reported), reportEvery/2), 2*reportEvery)
	}
	return float64(span) / float64(clock.Second)
}

// onset takes note of the instant when a service that was idle got load.
func (g *Collector) onset(service string, r load.Report, now clock.Millis) {
	if r.Empty() {
		return
	}
	if last, ok := g.loaded[service]; !ok || now.Sub(last) >= idleAfter {
		g.onsets[service] = now
	}
	g.loaded[service] = now
}

// cost follows the mean time of a request of the service.
func (g *Collector) cost(service string, r load.Report) {
	var requests, busy uint64
	for _, s := range r.Shards() {
		requests += s.Requests()
		busy += s.Busy()
	}
	if requests == 0 {
		return
	}
	mean := float64(busy) / float64(requests)
	if last, ok := g.costs[service]; ok {
		mean = last + costWeight*(mean-last)
	}
	g.costs[service] = mean
}

// trend moves the load of a shard towards what was counted.
func (g *Collector) trend(p load.ShardRef, s load.Shard, seconds float64) load.ShardStats {
	t := g.trends[p]
	cost := 1.0
	if t.RequestRate() > 0 {
		cost = t.WeightedRate() / t.RequestRate()
	}
	if mean := g.costs[p.Service()]; mean > 0 && s.Requests() > 0 {
		newest := float64(s.Busy()) / float64(s.Requests()) / mean
		cost += costWeight * (min(max(newest, leastCost), mostCost) - cost)
	}
	rate := float64(s.Requests()) / seconds
	if t.RequestRate() > 0 {
		rate = t.RequestRate() + rateWeight*(rate-t.RequestRate())
	}
	return t.WithLoad(rate, rate*cost)
}

// heat follows the hottest keys of a member. A key that was in none of the last
// reports is forgotten.
func (g *Collector) heat(i table.Incarnation, r load.Report, total uint64, seconds float64) {
	heats, newest := g.keys[i], map[string]uint64{}
	if total >= leastRequests {
		for _, k := range r.HotKeys() {
			newest[k.Key()] = k.Requests()
			if _, known := heats[k.Key()]; !known {
				heats[k.Key()] = load.KeyHistory{}
			}
		}
	}
	for k, h := range heats {
		h = h.With(float64(newest[k])/float64(max(total, 1)), float64(newest[k])/seconds)
		heats[k] = h
		if h.MaxShare() == 0 {
			delete(heats, k)
		}
	}
}
