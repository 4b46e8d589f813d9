package link

import (
	"slices"
	"sync"
)

// Addresses are those at which control replicas may be found: those of the settings, and
// those that a leader named. They are safe for concurrent use.
type Addresses struct {
	mu      sync.Mutex
	listed  []string
	learned []string
}

// NewAddresses returns the addresses ("ip:port") of the settings.
func NewAddresses(listed ...string) *Addresses { return &Addresses{listed: listed} }

// List returns all addresses, those of the settings first.
func (a *Addresses) List() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := slices.Clone(a.listed)
	for _, l := range a.learned {
		if !slices.Contains(list, l) {
			list = append(list, l)
		}
	}
	return list
}

// Reload replaces the addresses of the settings.
func (a *Addresses) Reload(listed []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.listed = listed
}

// Learn replaces the addresses that a leader named.
func (a *Addresses) Learn(named []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(named) > 0 {
		a.learned = named
	}
}
