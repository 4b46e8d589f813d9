// Package heavy finds the keys with the most requests in bounded memory.
//
// It is the Space-Saving algorithm of A. Metwally, D. Agrawal and A. El Abbadi,
// "Efficient Computation of Frequent and Top-k Elements in Data Streams" (2005): every key with
// more than 1/n of the requests is among the n counters, and no count is too low.
package topk

import (
	"cmp"
	"container/heap"
	"slices"
)

// Count is a key with an upper bound of its requests.
type Count struct {
	key      string
	requests uint64
}

// Key returns the key.
func (c Count) Key() string { return c.key }

// Requests returns the count, which may be too high but never too low.
func (c Count) Requests() uint64 { return c.requests }

type counter struct {
	count Count
	index int
}

// Sketch counts keys. It is not safe for concurrent use.
type Sketch struct {
	limit int
	byKey map[string]*counter
	least least
}

// New returns a sketch of limit counters.
func New(limit int) *Sketch {
	return &Sketch{limit: limit, byKey: make(map[string]*counter, limit)}
}

// Add counts one request of key.
func (s *Sketch) Add(key string) {
	if c, ok := s.byKey[key]; ok {
		c.count.requests++
		heap.Fix(&s.least, c.index)
		return
	}
	if len(s.least) < s.limit {
		c := &counter{count: Count{key: key, requests: 1}}
		s.byKey[key] = c
		heap.Push(&s.least, c)
		return
	}
	c := s.least[0]
	delete(s.byKey, c.count.key)
	c.count.key = key
	c.count.requests++
	s.byKey[key] = c
	heap.Fix(&s.least, 0)
}

// Top returns at most n counts, the greatest first.
func (s *Sketch) Top(n int) []Count {
	list := make([]Count, 0, len(s.least))
	for _, c := range s.least {
		list = append(list, c.count)
	}
	slices.SortFunc(list, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.requests, a.requests), cmp.Compare(a.key, b.key))
	})
	return list[:min(n, len(list))]
}

// Reset forgets all counts.
func (s *Sketch) Reset() {
	clear(s.byKey)
	s.least = s.least[:0]
}

// least is a heap with the least count first.
type least []*counter

func (l least) Len() int           { return len(l) }
func (l least) Less(i, j int) bool { return l[i].count.requests < l[j].count.requests }
func (l least) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].index, l[j].index = i, j
}

// Push adds a *counter, for container/heap.
func (l *least) Push(x any) {
	c := x.(*counter)
	c.index = len(*l)
	*l = append(*l, c)
}

// Pop removes the last counter, for container/heap.
func (l *least) Pop() any {
	old := *l
	c := old[len(old)-1]
	*l = old[:len(old)-1]
	return c
}
