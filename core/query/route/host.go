package route

import (
	"cmp"
	"slices"
	"strings"

	"verbenabank/core/state/result"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

// hostsOf returns the routes of a table by host. It reuses those of the index if the rules
// are the same.
func (x *Index) hostsOf(t *table.Table) map[string][]rules.Route {
	if x.hosts != nil && x.table.Rules().Version() == t.Rules().Version() {
		return x.hosts
	}
	hosts := map[string][]rules.Route{}
	for _, r := range t.Rules().Routes() {
		hosts[r.Host()] = append(hosts[r.Host()], r)
	}
	for _, list := range hosts {
		slices.SortFunc(list, func(a, b rules.Route) int { return cmp.Compare(len(b.Prefix()), len(a.Prefix())) })
	}
	return hosts
}

// MatchRoute returns the route of the host with the longest prefix that begins the path.
func (x *Index) MatchRoute(host, path string) (rules.Route, bool) {
	for _, r := range x.hosts[host] {
		if strings.HasPrefix(path, r.Prefix()) {
			return r, true
		}
	}
	return rules.Route{}, false
}

// PickPart returns the part of a route that takes a request, drawn by weight. draw returns a
// number from 0 up to n.
func PickPart(r rules.Route, draw func(n int) int) (rules.WeightedService, bool) {
	total := 0
	for _, p := range r.TrafficSplit() {
		total += p.Weight()
	}
	if total == 0 {
		return rules.WeightedService{}, false
	}
	n := draw(total)
	for _, p := range r.TrafficSplit() {
		if n < p.Weight() {
			return p, true
		}
		n -= p.Weight()
	}
	return rules.WeightedService{}, false
}

// ordered decides on a request of an ordered service.
func (x *Index) ordered(s rules.Service, o rules.Ordered, f Attributes) Decision {
	text := keyOf(o.Source(), f)
	k, ok := table.ParseKey(text, o.Keys())
	if !ok {
		return Refuse{reason: result.BadRequest}
	}
	p, _ := x.table.SpanAt(s.Name(), k)
	switch h := p.Ownership().(type) {
	case table.Owned:
		return x.owned(s, text, 0, h.Owner())
	case table.Moving:
		return x.owned(s, text, 0, h.From())
	case table.Vacant:
		return Refuse{reason: result.NoOwner}
	}
	return Refuse{reason: result.NoOwner}
}
