package codec

import (
	"verbenabank/core/state/fleet"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/table"
	"verbenabank/core/wire/wirepb"
)

// EncodeZoneDrain returns the message that drains a zone or ends its drain.
func EncodeZoneDrain(c logcmd.SetZoneDrain) *wirepb.ZoneDrain {
	return &wirepb.ZoneDrain{Zone: c.Zone(), Drained: c.Drained(), Instance: c.Instance(), Base: c.Base()}
}

// DecodeZoneDrain returns the command of a proposal. It fails if the zone has no valid name.
func DecodeZoneDrain(m *wirepb.ZoneDrain) (logcmd.SetZoneDrain, error) {
	if !table.IsZoneName(m.GetZone()) {
		return logcmd.SetZoneDrain{}, newError("zone drain", OutOfRange, nil)
	}
	return logcmd.NewSetZoneDrain(m.GetZone(), m.GetDrained(), m.GetInstance(), m.GetBase()), nil
}

func encodeZones(zones []fleet.Zone) []*wirepb.ZoneRecord {
	list := make([]*wirepb.ZoneRecord, 0, len(zones))
	for _, z := range zones {
		list = append(list, &wirepb.ZoneRecord{Name: z.Name(), DrainChanged: z.DrainChanged()})
	}
	return list
}

// decodeZones returns the zones of a snapshot, and those of its members: an earlier release recorded none.
func decodeZones(records []*wirepb.ZoneRecord, t *table.Table) []fleet.Zone {
	var list []fleet.Zone
	for _, m := range t.Members() {
		list = append(list, fleet.NewZone(m.Zone(), 0))
	}
	for _, r := range records {
		list = append(list, fleet.NewZone(r.GetName(), r.GetDrainChanged()))
	}
	return list
}
