package table

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestZoneDrainsAreNotShared guards against a drain that shows in an earlier version of the table.
func TestZoneDrainsAreNotShared(t *testing.T) {
	is := is.New(t)
	none := Empty().With(1, NewMemberSet(NewMember(1, "i", "b", "", "s", Serving{})))
	one := none.With(2, NewZoneDrainSet("b", true))
	two := one.With(3, NewZoneDrainSet("a", true), NewZoneDrainSet("a", true))
	back := two.With(4, NewZoneDrainSet("b", false), NewZoneDrainSet("c", false))
	is.Equal(none.DrainedZones(), nil)
	is.Equal(one.DrainedZones(), []string{"b"})
	is.Equal(two.DrainedZones(), []string{"a", "b"})
	is.Equal(back.DrainedZones(), []string{"a"})
	is.True(one.ZoneDrained("b") && !one.ZoneDrained("a") && !back.ZoneDrained("b"))
	is.True(one.SharesMembers(none) && !one.SharesDrainedZones(none))
	is.Equal(Empty().With(3, two.Changes()...).DrainedZones(), two.DrainedZones())
}

func TestZoneNames(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"a", "east-mids", "z9", strings.Repeat("a", 63)} {
		is.True(IsZoneName(name))
	}
	for _, name := range []string{"", "9a", "-a", "A", "a_b", "a/b", "a b", "%61", strings.Repeat("a", 64)} {
		is.True(!IsZoneName(name))
	}
}
