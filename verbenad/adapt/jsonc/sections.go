package jsonc

import (
	"math"

	"verbenabank/core/clock"
	"verbenabank/core/wire/jtree"
	"verbenabank/verbenad/state/config"
)

// Bounds of durations.
const (
	maxDuration = 10 * clock.Minute
	minDuration = 100 * clock.Millisecond
)

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

// duration reads a duration from minimum to maxDuration, in milliseconds. It returns 0, which
// means not set, if the field is missing.
func duration(r jtree.Reader, field string, minimum clock.Millis) clock.Millis {
	if !r.Has(field) {
		return 0
	}
	return clock.Millis(r.Int(field, int64(minimum), int64(maxDuration), 0))
}

// timing reads the lease parameters, the longest TTL of a grant that the target accepts, the
// longest drain and the grace period of a shutdown.
func (l loader) timing() config.Option {
	r, _ := l.Object("lease")
	r.RejectUnknown("span_ms", "margin_ms", "renew_ms")
	t := config.NewTimings(duration(r, "span_ms", minDuration), duration(r, "margin_ms", 1), duration(r, "renew_ms", 1))
	if t.LeaseTTL() > 0 && (t.LeaseMargin() == 0 || t.RenewInterval() == 0 || t.LeaseTTL() <= 2*t.RenewInterval()+t.LeaseMargin()) {
		l.AddFault("lease", "must have margin_ms and renew_ms, and a span_ms above two renewals and the margin")
	}
	if t.LeaseTTL() == 0 && l.Has("lease") {
		l.AddFault("lease", "must have span_ms")
	}
	return config.WithTimings(t.WithLimits(duration(l.Reader, "hold_ms", minDuration), duration(l.Reader, "drain_ms", 1), duration(l.Reader, "grace_ms", minDuration)))
}

// retries reads the retry budget: retries per request, an allowance on top, and the window.
func (l loader) retries() config.Option {
	r, ok := l.Object("retries")
	if !ok {
		return config.WithRetryBudget(config.RetryBudget{})
	}
	r.RejectUnknown("ratio", "allowance", "window_ms")
	return config.WithRetryBudget(config.NewRetryBudget(r.Float("ratio", 0, 10, 0),
		int(r.Int("allowance", 0, math.MaxInt32, 0)), clock.Millis(r.Int("window_ms", int64(minDuration), int64(maxDuration), 0))))
}

// target reads the service and the address of the local target, so that the daemon knows them
// before the target announces itself.
func (l loader) target() config.Option {
	r, ok := l.Object("target")
	if !ok {
		return config.WithLocalTarget(config.LocalTarget{})
	}
	r.RejectUnknown("service", "address")
	return config.WithLocalTarget(config.NewLocalTarget(r.String("service", ""), parseAddress(r, "address").String()))
}
