package logcmd

import "verbenabank/core/state/table"

// Grant gives a vacant shard to an owner.
type Grant struct {
	service string
	shard   table.Shard
	epoch   table.Epoch
	owner   table.Incarnation
}

// NewGrant returns the command that gives the shard, vacant since epoch e, to
// owner.
func NewGrant(service string, s table.Shard, e table.Epoch, owner table.Incarnation) Grant {
	return Grant{service: service, shard: s, epoch: e, owner: owner}
}

// Service returns the name of the service.
func (c Grant) Service() string { return c.service }

// Shard returns the shard.
func (c Grant) Shard() table.Shard { return c.shard }

// Epoch returns the epoch of the last owner.
func (c Grant) Epoch() table.Epoch { return c.epoch }

// Owner returns the new owner.
func (c Grant) Owner() table.Incarnation { return c.owner }

// Move asks the owner of a shard to hand it over.
type Move struct {
	service   string
	shard     table.Shard
	epoch     table.Epoch
	successor table.Incarnation
}

// NewMove returns the command that moves the shard, owned at epoch e, to
// successor.
func NewMove(service string, s table.Shard, e table.Epoch, successor table.Incarnation) Move {
	return Move{service: service, shard: s, epoch: e, successor: successor}
}

// Service returns the name of the service.
func (c Move) Service() string { return c.service }

// Shard returns the shard.
func (c Move) Shard() table.Shard { return c.shard }

// Epoch returns the epoch of the present owner.
func (c Move) Epoch() table.Epoch { return c.epoch }

// Successor returns the next owner.
func (c Move) Successor() table.Incarnation { return c.successor }

// Release gives a moving shard back, with no request for it in flight.
type Release struct {
	service string
	shard   table.Shard
	epoch   table.Epoch
}

// NewRelease returns the command by which the owner at epoch e gives the shard
// back.
func NewRelease(service string, s table.Shard, e table.Epoch) Release {
	return Release{service: service, shard: s, epoch: e}
}

// Service returns the name of the service.
func (c Release) Service() string { return c.service }

// Shard returns the shard.
func (c Release) Shard() table.Shard { return c.shard }

// Epoch returns the epoch that ends.
func (c Release) Epoch() table.Epoch { return c.epoch }

// AddOverride gives a key a shard of its own.
type AddOverride struct {
	service string
	key     string
}

// NewAddOverride returns the command that places key alone.
func NewAddOverride(service, key string) AddOverride { return AddOverride{service: service, key: key} }

// Service returns the name of the service.
func (c AddOverride) Service() string { return c.service }

// Key returns the key.
func (c AddOverride) Key() string { return c.key }

// RemoveOverride returns a key to its hash range.
type RemoveOverride struct {
	service string
	key     string
}

// NewRemoveOverride returns the command that returns key to its hash range.
func NewRemoveOverride(service, key string) RemoveOverride {
	return RemoveOverride{service: service, key: key}
}

// Service returns the name of the service.
func (c RemoveOverride) Service() string { return c.service }

// Key returns the key.
func (c RemoveOverride) Key() string { return c.key }

func (Grant) command()          {}
func (Move) command()           {}
func (Release) command()        {}
func (AddOverride) command()    {}
func (RemoveOverride) command() {}
