package table

// Ownership says who holds a shard: Vacant, Owned or Moving.
type Ownership interface {
	// Epoch returns the epoch of the present or, if vacant, the last owner.
	Epoch() Epoch
	holding()
}

// Vacant shards have no owner.
type Vacant struct{ epoch Epoch }

// NewVacant returns the holding without an owner, whose last epoch was e.
func NewVacant(e Epoch) Vacant { return Vacant{epoch: e} }

// Epoch returns the epoch of the last owner.
func (v Vacant) Epoch() Epoch { return v.epoch }

// Owned shards have one owner.
type Owned struct {
	owner    Incarnation
	epoch    Epoch
	handover string
}

// NewOwned returns the holding of owner at epoch e.
func NewOwned(owner Incarnation, e Epoch) Owned { return Owned{owner: owner, epoch: e} }

// WithHandover returns the holding with what the last owner's target gave for the next
// one, "" if it gave nothing.
func (o Owned) WithHandover(token string) Owned {
	o.handover = token
	return o
}

// Handover returns what the last owner's target gave for the next one.
func (o Owned) Handover() string { return o.handover }

// Owner returns the owner.
func (o Owned) Owner() Incarnation { return o.owner }

// Epoch returns the epoch of the owner.
func (o Owned) Epoch() Epoch { return o.epoch }

// Moving shards are still held by their owner, which takes no new work for them
// and releases them once requests in flight are done.
type Moving struct {
	from  Incarnation
	to    Incarnation
	epoch Epoch
}

// NewMoving returns the holding of from at epoch e on its way to another member.
func NewMoving(from, to Incarnation, e Epoch) Moving { return Moving{from: from, to: to, epoch: e} }

// From returns the owner that is to release the shard.
func (m Moving) From() Incarnation { return m.from }

// To returns the member that owns the shard after the release.
func (m Moving) To() Incarnation { return m.to }

// Epoch returns the epoch of the owner that is to release the shard.
func (m Moving) Epoch() Epoch { return m.epoch }

func (Vacant) holding() {}
func (Owned) holding()  {}
func (Moving) holding() {}
