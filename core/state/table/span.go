package table

import (
	"iter"
	"slices"
	"strconv"
)

// Key is a key of an ordered service, counted from 0.
type Key uint32

// ParseKey parses a key as a decimal number. It fails if the number is not below count.
func ParseKey(text string, count int) (Key, bool) {
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil || n >= uint64(count) {
		return 0, false
	}
	return Key(n), true
}

// Span is a range of adjacent keys of an ordered service that have the same ownership.
type Span struct {
	first     Key
	last      Key
	ownership Ownership
}

// NewSpan returns the span of the keys from first to last, both included.
func NewSpan(first, last Key, o Ownership) Span { return Span{first: first, last: last, ownership: o} }

// First returns the first key.
func (s Span) First() Key { return s.first }

// Last returns the last key, which is included.
func (s Span) Last() Key { return s.last }

// Size returns the number of keys.
func (s Span) Size() int { return int(s.last-s.first) + 1 }

// Ownership returns the ownership of the keys.
func (s Span) Ownership() Ownership { return s.ownership }

// Covers reports whether all keys from first to last are in the span.
func (s Span) Covers(first, last Key) bool {
	return s.first <= first && first <= last && last <= s.last
}

// SpanSet replaces the ownership of a span of keys.
type SpanSet struct {
	service string
	span    Span
}

// NewSpanSet returns the change that sets the ownership of the keys of s.
func NewSpanSet(service string, s Span) SpanSet { return SpanSet{service: service, span: s} }

// Service returns the name of the service.
func (c SpanSet) Service() string { return c.service }

// Span returns the keys with their new ownership.
func (c SpanSet) Span() Span { return c.span }

// Spans returns the spans of an ordered service in ascending order. Keys outside all spans
// were never granted. The caller must not modify the list.
func (t *Table) Spans(service string) []Span { return t.services[service].spans }

// CoverKeys reports whether ranges, given by their first and last keys and ordered by the first, together
// contain all keys from first to last.
func CoverKeys(ranges iter.Seq2[Key, Key], first, last Key) bool {
	next := first
	for f, l := range ranges {
		switch {
		case l < next:
		case f > next:
			return false
		case l >= last:
			return true
		default:
			next = l + 1
		}
	}
	return false
}

// SpanAt returns the span that contains the key, and whether the key was ever granted. If not,
// the span is the key alone, Vacant at epoch 0.
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

// SpansWithin returns the spans of the service between first and last, both included, clipped to
// these bounds.
func (t *Table) SpansWithin(service string, first, last Key) []Span {
	var list []Span
	for _, s := range t.services[service].spans {
		if s.last < first || s.first > last {
			continue
		}
		list = append(list, NewSpan(max(s.first, first), min(s.last, last), s.ownership))
	}
	return list
}

// setSpan replaces whatever the span overlaps and merges it with adjacent spans of the same
// ownership. It builds a new list, since the old one is shared with earlier tables.
func (e *editor) setSpan(service string, s Span) {
	e.mutablePlacement(service)
	p := e.table.services[service]
	next := make([]Span, 0, len(p.spans)+2)
	placed := false
	for _, o := range p.spans {
		if o.first < s.first {
			next = appendMerged(next, NewSpan(o.first, min(o.last, previousKey(s.first)), o.ownership))
		}
		if o.last > s.last {
			if !placed {
				next, placed = appendMerged(next, s), true
			}
			next = appendMerged(next, NewSpan(max(o.first, s.last+1), o.last, o.ownership))
		}
	}
	if !placed {
		next = appendMerged(next, s)
	}
	p.spans = next
	e.table.services[service] = p
}

// previousKey returns the key before k, which must not be 0.
func previousKey(k Key) Key { return k - 1 }

// appendMerged appends a span, or extends the last one if s follows it directly with the same
// ownership.
func appendMerged(list []Span, s Span) []Span {
	if n := len(list); n > 0 && list[n-1].last+1 == s.first && list[n-1].ownership == s.ownership {
		list[n-1].last = s.last
		return list
	}
	return append(list, s)
}
