package jsonc

import (
	"math"

	"verbenabank/core/clock"
	"verbenabank/core/wire/jtree"
	"verbenabank/verbenad/state/sets"
)

// Bounds of durations.
const (
	maxDuration = 10 * clock.Minute
	minDuration = 100 * clock.Millisecond
)

// authentication reads how processes authenticate each other: by a shared secret, or not at
// all if the settings declare the network between them as trusted.
func (l loader) authentication() sets.Option {
	if !l.Truth("open_network", false) {
		return sets.WithSecret(l.secret())
	}
	if l.Has("secret_file") {
		l.Fault("open_network", "stands beside secret_file; remove one of them")
	}
	return sets.WithOpen()
}

// duration reads a duration from minimum to maxDuration, in milliseconds. It returns 0, which
// means not set, if the field is missing.
func duration(r jtree.Reader, field string, minimum clock.Millis) clock.Millis {
	if !r.Has(field) {
		return 0
	}
	return clock.Millis(r.Whole(field, int64(minimum), int64(maxDuration), 0))
}

// timing reads the lease parameters, the longest hold of a target, the longest drain and the
// grace period of a shutdown.
func (l loader) timing() sets.Option {
	r, _ := l.Object("lease")
	r.Only("span_ms", "margin_ms", "renew_ms")
	t := sets.NewTerms(duration(r, "span_ms", minDuration), duration(r, "margin_ms", 1), duration(r, "renew_ms", 1))
	if t.Lease() > 0 && (t.Margin() == 0 || t.Renew() == 0 || t.Lease() <= 2*t.Renew()+t.Margin()) {
		l.Fault("lease", "must have margin_ms and renew_ms, and a span_ms above two renewals and the margin")
	}
	if t.Lease() == 0 && l.Has("lease") {
		l.Fault("lease", "must have span_ms")
	}
	return sets.WithTerms(t.WithStops(duration(l.Reader, "hold_ms", minDuration), duration(l.Reader, "drain_ms", 1), duration(l.Reader, "grace_ms", minDuration)))
}

// retries reads the retry budget: retries per request, an allowance on top, and the window.
func (l loader) retries() sets.Option {
	r, ok := l.Object("retries")
	if !ok {
		return sets.WithRetries(sets.Retries{})
	}
	r.Only("ratio", "allowance", "window_ms")
	return sets.WithRetries(sets.NewRetries(r.Real("ratio", 0, 10, 0),
		int(r.Whole("allowance", 0, math.MaxInt32, 0)), clock.Millis(r.Whole("window_ms", int64(minDuration), int64(maxDuration), 0))))
}

// target reads the service and the address of the local target, so that the daemon knows them
// before the target announces itself.
func (l loader) target() sets.Option {
	r, ok := l.Object("target")
	if !ok {
		return sets.WithBeside(sets.Beside{})
	}
	r.Only("service", "address")
	return sets.WithBeside(sets.NewBeside(r.Text("service", ""), parseAddress(r, "address").String()))
}
