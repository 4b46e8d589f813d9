package jsonc

import (
	"math"

	"verbenabank/core/clock"
	"verbenabank/core/wire/jtree"
	"verbenabank/verbenad/state/config"
)

// Bounds of spans in milliseconds.
const (
	mostSpan  = 10 * clock.Minute
	leastSpan = 100 * clock.Millisecond
)

// trust reads how processes trust each other: by a secret, or because the settings say that
// the network between them is trusted.
func (l loader) trust() config.Option {
	if !l.Bool("open_network", false) {
		return config.WithSecret(l.secret())
	}
	if l.Has("secret_file") {
		l.AddFault("open_network", "stands beside secret_file; remove one of them")
	}
	return config.WithOpenNetwork()
}

func span(r jtree.Reader, field string, least clock.Millis) clock.Millis {
	if !r.Has(field) {
		return 0
	}
	return clock.Millis(r.Int(field, int64(least), int64(mostSpan), 0))
}

// spans reads the terms of leases, holds and stops.
func (l loader) spans() config.Option {
	r, _ := l.Object("lease")
	r.RejectUnknown("span_ms", "margin_ms", "renew_ms")
	t := config.NewTimings(span(r, "span_ms", leastSpan), span(r, "margin_ms", 1), span(r, "renew_ms", 1))
	if t.LeaseTTL() > 0 && (t.LeaseMargin() == 0 || t.RenewInterval() == 0 || t.LeaseTTL() <= 2*t.RenewInterval()+t.LeaseMargin()) {
		l.AddFault("lease", "must have margin_ms and renew_ms, and a span_ms above two renewals and the margin")
	}
	if t.LeaseTTL() == 0 && l.Has("lease") {
		l.AddFault("lease", "must have span_ms")
	}
	return config.WithTimings(t.WithLimits(span(l.Reader, "hold_ms", leastSpan), span(l.Reader, "drain_ms", 1), span(l.Reader, "grace_ms", leastSpan)))
}

// retries reads the retry budget of the fleet.
func (l loader) retries() config.Option {
	r, ok := l.Object("retries")
	if !ok {
		return config.WithRetryBudget(config.RetryBudget{})
	}
	r.RejectUnknown("ratio", "allowance", "window_ms")
	return config.WithRetryBudget(config.NewRetryBudget(r.Float("ratio", 0, 10, 0),
		int(r.Int("allowance", 0, math.MaxInt32, 0)), clock.Millis(r.Int("window_ms", int64(leastSpan), int64(mostSpan), 0))))
}

// beside reads what is known of the target before it speaks.
func (l loader) beside() config.Option {
	r, ok := l.Object("target")
	if !ok {
		return config.WithLocalTarget(config.LocalTarget{})
	}
	r.RejectUnknown("service", "address")
	return config.WithLocalTarget(config.NewLocalTarget(r.String("service", ""), listen(r, "address").String()))
}
