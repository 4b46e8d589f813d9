package table

// A page holds pageSize hash ranges: 2 to the power of pageBits.
const (
	pageBits = 8
	pageSize = 1 << pageBits
)

// page holds the ownership of adjacent hash ranges; those never granted are nil.
type page [pageSize]Ownership

// pages holds the ownership of all hash ranges of one service. It is split into pages so
// that a change copies a single page, not all ranges.
type pages []*page

// get returns the ownership of a range, nil if it was never granted.
func (p pages) get(s Shard) Ownership {
	i := int(s >> pageBits)
	if i >= len(p) || p[i] == nil {
		return nil
	}
	return p[i][s%pageSize]
}

// each calls f for the ranges that were ever granted, in ascending order.
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

// pageKey identifies a page of a service.
type pageKey struct {
	service string
	number  int
}

// setOwnership sets the ownership of a shard, copying the page that holds it on the first
// write.
func (e *editor) setOwnership(service string, s Shard, o Ownership) {
	p := e.mutablePlacement(service)
	if s >= FirstOverride {
		p.dedicated[s] = o
		return
	}
	i := int(s >> pageBits)
	if i >= len(p.ranges) {
		p.ranges = append(p.ranges, make(pages, i+1-len(p.ranges))...)
		e.table.services[service] = p
	}
	key := pageKey{service: service, number: i}
	if !e.pagesCopied[key] {
		e.pagesCopied[key] = true
		next := page{}
		if p.ranges[i] != nil {
			next = *p.ranges[i]
		}
		p.ranges[i] = &next
	}
	p.ranges[i][s%pageSize] = o
}
