package jsonc

import (
	"math"

	"verbenabank/core/clock"
	"verbenabank/core/wire/jtree"
	"verbenabank/verbenad/state/sets"
)

// Bounds of spans in milliseconds.
const (
	mostSpan  = 10 * clock.Minute
	leastSpan = 100 * clock.Millisecond
)

// trust reads how processes trust each other: by a secret, or because the settings say that
// the network between them is trusted.
func (l loader) trust() sets.Option {
	if !l.Truth("open_network", false) {
		return sets.WithSecret(l.secret())
	}
	if l.Has("secret_file") {
		l.Fault("open_network", "stands beside secret_file; remove one of them")
	}
	return sets.WithOpen()
}

func span(r jtree.Reader, field string, least clock.Millis) clock.Millis {
	if !r.Has(field) {
		return 0
	}
	return clock.Millis(r.Whole(field, int64(least), int64(mostSpan), 0))
}

// spans reads the terms of leases, holds and stops.
func (l loader) spans() sets.Option {
	r, _ := l.Object("lease")
	r.Only("span_ms", "margin_ms", "renew_ms")
	t := sets.NewTerms(span(r, "span_ms", leastSpan), span(r, "margin_ms", 1), span(r, "renew_ms", 1))
	if t.Lease() > 0 && (t.Margin() == 0 || t.Renew() == 0 || t.Lease() <= 2*t.Renew()+t.Margin()) {
		l.Fault("lease", "must have margin_ms and renew_ms, and a span_ms above two renewals and the margin")
	}
	if t.Lease() == 0 && l.Has("lease") {
		l.Fault("lease", "must have span_ms")
	}
	return sets.WithTerms(t.WithStops(span(l.Reader, "hold_ms", leastSpan), span(l.Reader, "drain_ms", 1), span(l.Reader, "grace_ms", leastSpan)))
}

// retries reads the retry budget of the fleet.
func (l loader) retries() sets.Option {
	r, ok := l.Object("retries")
	if !ok {
		return sets.WithRetries(sets.Retries{})
	}
	r.Only("ratio", "allowance", "window_ms")
	return sets.WithRetries(sets.NewRetries(r.Real("ratio", 0, 10, 0),
		int(r.Whole("allowance", 0, math.MaxInt32, 0)), clock.Millis(r.Whole("window_ms", int64(leastSpan), int64(mostSpan), 0))))
}

// beside reads what is known of the target before it speaks.
func (l loader) beside() sets.Option {
	r, ok := l.Object("target")
	if !ok {
		return sets.WithBeside(sets.Beside{})
	}
	r.Only("service", "address")
	return sets.WithBeside(sets.NewBeside(r.Text("service", ""), listen(r, "address").String()))
}
