package hop

import (
	"context"

	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
)

// WatchMembers closes connections to members that are gone from the newest snapshot. It
// returns when ctx ends.
func (c *Client) WatchMembers(ctx context.Context, cell *snap.Store) {
	last := table.Empty()
	for ctx.Err() == nil {
		s := cell.Load()
		if !s.Table().SharesMembers(last) {
			last = s.Table()
			c.keepMembers(last)
		}
		select {
		case <-s.Superseded():
		case <-ctx.Done():
		}
	}
}

// keepMembers keeps the connections to the members in t, or all if it has none: then
// this daemon knows nothing as yet.
func (c *Client) keepMembers(t *table.Table) {
	members := t.Members()
	if len(members) == 0 {
		return
	}
	addresses := make(map[string]bool, len(members))
	for _, m := range members {
		addresses[m.Address()] = true
	}
	c.Keep(addresses)
}
