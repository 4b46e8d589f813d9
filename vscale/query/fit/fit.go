// Package fit computes linear regressions of measurements.
package fit

import (
	"math"

	"verbenabank/vscale/state/figure"
)

// LeastSquares returns a linear least-squares fit for each quantity, in the order in
// which the quantities first appear.
func LeastSquares(points []figure.Point) []figure.Regression {
	var names []string
	groups := map[string][]figure.Point{}
	for _, p := range points {
		if _, ok := groups[p.Name()]; !ok {
			names = append(names, p.Name())
		}
		groups[p.Name()] = append(groups[p.Name()], p)
	}
	fits := make([]figure.Regression, 0, len(names))
	for _, n := range names {
		fits = append(fits, fitLine(n, groups[n]))
	}
	return fits
}

// fitLine fits the points of one quantity. If all have the same size, the slope is 0 and
// the intercept is their mean.
func fitLine(name string, points []figure.Point) figure.Regression {
	count := float64(len(points))
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.Size() / count
		meanY += p.Value() / count
	}
	var varX, covXY float64
	for _, p := range points {
		varX += (p.Size() - meanX) * (p.Size() - meanX)
		covXY += (p.Size() - meanX) * (p.Value() - meanY)
	}
	slope := 0.0
	if varX > 0 {
		slope = covXY / varX
	}
	intercept := meanY - slope*meanX
	var squares float64
	for _, p := range points {
		r := p.Value() - intercept - slope*p.Size()
		squares += r * r
	}
	return figure.NewRegression(name, intercept, slope, math.Sqrt(squares/count), points)
}
