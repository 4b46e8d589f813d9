package fleet

import (
	"cmp"
	"slices"
)

// ZoneLimit is how many availability zones are remembered.
const ZoneLimit = 1000

// Zone is an availability zone that a member was ever in. It is remembered when all its members are gone, so that a
// zone that has lost its power can still be drained.
type Zone struct {
	name         string
	drainChanged uint64
}

// NewZone returns the zone whose drain began or ended last at the log index drainChanged, 0 if it was never drained.
func NewZone(name string, drainChanged uint64) Zone {
	return Zone{name: name, drainChanged: drainChanged}
}

// Name returns the name of the zone.
func (z Zone) Name() string { return z.name }

// DrainChanged returns the log index at which the drain of the zone began or ended last, 0 if it was never drained.
func (z Zone) DrainChanged() uint64 { return z.drainChanged }

// WithZones adds zones or replaces them. Beyond ZoneLimit only zones whose drain has changed are added.
func WithZones(zones ...Zone) Option {
	return func(f *State) {
		for _, z := range zones {
			i, found := f.findZone(z.name)
			switch {
			case found:
				f.zones = slices.Clone(f.zones)
				f.zones[i] = z
			case len(f.zones) < ZoneLimit || z.drainChanged > 0:
				f.zones = slices.Insert(slices.Clone(f.zones), i, z)
			}
		}
	}
}

// Zones returns the zones that a member was ever in, sorted by name. The caller must not modify the list.
func (f *State) Zones() []Zone { return f.zones }

// Zone returns the zone with the name, and whether a member was ever in it.
func (f *State) Zone(name string) (Zone, bool) {
	i, found := f.findZone(name)
	if !found {
		return Zone{name: name}, false
	}
	return f.zones[i], true
}

func (f *State) findZone(name string) (int, bool) {
	return slices.BinarySearchFunc(f.zones, name, func(z Zone, name string) int { return cmp.Compare(z.name, name) })
}
