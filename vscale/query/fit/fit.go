// Package fit draws straight lines through measurements.
package fit

import (
	"math"

	"verbenabank/vscale/state/figure"
)

// Lines returns one line of least squares for each quantity, in the order in
// which the quantities first appear.
func Lines(points []figure.Point) []figure.Line {
	var names []string
	groups := map[string][]figure.Point{}
	for _, p := range points {
		if _, ok := groups[p.Name()]; !ok {
			names = append(names, p.Name())
		}
		groups[p.Name()] = append(groups[p.Name()], p)
	}
	lines := make([]figure.Line, 0, len(names))
	for _, n := range names {
		lines = append(lines, line(n, groups[n]))
	}
	return lines
}

// line fits the points of one quantity. Points of a single size give their mean
// and the slope 0.
func line(name string, points []figure.Point) figure.Line {
	count := float64(len(points))
	var x, y float64
	for _, p := range points {
		x += p.Size() / count
		y += p.Value() / count
	}
	var xx, xy float64
	for _, p := range points {
		xx += (p.Size() - x) * (p.Size() - x)
		xy += (p.Size() - x) * (p.Value() - y)
	}
	slope := 0.0
	if xx > 0 {
		slope = xy / xx
	}
	intercept := y - slope*x
	var squares float64
	for _, p := range points {
		r := p.Value() - intercept - slope*p.Size()
		squares += r * r
	}
	return figure.NewLine(name, intercept, slope, math.Sqrt(squares/count), points)
}
