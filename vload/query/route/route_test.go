package route

import (
	"testing"

	"github.com/matryer/is"

	"verbenabank/vload/state/plan"
)

func TestPick(t *testing.T) {
	is := is.New(t)
	is.Equal(Pick(plan.RoundRobin{}, "a", 5, 7, 0, 0), 2)
	is.Equal(Pick(plan.RoundRobin{}, "a", 5, 7, 1, 0), 3)
	is.Equal(Pick(plan.Random{}, "a", 5, 7, 0, 0.99), 4)
	first := Pick(plan.Modulo{}, "a", 5, 0, 0, 0)
	is.Equal(first, Pick(plan.Modulo{}, "a", 5, 9, 0, 0.5)) // the same key goes to the same server
	is.Equal(Pick(plan.Modulo{}, "a", 5, 0, 1, 0), (first+1)%5)
}
