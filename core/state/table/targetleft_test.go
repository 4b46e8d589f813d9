package table_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/state/table"
)

func TestTargetThatLeftIsTheOneWithItsStartTime(t *testing.T) {
	is := is.New(t)
	x := table.Empty().With(1, table.NewTargetLeft("i", 50))
	is.True(x.HasLeft("i", 50))
	is.True(!x.HasLeft("i", 60))
	is.True(!x.HasLeft("i", 40)) // a later process, after the clock was set back
	is.True(!x.HasLeft("i", 0))
	is.True(!x.HasLeft("j", 50))
	rebuilt := table.Empty().With(1, x.Changes()...)
	is.True(rebuilt.HasLeft("i", 50))
}

// TestTargetsThatLeftAreBounded guards against a table that grows with each instance that ever was.
func TestTargetsThatLeftAreBounded(t *testing.T) {
	is := is.New(t)
	x := table.Empty()
	for n := range uint64(5000) {
		x = x.With(n+1, table.NewTargetLeft(fmt.Sprint(n), n+1))
	}
	is.Equal(len(x.Changes()), 4096)
	is.True(x.HasLeft("4999", 5000))
	is.True(!x.HasLeft("0", 1))
}
