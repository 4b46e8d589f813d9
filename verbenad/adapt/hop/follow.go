package hop

import (
	"context"

	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
)

// WatchMembers closes connections to members that are no longer in the newest snapshot of the routing table.
// It blocks until ctx ends.
func (c *Client) WatchMembers(ctx context.Context, store *snap.Store) {
	last := table.Empty()
	for ctx.Err() == nil {
		s := store.Load()
		if !s.Table().SharesMembers(last) {
			last = s.Table()
			c.retainMembers(last)
		}
		select {
		case <-s.Superseded():
		case <-ctx.Done():
		}
	}
}

// retainMembers closes the connections to daemons that are not members in t. A table without members
// is ignored, since the daemon has then not received its first one.
func (c *Client) retainMembers(t *table.Table) {
	members := t.Members()
	if len(members) == 0 {
		return
	}
	addresses := make(map[string]bool, len(members))
	for _, m := range members {
		addresses[m.Address()] = true
	}
	c.SetAddresses(addresses)
}
