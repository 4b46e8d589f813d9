package report

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"verbenabank/core/clock"
	"verbenabank/vload/state/plan"
)

// Table writes the report as text.
func (p Report) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	e := p.run.experiment
	_, _ = fmt.Fprintf(t, "routing %s, retry %s, seed %d, %.0f requests/s for %.0f s, sent at most %.1f ms late\n\n",
		routing(e.Routing()), retry(e.Retry()), e.Seed(), e.Rate(), seconds(e.Duration()), millis(p.run.lag))
	_, _ = fmt.Fprintln(t, "outcome\trequests\tshare %")
	for _, name := range slices.Sorted(maps.Keys(p.outcomes)) {
		n := p.outcomes[name]
		_, _ = fmt.Fprintf(t, "%s\t%d\t%.3f\n", name, n, 100*float64(n)/float64(len(p.run.calls)))
	}
	_, _ = fmt.Fprintf(t, "unknown, but ran\t%d\n", p.unsure)
	_, _ = fmt.Fprintln(t, "\nrequest\tsent\tanswered\tp50 ms\tp90 ms\tp99 ms\tmax ms")
	for _, k := range p.kinds {
		_, _ = fmt.Fprintf(t, "%s %s\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\n", k.method, k.service, k.count, k.answered,
			k.quantile(50), k.quantile(90), k.quantile(99), k.quantile(100))
	}
	_, _ = fmt.Fprintln(t, "\nservice\timbalance\tvariation\tchurn/1000\tchurn/key\tunavailable s\tshare %\tlongest s")
	for _, s := range p.services {
		churned, perKey := "-", "-"
		if s.keyed {
			churned = fmt.Sprintf("%.2f", s.churn.PerThousand())
			perKey = fmt.Sprintf("%.3f", s.churn.PerKey())
		}
		_, _ = fmt.Fprintf(t, "%s\t%.2f\t%.2f\t%s\t%s\t%d\t%.3f\t%.1f\n", s.name,
			s.imbalance.Ratio(), s.imbalance.Variation(), churned, perKey,
			s.unavailable.Seconds(), 100*s.unavailable.Share(), seconds(s.unavailable.Longest()))
	}
	m := p.promises
	_, _ = fmt.Fprintln(t, "\nduplicates\toverlaps\tolder epoch\tlost\trefused but ran\tcrossed\ttruncated\tlate work")
	_, _ = fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", m.Duplicates(), m.Overlaps(), m.Older(), m.Lost(),
		m.RefusedRan(), m.Crossed(), m.Truncated(), m.Late())
	return t.Flush()
}

// quantile returns the latency in ms at a percentile.
func (k kind) quantile(percent float64) float64 {
	return float64(k.latency.ValueAtQuantile(percent)) / 1000
}

func seconds(m clock.Millis) float64 { return m.Duration().Seconds() }

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func routing(r plan.Routing) string {
	switch r.(type) {
	case plan.Daemons:
		return "daemons"
	case plan.Modulo:
		return "modulo"
	case plan.Random:
		return "random"
	case plan.RoundRobin:
		return "round-robin"
	}
	return ""
}

func retry(r plan.Retry) string {
	switch r.(type) {
	case plan.RetryNone:
		return "none"
	case plan.RetryAll:
		return "all"
	}
	return ""
}
