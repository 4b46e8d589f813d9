// Package show writes measured lines as a table and as JSON.
package show

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"verbenabank/vscale/state/figure"
)

// Table writes one row for each size of each quantity, with the least, the
// middle and the greatest value measured, and one row with its line.
func Table(to io.Writer, lines []figure.Line) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "quantity\tsize\truns\tleast\tmiddle\tmost")
	for _, l := range lines {
		for _, s := range sizes(l) {
			v := values(l, s)
			_, _ = fmt.Fprintf(w, "%s\t%.6g\t%d\t%.4g\t%.4g\t%.4g\n", l.Name(), s, len(v), v[0], v[len(v)/2], v[len(v)-1])
		}
		_, _ = fmt.Fprintf(w, "%s\tline\t%d\t%.4g + %.4g x size\tresidual %.3g\t\n",
			l.Name(), len(l.Points()), l.Intercept(), l.Slope(), l.Residual())
	}
	return w.Flush()
}

func sizes(l figure.Line) []float64 {
	var list []float64
	for _, p := range l.Points() {
		list = append(list, p.Size())
	}
	slices.Sort(list)
	return slices.Compact(list)
}

func values(l figure.Line, size float64) []float64 {
	var list []float64
	for _, p := range l.Points() {
		if p.Size() == size {
			list = append(list, p.Value())
		}
	}
	slices.Sort(list)
	return list
}

// JSON writes the lines with all their points.
func JSON(to io.Writer, lines []figure.Line) error {
	type point struct {
		Size  float64 `json:"size"`
		Value float64 `json:"value"`
	}
	type line struct {
		Name      string  `json:"quantity"`
		Intercept float64 `json:"intercept"`
		Slope     float64 `json:"slope"`
		Residual  float64 `json:"residual"`
		Points    []point `json:"points"`
	}
	list := make([]line, 0, len(lines))
	for _, l := range lines {
		wire := line{Name: l.Name(), Intercept: l.Intercept(), Slope: l.Slope(), Residual: l.Residual()}
		for _, p := range l.Points() {
			wire.Points = append(wire.Points, point{Size: p.Size(), Value: p.Value()})
		}
		list = append(list, wire)
	}
	e := json.NewEncoder(to)
	e.SetIndent("", "  ")
	return e.Encode(list)
}
