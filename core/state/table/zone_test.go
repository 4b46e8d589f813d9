package table

import (
	"testing"

	"github.com/matryer/is"
)

// TestZoneDrainsAreNotShared guards against a drain that shows in an earlier version of the table.
func TestZoneDrainsAreNotShared(t *testing.T) {
	is := is.New(t)
	one := Empty().With(2, NewZoneDrainSet("b", true))
	two := one.With(3, NewZoneDrainSet("a", true), NewZoneDrainSet("a", true))
	back := two.With(4, NewZoneDrainSet("b", false), NewZoneDrainSet("c", false))
	is.Equal(one.DrainedZones(), []string{"b"})
	is.Equal(two.DrainedZones(), []string{"a", "b"})
	is.Equal(back.DrainedZones(), []string{"a"})
}
