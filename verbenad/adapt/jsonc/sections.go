package jsonc

import (
	"fmt"
	"math"

	"verbenabank/core/clock"
	"verbenabank/core/state/grant"
	"verbenabank/core/wire/jtree"
	"verbenabank/verbenad/state/config"
)

// Bounds of durations.
const (
	maxDuration = 10 * clock.Minute
	minDuration = 100 * clock.Millisecond
)

// maxRetryRatio is the highest number of retries per request that a budget may allow.
const maxRetryRatio = 10

// authentication reads how processes authenticate each other: by a shared secret, or not at
// all if the settings declare the network between them as trusted.
func (l loader) authentication() config.Option {
	if !l.Bool("open_network", false) {
		return config.WithSecret(l.secret())
	}
	if l.Has("secret_file") {
		l.AddFault("open_network", "stands beside secret_file; remove one of them")
	}
	return config.WithOpenNetwork()
}

// duration reads a duration of at least minimum and at most maxDuration. It stands in the field
// name_ms in milliseconds or in name_s in seconds, either of which may have a fraction. It returns 0,
// which means not set, if both are missing or the value is 0.
func duration(r jtree.Reader, name string, minimum clock.Millis) clock.Millis {
	millis, seconds := name+"_ms", name+"_s"
	if r.Has(millis) && r.Has(seconds) {
		r.AddFault(seconds, "stands beside "+millis+"; set one of them")
		return 0
	}
	field, unit := millis, clock.Millisecond
	if r.Has(seconds) {
		field, unit = seconds, clock.Second
	}
	value := clock.Millis(math.Round(r.Float(field, 0, float64(maxDuration/unit), 0) * float64(unit)))
	if value != 0 && value < minimum {
		r.AddFault(field, fmt.Sprintf("must be 0 or at least %g", float64(minimum)/float64(unit)))
		return 0
	}
	return value
}

// withDurations adds both fields of each duration to names.
func withDurations(names []string, durations ...string) []string {
	for _, d := range durations {
		names = append(names, d+"_ms", d+"_s")
	}
	return names
}

// timing reads the lease parameters, the longest TTL of a grant that the target accepts, the
// longest drain, the grace period of a shutdown and the time for the drain of a zone.
func (l loader) timing() config.Option {
	r, _ := l.Object("lease")
	r.RejectUnknown(withDurations(nil, "span", "margin", "renew", "rules")...)
	t := config.NewTimings(duration(r, "span", minDuration), duration(r, "margin", 1), duration(r, "renew", 1)).
		WithRulesTTL(duration(r, "rules", minDuration))
	if t.LeaseTTL() > 0 && (t.LeaseMargin() == 0 || t.RenewInterval() == 0 || t.LeaseTTL() <= 2*t.RenewInterval()+t.LeaseMargin()) {
		l.AddFault("lease", "must have margin_ms and renew_ms, and a span_ms above two renewals and the margin")
	}
	if t.RulesTTL() > 0 && t.RulesTTL() <= 2*t.RenewInterval()+t.LeaseMargin() {
		r.AddFault("rules_ms", "must be above two renewals and the margin")
	}
	if t.LeaseTTL() == 0 && l.Has("lease") {
		l.AddFault("lease", "must have span_ms")
	}
	return config.WithTimings(t.WithLimits(duration(l.Reader, "hold", minDuration), l.drain(), duration(l.Reader, "grace", minDuration)).
		WithZoneDrain(duration(l.Reader, "zone_drain", minDuration)))
}

// drain reads the longest drain. Unlike a missing value, 0 allows no new requests at all.
func (l loader) drain() clock.Millis {
	d := duration(l.Reader, "drain", 1)
	if d == 0 && (l.Has("drain_ms") || l.Has("drain_s")) {
		return 1
	}
	return d
}

// retries reads the retry budget: retries per request, an allowance on top, and the window.
func (l loader) retries() config.Option {
	r, ok := l.Object("retries")
	if !ok {
		return config.WithRetryBudget(config.RetryBudget{})
	}
	r.RejectUnknown(withDurations([]string{"ratio", "allowance"}, "window")...)
	return config.WithRetryBudget(config.NewRetryBudget(r.Float("ratio", 0, maxRetryRatio, 0),
		r.Float("allowance", 0, math.MaxInt32, 0), duration(r, "window", minDuration)))
}

// Highest values of the bound on requests to cold targets.
const (
	maxColdOvershoot = 100
	maxColdSlack     = 10000
)

// coldStart reads how many requests a cold target may get in a second.
func (l loader) coldStart() config.Option {
	r, _ := l.Object("cold_start")
	r.RejectUnknown("overshoot", "slack")
	return config.WithColdBound(config.NewColdBound(r.Float("overshoot", 0, maxColdOvershoot, 1), r.Float("slack", 0, maxColdSlack, 0)))
}

// target reads the service and the address of the local target, so that the daemon knows them
// before the target announces itself.
func (l loader) target() config.Option {
	r, ok := l.Object("target")
	if !ok {
		return config.WithLocalTarget(config.LocalTarget{})
	}
	r.RejectUnknown("service", "address", "grants")
	t := config.NewLocalTarget(r.String("service", ""), parseAddress(r, "address").String())
	return config.WithLocalTarget(t.WithDelivery(l.delivery(r)))
}

// Names of the ways in which grants reach the target.
const (
	grantsByCall      = "request"
	grantsByHeartbeat = "heartbeat"
)

// minHeartbeatLease is the shortest lease with grants in the answers to heartbeats: a target may
// accept an answer one second after it sent the heartbeat, from which its grants count.
const minHeartbeatLease = 3 * clock.Second

// delivery reads how grants reach the target: by calls, unless set otherwise.
func (l loader) delivery(r jtree.Reader) grant.Delivery {
	switch r.String("grants", grantsByCall) {
	case "", grantsByCall:
		return grant.ByCall{}
	case grantsByHeartbeat:
		if lease, _ := l.Object("lease"); duration(lease, "span", minDuration) < minHeartbeatLease {
			l.AddFault("lease", "must have a span of at least 3 s if target.grants is heartbeat")
		}
		return grant.ByHeartbeat{}
	}
	r.AddFault("grants", fmt.Sprintf("must be %s or %s", grantsByCall, grantsByHeartbeat))
	return grant.ByCall{}
}
