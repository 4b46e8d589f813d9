package table

import "slices"

// maxZoneName is the largest length of the name of an availability zone in bytes.
const maxZoneName = 63

// IsZoneName reports whether name may be the name of an availability zone: at most 63 lower-case letters, digits and
// hyphens, of which the first is a letter.
func IsZoneName(name string) bool {
	if name == "" || len(name) > maxZoneName || name[0] < 'a' || name[0] > 'z' {
		return false
	}
	for _, c := range []byte(name) {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}

// ZoneDrainSet drains an availability zone, or ends its drain.
type ZoneDrainSet struct {
	zone    string
	drained bool
}

// NewZoneDrainSet returns the change after which the zone is drained or not.
func NewZoneDrainSet(zone string, drained bool) ZoneDrainSet {
	return ZoneDrainSet{zone: zone, drained: drained}
}

// Zone returns the availability zone.
func (c ZoneDrainSet) Zone() string { return c.zone }

// Drained reports whether the zone is drained from now on.
func (c ZoneDrainSet) Drained() bool { return c.drained }

func (ZoneDrainSet) change() {}

// ZoneDrained reports whether the availability zone is drained: its members stay, but get no requests and no keys.
func (t *Table) ZoneDrained(zone string) bool {
	_, found := slices.BinarySearch(t.drainedZones, zone)
	return found
}

// DrainedZones returns the drained availability zones, sorted. The caller must not modify the list.
func (t *Table) DrainedZones() []string { return t.drainedZones }

// SharesDrainedZones reports whether the same zones are drained in both tables.
func (t *Table) SharesDrainedZones(other *Table) bool {
	return slices.Equal(t.drainedZones, other.drainedZones)
}

// MembersIn returns the members in an availability zone, sorted by incarnation.
func (t *Table) MembersIn(zone string) []Member {
	var list []Member
	for _, m := range t.Members() {
		if m.zone == zone {
			list = append(list, m)
		}
	}
	return list
}

// drainedZonesChanges returns the changes that drain the zones of the table.
func (t *Table) drainedZonesChanges() []Change {
	list := make([]Change, 0, len(t.drainedZones))
	for _, z := range t.drainedZones {
		list = append(list, NewZoneDrainSet(z, true))
	}
	return list
}

// setZoneDrain builds a new list of zones, since the old one is shared with earlier tables.
func (e *editor) setZoneDrain(c ZoneDrainSet) {
	i, found := slices.BinarySearch(e.table.drainedZones, c.zone)
	switch {
	case c.drained && !found:
		e.table.drainedZones = slices.Insert(slices.Clone(e.table.drainedZones), i, c.zone)
	case !c.drained && found:
		e.table.drainedZones = slices.Delete(slices.Clone(e.table.drainedZones), i, i+1)
	}
}
