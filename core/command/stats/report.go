package stats

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/load"
	"verbenabank/core/state/table"
)

const (
	// reportInterval is the time between two reports of a member with load.
	reportInterval = clock.Second
	// idleTimeout is the time without a report after which a member counts as idle.
	idleTimeout = 2 * clock.Second
	// rateWeight is the weight of the newest report in the moving average of a request rate.
	rateWeight = 0.4
	// costWeight is the weight of the newest report in the moving average of the cost of a request.
	costWeight = 0.1
	// minRelativeCost and maxRelativeCost limit the cost of a shard's request relative to the
	// mean of the service, so that a single stall does not look like load.
	minRelativeCost = 0.5
	maxRelativeCost = 2
	// minHotKeyRequests is how many requests a report needs for its hot keys to count.
	minHotKeyRequests = 20
)

// RecordReport records the load that a member measured since its last report. An empty report is ignored
// unless the member has been silent for idleTimeout, since most renewals carry no report.
func (co *Collector) RecordReport(i table.Incarnation, r load.Report, now clock.Millis) {
	m, ok := co.members[i]
	if !ok || now <= m.reportedAt || (r.Empty() && now.Sub(m.reportedAt) < idleTimeout) {
		return
	}
	seconds := m.coveredSeconds(now)
	m.reportedAt, m.hasReported = now, true
	co.updateOnset(m.service, r, now)
	co.updateMeanCost(m.service, r)
	counts := map[load.ShardRef]load.Shard{}
	var total uint64
	for _, s := range r.Shards() {
		counts[load.NewShardRef(m.service, s.Shard())] = s
		total += s.Requests()
	}
	for p := range m.shards {
		co.shardStats[p] = co.nextShardStats(p, counts[p], seconds)
	}
	co.updateHotKeys(i, r, total, seconds)
}

// coveredSeconds returns the time in seconds that a report covers. It is limited to two intervals, so
// that the time of lost reports is not attributed to the next one.
func (m *member) coveredSeconds(now clock.Millis) float64 {
	covered := reportInterval
	if m.hasReported {
		covered = min(max(now.Sub(m.reportedAt), reportInterval/2), 2*reportInterval)
	}
	return float64(covered) / float64(clock.Second)
}

// updateOnset records when a service that was idle received load again.
func (co *Collector) updateOnset(service string, r load.Report, now clock.Millis) {
	if r.Empty() {
		return
	}
	if last, ok := co.lastLoadAt[service]; !ok || now.Sub(last) >= idleTimeout {
		co.loadOnsets[service] = now
	}
	co.lastLoadAt[service] = now
}

// updateMeanCost updates the moving average of the service time of the service.
func (co *Collector) updateMeanCost(service string, r load.Report) {
	var requests, busy uint64
	for _, s := range r.Shards() {
		requests += s.Requests()
		busy += s.Busy()
	}
	if requests == 0 {
		return
	}
	mean := float64(busy) / float64(requests)
	if last, ok := co.meanCosts[service]; ok {
		mean = last + costWeight*(mean-last)
	}
	co.meanCosts[service] = mean
}

// nextShardStats returns the load of a shard with the counts of a report averaged in.
func (co *Collector) nextShardStats(p load.ShardRef, s load.Shard, seconds float64) load.ShardStats {
	t := co.shardStats[p]
	cost := 1.0
	if t.RequestRate() > 0 {
		cost = t.WeightedRate() / t.RequestRate()
	}
	if mean := co.meanCosts[p.Service()]; mean > 0 && s.Requests() > 0 {
		newest := float64(s.Busy()) / float64(s.Requests()) / mean
		cost += costWeight * (min(max(newest, minRelativeCost), maxRelativeCost) - cost)
	}
	rate := float64(s.Requests()) / seconds
	if t.RequestRate() > 0 {
		rate = t.RequestRate() + rateWeight*(rate-t.RequestRate())
	}
	return t.WithLoad(rate, rate*cost)
}

// updateHotKeys updates the hot keys of a member. A key that appeared in none of the recent
// reports is removed.
func (co *Collector) updateHotKeys(i table.Incarnation, r load.Report, total uint64, seconds float64) {
	histories, newest := co.hotKeys[i], map[string]uint64{}
	if total >= minHotKeyRequests {
		for _, k := range r.HotKeys() {
			newest[k.Key()] = k.Requests()
			if _, known := histories[k.Key()]; !known {
				histories[k.Key()] = load.KeyHistory{}
			}
		}
	}
	for k, h := range histories {
		h = h.With(float64(newest[k])/float64(max(total, 1)), float64(newest[k])/seconds)
		histories[k] = h
		if h.MaxShare() == 0 {
			delete(histories, k)
		}
	}
}
