package fit_test

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"verbenabank/vscale/query/fit"
	"verbenabank/vscale/state/figure"
)

func TestLeastSquaresFit(t *testing.T) {
	is := is.New(t)
	var points []figure.Point
	for _, x := range []float64{1, 2, 4} {
		points = append(points, figure.NewPoint("a", x, 3+2*x), figure.NewPoint("b", 5, x))
	}
	fits := fit.LeastSquares(points)
	is.Equal(len(fits), 2)
	is.Equal(fits[0].Name(), "a")
	is.True(math.Abs(fits[0].Slope()-2) < 1e-9)
	is.True(math.Abs(fits[0].Intercept()-3) < 1e-9)
	is.True(fits[0].Residual() < 1e-9)
	is.Equal(fits[1].Slope(), 0.0)
	is.True(math.Abs(fits[1].Intercept()-7.0/3) < 1e-9)
	is.True(fits[1].Residual() > 1)
}
