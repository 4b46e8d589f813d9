package route

import (
	"cmp"
	"slices"
	"strings"

	"verbenabank/core/state/result"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

// routesByHost returns the routes of a table by host, longest prefix first. It reuses those of
// the index if the configuration has the same version.
func (x *Index) routesByHost(t *table.Table) map[string][]rules.Route {
	if x.routes != nil && x.table.Rules().Version() == t.Rules().Version() {
		return x.routes
	}
	byHost := map[string][]rules.Route{}
	for _, r := range t.Rules().Routes() {
		byHost[r.Host()] = append(byHost[r.Host()], r)
	}
	for _, list := range byHost {
		slices.SortFunc(list, func(a, b rules.Route) int { return cmp.Compare(len(b.Prefix()), len(a.Prefix())) })
	}
	return byHost
}

// MatchRoute returns the route of the host with the longest prefix that matches the path, and whether
// there is one.
func (x *Index) MatchRoute(host, path string) (rules.Route, bool) {
	for _, r := range x.routes[host] {
		if strings.HasPrefix(path, r.Prefix()) {
			return r, true
		}
	}
	return rules.Route{}, false
}

// PickPart chooses the part of a route's traffic split that takes a request, at random by weight.
// randIntN returns a random number from 0 to n-1. It reports false if all weights are 0.
func PickPart(r rules.Route, randIntN func(n int) int) (rules.WeightedService, bool) {
	total := 0
	for _, p := range r.TrafficSplit() {
		total += p.Weight()
	}
	if total == 0 {
		return rules.WeightedService{}, false
	}
	n := randIntN(total)
	for _, p := range r.TrafficSplit() {
		if n < p.Weight() {
			return p, true
		}
		n -= p.Weight()
	}
	return rules.WeightedService{}, false
}

// decideOrdered routes a request of a service whose keys are ordered.
func (x *Index) decideOrdered(s rules.Service, o rules.Ordered, a Attributes) Decision {
	key := keyFrom(o.Source(), a)
	k, ok := table.ParseKey(key, o.Keys())
	if !ok {
		return Refuse{reason: result.BadRequest}
	}
	p, _ := x.table.SpanAt(s.Name(), k)
	switch h := p.Ownership().(type) {
	case table.Owned:
		return x.toOwner(s, key, 0, h.Owner())
	case table.Moving:
		return x.toOwner(s, key, 0, h.From())
	case table.Vacant:
		return Refuse{reason: result.NoOwner}
	}
	return Refuse{reason: result.NoOwner}
}
