// Package figure holds the results of measurements as immutable data.
package figure

// Point is a measurement: the value of a quantity at a size.
type Point struct {
	name  string
	size  float64
	value float64
}

// NewPoint returns a measurement of the quantity called name.
func NewPoint(name string, size, value float64) Point {
	return Point{name: name, size: size, value: value}
}

// Name returns the name of the quantity, which includes its unit.
func (p Point) Name() string { return p.name }

// Size returns the independent variable, such as the number of daemons.
func (p Point) Size() float64 { return p.size }

// Value returns the measured value in the unit of the quantity.
func (p Point) Value() float64 { return p.value }

// Regression is a linear fit of the points of one quantity.
type Regression struct {
	name      string
	intercept float64
	slope     float64
	residual  float64
	points    []Point
}

// NewRegression returns the fit of points, value = intercept + slope * size. residual is
// the root mean square of the residuals.
func NewRegression(name string, intercept, slope, residual float64, points []Point) Regression {
	return Regression{name: name, intercept: intercept, slope: slope, residual: residual, points: points}
}

// Name returns the name of the quantity, which includes its unit.
func (r Regression) Name() string { return r.name }

// Intercept returns the value of the fit at size 0.
func (r Regression) Intercept() float64 { return r.intercept }

// Slope returns the increase of the value per unit of size.
func (r Regression) Slope() float64 { return r.slope }

// Residual returns the root mean square of the residuals.
func (r Regression) Residual() float64 { return r.residual }

// Points returns the measurements. The caller must not modify them.
func (r Regression) Points() []Point { return r.points }
