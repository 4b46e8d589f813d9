package admin

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/gofiber/fiber/v3"

	"verbenabank/core/state/table"
)

// status responds with the state of the daemon, its members and services as JSON.
func (a *Admin) status(c fiber.Ctx) error {
	now, s := a.clock.Now(), a.snapshots.Load()
	t := s.Table()
	status := struct {
		Instance string    `json:"instance"`
		Zone     string    `json:"zone"`
		Self     string    `json:"incarnation"`
		Lease    int64     `json:"lease_left_ms"`
		Rules    int64     `json:"rules_left_ms"`
		Version  uint64    `json:"rules_version"`
		Digest   string    `json:"rules_digest"`
		Table    uint64    `json:"table_version"`
		Control  *control  `json:"control,omitempty"`
		Drained  []string  `json:"drained_zones"`
		Members  []member  `json:"members"`
		Services []service `json:"services"`
	}{
		Instance: a.instance, Zone: a.zone, Self: formatIncarnation(s.Self()),
		Lease: int64(max(0, s.LeaseEnd().Sub(now))), Rules: int64(max(0, s.RulesEnd().Sub(now))),
		Version: t.Rules().Version(), Digest: t.Rules().Digest(), Table: t.Version(),
		Control: a.control(), Drained: append([]string{}, t.DrainedZones()...), Members: members(t), Services: services(t),
	}
	return c.JSON(status)
}

// control is the part of the status that only control replicas have.
type control struct {
	ID       string   `json:"id"`
	Group    string   `json:"group"`
	Term     uint64   `json:"term"`
	Leader   string   `json:"leader"`
	Commit   uint64   `json:"commit"`
	Applied  uint64   `json:"applied"`
	Sessions int      `json:"sessions"`
	Healthy  bool     `json:"whole"`
	Replicas []string `json:"replicas"`
}

// control returns the state of this control replica, nil if the process is not one.
func (a *Admin) control() *control {
	v := a.view()
	s, ok := v.Status()
	if !ok {
		return nil
	}
	c := &control{
		ID: fmt.Sprintf("%016x", uint64(s.ID())), Group: fmt.Sprintf("%016x", uint64(s.Group())),
		Term: uint64(s.Term()), Leader: s.LeaderAddress(), Commit: uint64(s.Commit()),
		Applied: uint64(s.Applied()), Sessions: v.Sessions(), Healthy: s.Healthy(),
	}
	for _, r := range s.Members().List() {
		c.Replicas = append(c.Replicas, r.Address())
	}
	return c
}

// member is the state of one member of the fleet.
type member struct {
	Instance    string `json:"instance"`
	Zone        string `json:"zone"`
	Service     string `json:"service"`
	Phase       string `json:"phase"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	Shards      int    `json:"shards"`
}

// members returns the members in the routing table, sorted by instance, with the number of shards that
// each owns.
func members(t *table.Table) []member {
	counts := map[table.Incarnation]int{}
	for _, n := range t.Services() {
		for _, s := range t.Shards(n) {
			if o, ok := t.Ownership(n, s).(table.Owned); ok {
				counts[o.Owner()]++
			}
		}
	}
	list := []member{}
	for _, m := range t.Members() {
		list = append(list, member{
			Instance: m.Instance(), Zone: m.Zone(), Service: m.Service(), Phase: table.PhaseName(m.Phase()),
			Address: m.Address(), Incarnation: formatIncarnation(m.Incarnation()), Shards: counts[m.Incarnation()],
		})
	}
	slices.SortFunc(list, func(a, b member) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list
}

// service counts the shards of one service by state, and its keys with a dedicated shard.
type service struct {
	Name      string `json:"name"`
	Owned     int    `json:"owned"`
	Moving    int    `json:"moving"`
	Vacant    int    `json:"vacant"`
	Overrides int    `json:"keys_placed_alone"`
}

// services returns the services in the rules.
func services(t *table.Table) []service {
	list := []service{}
	for _, n := range t.Rules().ServiceNames() {
		row := service{Name: n, Overrides: len(t.Overrides(n))}
		for _, s := range t.Shards(n) {
			switch t.Ownership(n, s).(type) {
			case table.Vacant:
				row.Vacant++
			case table.Owned:
				row.Owned++
			case table.Moving:
				row.Moving++
			}
		}
		list = append(list, row)
	}
	return list
}

// formatIncarnation formats an incarnation as in the audit trail, "" for 0, the incarnation of a daemon that
// has not joined.
func formatIncarnation(i table.Incarnation) string {
	if i == 0 {
		return ""
	}
	return fmt.Sprintf("%016x", uint64(i))
}
