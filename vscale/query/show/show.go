// Package show writes regressions and their measurements as a table and as JSON.
package show

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"verbenabank/vscale/state/figure"
)

// Table writes a row for each size of each quantity with the minimum, the median and
// the maximum, and a row for its regression.
func Table(to io.Writer, regressions []figure.Regression) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "quantity\tsize\truns\tleast\tmiddle\tmost")
	for _, r := range regressions {
		for _, s := range distinctSizes(r) {
			v := sortedValues(r, s)
			_, _ = fmt.Fprintf(w, "%s\t%.6g\t%d\t%.4g\t%.4g\t%.4g\n", r.Name(), s, len(v), v[0], v[len(v)/2], v[len(v)-1])
		}
		_, _ = fmt.Fprintf(w, "%s\tline\t%d\t%.4g + %.4g x size\tresidual %.3g\t\n",
			r.Name(), len(r.Points()), r.Intercept(), r.Slope(), r.Residual())
	}
	return w.Flush()
}

func distinctSizes(r figure.Regression) []float64 {
	var list []float64
	for _, p := range r.Points() {
		list = append(list, p.Size())
	}
	slices.Sort(list)
	return slices.Compact(list)
}

func sortedValues(r figure.Regression, size float64) []float64 {
	var list []float64
	for _, p := range r.Points() {
		if p.Size() == size {
			list = append(list, p.Value())
		}
	}
	slices.Sort(list)
	return list
}

// JSON writes the regressions with all their points.
func JSON(to io.Writer, regressions []figure.Regression) error {
	type point struct {
		Size  float64 `json:"size"`
		Value float64 `json:"value"`
	}
	type regression struct {
		Name      string  `json:"quantity"`
		Intercept float64 `json:"intercept"`
		Slope     float64 `json:"slope"`
		Residual  float64 `json:"residual"`
		Points    []point `json:"points"`
	}
	list := make([]regression, 0, len(regressions))
	for _, r := range regressions {
		wire := regression{Name: r.Name(), Intercept: r.Intercept(), Slope: r.Slope(), Residual: r.Residual()}
		for _, p := range r.Points() {
			wire.Points = append(wire.Points, point{Size: p.Size(), Value: p.Value()})
		}
		list = append(list, wire)
	}
	e := json.NewEncoder(to)
	e.SetIndent("", "  ")
	return e.Encode(list)
}
