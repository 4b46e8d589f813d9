// Package figure holds what the measurements of the tool found, as immutable
// data.
package figure

// Point is one measurement: the value of a quantity at a size.
type Point struct {
	name  string
	size  float64
	value float64
}

// NewPoint returns the value that the quantity called name had at size.
func NewPoint(name string, size, value float64) Point {
	return Point{name: name, size: size, value: value}
}

// Name returns the quantity with its unit.
func (p Point) Name() string { return p.name }

// Size returns the size that was varied, such as a count of daemons.
func (p Point) Size() float64 { return p.size }

// Value returns the measured value.
func (p Point) Value() float64 { return p.value }

// Line is a straight line through the points of one quantity.
type Line struct {
	name      string
	intercept float64
	slope     float64
	residual  float64
	points    []Point
}

// NewLine returns the line of a quantity through points. residual is the root of
// the mean squared distance of the points from it.
func NewLine(name string, intercept, slope, residual float64, points []Point) Line {
	return Line{name: name, intercept: intercept, slope: slope, residual: residual, points: points}
}

// Name returns the quantity with its unit.
func (l Line) Name() string { return l.name }

// Intercept returns the value at size 0.
func (l Line) Intercept() float64 { return l.intercept }

// Slope returns by how much the value grows for each unit of size.
func (l Line) Slope() float64 { return l.slope }

// Residual returns the root mean square of the residuals.
func (l Line) Residual() float64 { return l.residual }

// Points returns the measurements. They must not be changed.
func (l Line) Points() []Point { return l.points }
