package gauge

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/load"
	"verbenabank/core/state/table"
)

// Smoothing of reports.
const (
	// reportInterval is the time between two reports of a busy member.
	reportInterval = clock.Second
	// idleTimeout is the silence that counts as a report of no requests.
	idleTimeout = 2 * clock.Second
	// rateWeight is the weight of the newest report in a rate.
	rateWeight = 0.4
	// costWeight is the weight of the newest report in the cost of a request.
	costWeight = 0.1
	// minRelativeCost and mostCost bound the cost of a shard's request beside the
	// service's mean request, so that one stall does not look like load.
	minRelativeCost = 0.5
	maxRelativeCost = 2
	// minHotKeyRequests is how many requests a report needs to say what is hot.
	minHotKeyRequests = 20
)

// Report counts what a member measured since its last report. An empty report
// counts only after a silence, since most renewals carry none.
func (g *Gauge) Report(i table.Incarnation, r load.Report, now clock.Millis) {
	m, ok := g.members[i]
	if !ok || now <= m.reportedAt || (r.Empty() && now.Sub(m.reportedAt) < idleTimeout) {
		return
	}
	seconds := m.coveredSeconds(now)
	m.reportedAt, m.hasReported = now, true
	g.updateOnset(m.service, r, now)
	g.updateMeanCost(m.service, r)
	counts := map[load.Place]load.Shard{}
	var total uint64
	for _, s := range r.Shards() {
		counts[load.NewPlace(m.service, s.Shard())] = s
		total += s.Requests()
	}
	for p := range m.places {
		g.trends[p] = g.nextTrend(p, counts[p], seconds)
	}
	g.updateHotKeys(i, r, total, seconds)
}

// coveredSeconds returns the seconds that a report covers. Reports that were lost are not
// counted to the next one.
func (m *member) coveredSeconds(now clock.Millis) float64 {
	span := reportInterval
	if m.hasReported {
		span = min(max(now.Sub(m.reportedAt), reportInterval/2), 2*reportInterval)
	}
	return float64(span) / float64(clock.Second)
}

// updateOnset takes note of the instant when a service that was idle got load.
func (g *Gauge) updateOnset(service string, r load.Report, now clock.Millis) {
	if r.Empty() {
		return
	}
	if last, ok := g.lastLoadAt[service]; !ok || now.Sub(last) >= idleTimeout {
		g.loadOnsets[service] = now
	}
	g.lastLoadAt[service] = now
}

// updateMeanCost follows the mean time of a request of the service.
func (g *Gauge) updateMeanCost(service string, r load.Report) {
	var requests, busy uint64
	for _, s := range r.Shards() {
		requests += s.Requests()
		busy += s.Busy()
	}
	if requests == 0 {
		return
	}
	mean := float64(busy) / float64(requests)
	if last, ok := g.meanCosts[service]; ok {
		mean = last + costWeight*(mean-last)
	}
	g.meanCosts[service] = mean
}

// nextTrend moves the load of a shard towards what was counted.
func (g *Gauge) nextTrend(p load.Place, s load.Shard, seconds float64) load.Trend {
	t := g.trends[p]
	cost := 1.0
	if t.Requests() > 0 {
		cost = t.Work() / t.Requests()
	}
	if mean := g.meanCosts[p.Service()]; mean > 0 && s.Requests() > 0 {
		newest := float64(s.Busy()) / float64(s.Requests()) / mean
		cost += costWeight * (min(max(newest, minRelativeCost), maxRelativeCost) - cost)
	}
	rate := float64(s.Requests()) / seconds
	if t.Requests() > 0 {
		rate = t.Requests() + rateWeight*(rate-t.Requests())
	}
	return t.WithLoad(rate, rate*cost)
}

// updateHotKeys follows the hottest keys of a member. A key that was in none of the last
// reports is forgotten.
func (g *Gauge) updateHotKeys(i table.Incarnation, r load.Report, total uint64, seconds float64) {
	heats, newest := g.hotKeys[i], map[string]uint64{}
	if total >= minHotKeyRequests {
		for _, k := range r.Keys() {
			newest[k.Key()] = k.Requests()
			if _, known := heats[k.Key()]; !known {
				heats[k.Key()] = load.Heat{}
			}
		}
	}
	for k, h := range heats {
		h = h.With(float64(newest[k])/float64(max(total, 1)), float64(newest[k])/seconds)
		heats[k] = h
		if h.High() == 0 {
			delete(heats, k)
		}
	}
}
