// Package route decides from the table who may serve a request.
package route

import (
	"slices"

	"verbenabank/core/state/result"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

// MaxKeyBytes is the length of the longest key.
const MaxKeyBytes = 1024

// Attributes are what a request tells about where it belongs.
type Attributes struct {
	service string // "" if the path names it
	key     string
	path    string
	header  func(name string) string
}

// NewAttributes returns the facts of a request with the path as it was sent and a lookup
// of header fields by canonical name.
func NewAttributes(path string, header func(name string) string) Attributes {
	return Attributes{path: path, header: header}
}

// ResolvedAttributes returns the facts of a request whose service and key a route has given.
func ResolvedAttributes(service, key string) Attributes {
	return Attributes{service: service, key: key}
}

// name returns the name of the service.
func (f Attributes) name() string {
	if f.service != "" {
		return f.service
	}
	return segment(f.path, 1)
}

// Decision is where a request goes: Keyed, Pooled or Refuse.
type Decision interface{ decision() }

// Keyed requests go to the one owner of their key.
type Keyed struct {
	service rules.Service
	key     string
	shard   table.Shard
	owner   table.Member
}

// Service returns the service.
func (k Keyed) Service() rules.Service { return k.service }

// Key returns the key.
func (k Keyed) Key() string { return k.key }

// Shard returns the shard of the key.
func (k Keyed) Shard() table.Shard { return k.shard }

// Owner returns the owner.
func (k Keyed) Owner() table.Member { return k.owner }

// Pooled requests go to one of the candidates.
type Pooled struct {
	service rules.Service
	pool    *pool
}

// Service returns the service.
func (p Pooled) Service() rules.Service { return p.service }

// Candidates returns the members that take work, never none; the caller must not
// change them.
func (p Pooled) Candidates() []table.Member { return p.pool.all }

// InZone returns the candidates in the availability zone; the caller must not change
// them.
func (p Pooled) InZone(zone string) []table.Member { return p.pool.byZone[zone] }

// Candidate returns the candidate with the incarnation, if there is one.
func (p Pooled) Candidate(i table.Incarnation) (table.Member, bool) {
	at := slices.IndexFunc(p.pool.all, func(m table.Member) bool { return m.Incarnation() == i })
	if at < 0 {
		return table.Member{}, false
	}
	return p.pool.all[at], true
}

// Refuse means that nobody can serve the request at present.
type Refuse struct{ reason result.Reason }

// Reason returns why.
func (r Refuse) Reason() result.Reason { return r.reason }

func (Keyed) decision()  {}
func (Pooled) decision() {}
func (Refuse) decision() {}

// Index answers questions about one table. It is immutable and safe for
// concurrent use.
type Index struct {
	table *table.Table
	pools map[string]*pool
	hosts map[string][]rules.Route // longest prefix first
}

// pool is the members of one service that take work.
type pool struct {
	all    []table.Member
	byZone map[string][]table.Member
}

// WithTable returns the index of t, made of the parts of x that did not change.
func (x *Index) WithTable(t *table.Table) *Index {
	if t.SharesMembers(x.table) {
		return &Index{table: t, pools: x.pools, hosts: x.hostsOf(t)}
	}
	return NewIndex(t)
}

// NewIndex returns the index of t.
func NewIndex(t *table.Table) *Index {
	x := &Index{table: t, pools: map[string]*pool{}}
	x.hosts = x.hostsOf(t)
	for _, m := range t.Members() {
		if m.Service() != "" && takesWork(m.Phase()) {
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

// Table returns the table that is indexed.
func (x *Index) Table() *table.Table { return x.table }

func takesWork(p table.Phase) bool {
	switch p.(type) {
	case table.Warming, table.Serving:
		return true
	case table.Leaving:
		return false
	}
	return false
}

// Service returns the service of a request, named by the first path segment.
func (x *Index) Service(f Attributes) (rules.Service, bool) {
	return x.table.Rules().Service(f.name())
}

// Decide returns where the request goes.
func (x *Index) Decide(f Attributes) Decision {
	s, ok := x.Service(f)
	if !ok {
		return Refuse{reason: result.UnknownService}
	}
	switch k := s.Kind().(type) {
	case rules.Keyed:
		return x.keyed(s, k, f)
	case rules.Ordered:
		return x.ordered(s, k, f)
	case rules.Pooled:
		return x.pooled(s)
	}
	return Refuse{reason: result.UnknownService}
}

func (x *Index) pooled(s rules.Service) Decision {
	p, ok := x.pools[s.Name()]
	if !ok {
		return Refuse{reason: result.NoTarget}
	}
	return Pooled{service: s, pool: p}
}

func (x *Index) keyed(s rules.Service, k rules.Keyed, f Attributes) Decision {
	key := keyOf(k.Source(), f)
	switch {
	case key == "", len(key) > MaxKeyBytes, ambiguous(f.path):
		return Refuse{reason: result.BadRequest}
	}
	sh := x.table.ShardOf(s.Name(), key, k.Shards())
	switch h := x.table.Ownership(s.Name(), sh).(type) {
	case table.Owned:
		return x.owned(s, key, sh, h.Owner())
	case table.Moving:
		return x.owned(s, key, sh, h.From())
	case table.Vacant:
		return Refuse{reason: result.NoOwner}
	}
	return Refuse{reason: result.NoOwner}
}

// owned sends a request to the owner of its shard, which takes work until it
// closes the shard.
func (x *Index) owned(s rules.Service, key string, sh table.Shard, owner table.Incarnation) Decision {
	m, ok := x.table.Member(owner)
	if !ok {
		return Refuse{reason: result.NoOwner}
	}
	return Keyed{service: s, key: key, shard: sh, owner: m}
}

func keyOf(source rules.KeySource, f Attributes) string {
	if f.service != "" {
		return f.key
	}
	switch s := source.(type) {
	case rules.PathSegment:
		return segment(f.path, s.Index())
	case rules.Header:
		return f.header(s.Name())
	}
	return ""
}
