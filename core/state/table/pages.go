package table

// pageBits is the binary logarithm of how many hash ranges one page holds.
const (
	pageBits = 8
	pageSize = 1 << pageBits
)

// page holds neighboring hash ranges; those never granted are nil.
type page [pageSize]Ownership

// pages holds the hash ranges of one service, so that a change copies one page
// and not all ranges.
type pages []*page

// get returns the holding of a range, nil if it was never granted.
func (p pages) get(s Shard) Ownership {
	i := int(s >> pageBits)
	if i >= len(p) || p[i] == nil {
		return nil
	}
	return p[i][s%pageSize]
}

// each calls f for the granted ranges in order.
func (p pages) each(f func(Shard, Ownership)) {
	for i, g := range p {
		if g == nil {
			continue
		}
		for j, h := range g {
			if h != nil {
				f(Shard(i<<pageBits+j), h)
			}
		}
	}
}

// pageKey names a page that an editor has copied.
type pageKey struct {
	service string
	number  int
}

// set puts a holding into the service's pages, of which the editor copies each
// on its first change.
func (e *editor) set(service string, s Shard, h Ownership) {
	p := e.ownPlacement(service)
	if s >= FirstOverride {
		p.alone[s] = h
		return
	}
	i := int(s >> pageBits)
	if i >= len(p.ranges) {
		p.ranges = append(p.ranges, make(pages, i+1-len(p.ranges))...)
		e.table.services[service] = p
	}
	key := pageKey{service: service, number: i}
	if !e.pages[key] {
		e.pages[key] = true
		next := page{}
		if p.ranges[i] != nil {
			next = *p.ranges[i]
		}
		p.ranges[i] = &next
	}
	p.ranges[i][s%pageSize] = h
}
