package link

import (
	"slices"
	"sync"
)

// Addresses holds the known addresses of control replicas: the seeds of the settings, and
// those that a leader sent. It is safe for concurrent use.
type Addresses struct {
	mu      sync.Mutex
	seeds   []string
	learned []string
}

// NewAddresses takes the seeds ("ip:port"), of which there must be at least one.
func NewAddresses(seeds ...string) *Addresses { return &Addresses{seeds: seeds} }

// List returns all addresses without duplicates of seeds, the seeds first.
func (a *Addresses) List() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := slices.Clone(a.seeds)
	for _, l := range a.learned {
		if !slices.Contains(list, l) {
			list = append(list, l)
		}
	}
	return list
}

// Reload replaces the seeds when the settings change.
func (a *Addresses) Reload(seeds []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seeds = seeds
}

// Learn replaces the addresses sent by a leader. An empty list changes nothing.
func (a *Addresses) Learn(replicas []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(replicas) > 0 {
		a.learned = replicas
	}
}
