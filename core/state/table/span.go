package table

import (
	"slices"
	"strconv"
)

// Key is the number of a key of an ordered service.
type Key uint32

// ParseKey returns the key that text gives as a decimal number below count.
func ParseKey(text string, count int) (Key, bool) {
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil || n >= uint64(count) {
		return 0, false
	}
	return Key(n), true
}

// Span is a run of neighboring keys of an ordered service with one holding.
type Span struct {
	first   Key
	last    Key
	holding Ownership
}

// NewSpan returns the span of the keys from first to last, both included.
func NewSpan(first, last Key, h Ownership) Span { return Span{first: first, last: last, holding: h} }

// First returns the first key.
func (s Span) First() Key { return s.first }

// Last returns the last key, which is included.
func (s Span) Last() Key { return s.last }

// Size returns the count of keys.
func (s Span) Size() int { return int(s.last-s.first) + 1 }

// Ownership returns who holds the keys.
func (s Span) Ownership() Ownership { return s.holding }

// Covers reports whether all keys from first to last are in the span.
func (s Span) Covers(first, last Key) bool {
	return s.first <= first && first <= last && last <= s.last
}

// SpanSet replaces the holding of a run of keys.
type SpanSet struct {
	service string
	span    Span
}

// NewSpanSet returns the change of the keys of a span of the service.
func NewSpanSet(service string, s Span) SpanSet { return SpanSet{service: service, span: s} }

// Service returns the name of the service.
func (c SpanSet) Service() string { return c.service }

// Span returns the keys with their new holding.
func (c SpanSet) Span() Span { return c.span }

// Spans returns the spans of an ordered service in order. Keys in none were never
// granted. The list must not be changed.
func (t *Table) Spans(service string) []Span { return t.services[service].spans }

// SpanAt returns the span that holds the key, and whether the key was ever granted.
func (t *Table) SpanAt(service string, k Key) (Span, bool) {
	spans := t.services[service].spans
	i, _ := slices.BinarySearchFunc(spans, k, func(s Span, k Key) int {
		if s.last < k {
			return -1
		}
		return 1
	})
	if i == len(spans) || spans[i].first > k {
		return NewSpan(k, k, NewVacant(0)), false
	}
	return spans[i], true
}

// SpansWithin returns the parts of the service's spans that are from first to last.
func (t *Table) SpansWithin(service string, first, last Key) []Span {
	var list []Span
	for _, s := range t.services[service].spans {
		if s.last < first || s.first > last {
			continue
		}
		list = append(list, NewSpan(max(s.first, first), min(s.last, last), s.holding))
	}
	return list
}

// setSpan puts a span in place of all that it overlaps and joins it with neighbors of the
// same holding.
func (e *editor) setSpan(service string, s Span) {
	e.ownPlacement(service)
	p := e.table.services[service]
	next := make([]Span, 0, len(p.spans)+2)
	placed := false
	for _, o := range p.spans {
		if o.first < s.first {
			next = join(next, NewSpan(o.first, min(o.last, before(s.first)), o.holding))
		}
		if o.last > s.last {
			if !placed {
				next, placed = join(next, s), true
			}
			next = join(next, NewSpan(max(o.first, s.last+1), o.last, o.holding))
		}
	}
	if !placed {
		next = join(next, s)
	}
	p.spans = next
	e.table.services[service] = p
}

// before returns the key before k, which is not the first.
func before(k Key) Key { return k - 1 }

// join appends a span, as part of the last one if it goes on with the same holding.
func join(list []Span, s Span) []Span {
	if n := len(list); n > 0 && list[n-1].last+1 == s.first && list[n-1].holding == s.holding {
		list[n-1].last = s.last
		return list
	}
	return append(list, s)
}
