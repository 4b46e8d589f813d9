// Package route decides from the routing table which member may serve a request.
package route

import (
	"slices"

	"verbenabank/core/state/result"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

// MaxKeyBytes is the maximum length of a key; a request with a longer one is refused.
const MaxKeyBytes = 1024

// Attributes are the properties of a request that determine where it is sent.
type Attributes struct {
	service string // "" if the first path segment names it
	key     string
	path    string
	header  func(name string) string
}

// NewAttributes returns the attributes of a request with the path as it was sent, percent escapes
// included, and a lookup of header fields by canonical name.
func NewAttributes(path string, header func(name string) string) Attributes {
	return Attributes{path: path, header: header}
}

// ResolvedAttributes returns the attributes of a request whose service and key a matched route has already
// determined.
func ResolvedAttributes(service, key string) Attributes {
	return Attributes{service: service, key: key}
}

// serviceName returns the given service, or else the first path segment.
func (a Attributes) serviceName() string {
	if a.service != "" {
		return a.service
	}
	return pathSegment(a.path, 1)
}

// Decision is the result of routing a request: Keyed, Pooled or Refuse.
type Decision interface{ decision() }

// Keyed sends the request to the only owner of its key.
type Keyed struct {
	service rules.Service
	key     string
	shard   table.Shard
	owner   table.Member
}

// Service returns the configuration of the service.
func (k Keyed) Service() rules.Service { return k.service }

// Key returns the key; one from the path has its percent escapes decoded.
func (k Keyed) Key() string { return k.key }

// Shard returns the shard of the key; it is 0 for a service whose keys are ordered.
func (k Keyed) Shard() table.Shard { return k.shard }

// Owner returns the member that owns the key; during a handover it is still the former owner.
func (k Keyed) Owner() table.Member { return k.owner }

// Pooled sends the request to any one of the candidates.
type Pooled struct {
	service rules.Service
	pool    *pool
}

// Service returns the configuration of the service.
func (p Pooled) Service() rules.Service { return p.service }

// Candidates returns the members that accept requests, at least one. The caller must not modify
// the slice.
func (p Pooled) Candidates() []table.Member { return p.pool.all }

// InZone returns the candidates in the availability zone, which may be none. The caller must not
// modify the slice.
func (p Pooled) InZone(zone string) []table.Member { return p.pool.byZone[zone] }

// Only returns a list with the candidate of that incarnation, an empty one if it is none. The caller must not modify it.
func (p Pooled) Only(i table.Incarnation) []table.Member {
	for k := range p.pool.all {
		if p.pool.all[k].Incarnation() == i {
			return p.pool.all[k : k+1]
		}
	}
	return nil
}

// Candidate returns the candidate with the given incarnation, and whether there is one.
func (p Pooled) Candidate(i table.Incarnation) (table.Member, bool) {
	at := slices.IndexFunc(p.pool.all, func(m table.Member) bool { return m.Incarnation() == i })
	if at < 0 {
		return table.Member{}, false
	}
	return p.pool.all[at], true
}

// Refuse means that no member can serve the request at present.
type Refuse struct{ reason result.Reason }

// Reason returns why the request is refused.
func (r Refuse) Reason() result.Reason { return r.reason }

func (Keyed) decision()  {}
func (Pooled) decision() {}
func (Refuse) decision() {}

// Index is a routing index over one version of the table. It is immutable and safe for
// concurrent use.
type Index struct {
	table *table.Table
	pools map[string]*pool
	// drained has the services with members in drained zones that would otherwise accept requests.
	drained map[string]bool
	routes  map[string][]rules.Route // by host, longest prefix first
}

// pool holds the members of one service that accept requests.
type pool struct {
	all    []table.Member
	byZone map[string][]table.Member
}

// WithTable returns the index of t. It shares the parts of x that did not change.
func (x *Index) WithTable(t *table.Table) *Index {
	if t.SharesMembers(x.table) && t.SharesDrainedZones(x.table) {
		return &Index{table: t, pools: x.pools, drained: x.drained, routes: x.routesByHost(t)}
	}
	return NewIndex(t)
}

// NewIndex returns the index of t, built from scratch.
func NewIndex(t *table.Table) *Index {
	x := &Index{table: t, pools: map[string]*pool{}, drained: map[string]bool{}}
	x.routes = x.routesByHost(t)
	for _, m := range t.Members() {
		switch {
		case m.Service() == "" || !acceptsRequests(m.Phase()):
		case t.ZoneDrained(m.Zone()):
			x.drained[m.Service()] = true
		default:
			x.add(m)
		}
	}
	return x
}

func (x *Index) add(m table.Member) {
	p, ok := x.pools[m.Service()]
	if !ok {
		p = &pool{byZone: map[string][]table.Member{}}
		x.pools[m.Service()] = p
	}
	p.all = append(p.all, m)
	p.byZone[m.Zone()] = append(p.byZone[m.Zone()], m)
}

// Table returns the indexed table.
func (x *Index) Table() *table.Table { return x.table }

func acceptsRequests(p table.Phase) bool {
	switch p.(type) {
	case table.Warming, table.Serving:
		return true
	case table.Leaving:
		return false
	}
	return false
}

// Service returns the service of a request: the given one, or else the one named by the first
// path segment. It reports false if the configuration has no such service.
func (x *Index) Service(a Attributes) (rules.Service, bool) {
	return x.table.Rules().Service(a.serviceName())
}

// Decide returns which member or members may serve the request.
func (x *Index) Decide(a Attributes) Decision {
	s, ok := x.Service(a)
	if !ok {
		return Refuse{reason: result.UnknownService}
	}
	switch k := s.Kind().(type) {
	case rules.Keyed:
		return x.decideKeyed(s, k, a)
	case rules.Ordered:
		return x.decideOrdered(s, k, a)
	case rules.Pooled:
		return x.decidePooled(s)
	}
	return Refuse{reason: result.UnknownService}
}

func (x *Index) decidePooled(s rules.Service) Decision {
	p, ok := x.pools[s.Name()]
	if !ok {
		return Refuse{reason: x.reasonWithoutPool(s.Name())}
	}
	return Pooled{service: s, pool: p}
}

// reasonWithoutPool returns why a service has no members that accept requests. A drain lasts until an operator ends it,
// so that callers need not wait.
func (x *Index) reasonWithoutPool(service string) result.Reason {
	if x.drained[service] {
		return result.ZoneDrained
	}
	return result.NoTarget
}

func (x *Index) decideKeyed(s rules.Service, k rules.Keyed, a Attributes) Decision {
	key := keyFrom(k.Source(), a)
	switch {
	case key == "", len(key) > MaxKeyBytes, ambiguousPath(a.path):
		return Refuse{reason: result.BadRequest}
	}
	sh := x.table.ShardOf(s.Name(), key, k.Shards())
	switch h := x.table.Ownership(s.Name(), sh).(type) {
	case table.Owned:
		return x.toOwner(s, key, sh, h.Owner())
	case table.Moving:
		return x.toOwner(s, key, sh, h.From())
	case table.Vacant:
		return Refuse{reason: result.NoOwner}
	}
	return Refuse{reason: result.NoOwner}
}

// toOwner sends the request to the owner of its key. During a handover that is still the former
// owner, which accepts requests until it closes the shard. An owner in a drained zone is sent nothing if no other
// member could take over the key.
func (x *Index) toOwner(s rules.Service, key string, sh table.Shard, owner table.Incarnation) Decision {
	m, ok := x.table.Member(owner)
	if !ok {
		return Refuse{reason: result.NoOwner}
	}
	if _, others := x.pools[s.Name()]; !others && x.table.ZoneDrained(m.Zone()) {
		return Refuse{reason: result.ZoneDrained}
	}
	return Keyed{service: s, key: key, shard: sh, owner: m}
}

// keyFrom returns the key of the request, "" if it has none.
func keyFrom(source rules.KeySource, a Attributes) string {
	if a.service != "" {
		return a.key
	}
	switch s := source.(type) {
	case rules.PathSegment:
		return pathSegment(a.path, s.Index())
	case rules.Header:
		return a.header(s.Name())
	}
	return ""
}
