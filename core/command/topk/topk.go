// Package topk finds the most requested keys (heavy hitters) in bounded memory.
//
// It implements the Space-Saving algorithm of A. Metwally, D. Agrawal and A. El Abbadi,
// "Efficient Computation of Frequent and Top-k Elements in Data Streams" (2005): with n counters,
// every key with more than 1/n of the requests has a counter, and no count is too low.
package topk

import (
	"cmp"
	"container/heap"
	"slices"
)

// Count is a key with an upper bound on the number of its requests.
type Count struct {
	key      string
	requests uint64
}

// Key returns the key as it was passed to Add.
func (c Count) Key() string { return c.key }

// Requests returns the count, which may be too high by the count of an evicted key, but is never
// too low.
func (c Count) Requests() uint64 { return c.requests }

type counter struct {
	count Count
	index int
}

// Sketch estimates the request counts of the most frequent keys. It is not safe for concurrent use.
type Sketch struct {
	limit    int
	byKey    map[string]*counter
	counters minHeap
}

// New returns an empty sketch with limit counters; limit must be positive.
func New(limit int) *Sketch {
	return &Sketch{limit: limit, byKey: make(map[string]*counter, limit)}
}

// Add counts one request for the key. If all counters are in use, the key takes over the lowest one.
func (s *Sketch) Add(key string) {
	if c, ok := s.byKey[key]; ok {
		c.count.requests++
		heap.Fix(&s.counters, c.index)
		return
	}
	if len(s.counters) < s.limit {
		c := &counter{count: Count{key: key, requests: 1}}
		s.byKey[key] = c
		heap.Push(&s.counters, c)
		return
	}
	c := s.counters[0]
	delete(s.byKey, c.count.key)
	c.count.key = key
	c.count.requests++
	s.byKey[key] = c
	heap.Fix(&s.counters, 0)
}

// Top returns the n highest counts, or all if there are fewer, in descending order.
func (s *Sketch) Top(n int) []Count {
	list := make([]Count, 0, len(s.counters))
	for _, c := range s.counters {
		list = append(list, c.count)
	}
	slices.SortFunc(list, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.requests, a.requests), cmp.Compare(a.key, b.key))
	})
	return list[:min(n, len(list))]
}

// Reset clears all counters.
func (s *Sketch) Reset() {
	clear(s.byKey)
	s.counters = s.counters[:0]
}

// minHeap orders counters by count, the lowest first.
type minHeap []*counter

func (h minHeap) Len() int           { return len(h) }
func (h minHeap) Less(i, j int) bool { return h[i].count.requests < h[j].count.requests }
func (h minHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds a *counter, for container/heap.
func (h *minHeap) Push(x any) {
	c := x.(*counter)
	c.index = len(*h)
	*h = append(*h, c)
}

// Pop removes and returns the last counter, for container/heap.
func (h *minHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	*h = old[:len(old)-1]
	return c
}
