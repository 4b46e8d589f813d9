package table

// Ownership is the ownership of a shard or of a span of keys: Vacant, Owned or Moving.
type Ownership interface {
	// Epoch returns the epoch of the current owner or, if there is none, of the last one.
	Epoch() Epoch
	ownership()
}

// Vacant means that the shard has no owner.
type Vacant struct{ epoch Epoch }

// NewVacant returns the ownership of a shard without an owner. e is the epoch of its last
// owner, 0 if it never had one.
func NewVacant(e Epoch) Vacant { return Vacant{epoch: e} }

// Epoch returns the epoch of the last owner.
func (v Vacant) Epoch() Epoch { return v.epoch }

// Owned means that one member owns the shard.
type Owned struct {
	owner    Incarnation
	epoch    Epoch
	handover string
}

// NewOwned returns the ownership by owner at epoch e, without a handover token.
func NewOwned(owner Incarnation, e Epoch) Owned { return Owned{owner: owner, epoch: e} }

// WithHandover returns the ownership with the handover token, which the target of the
// previous owner gave for the target of this one, "" if it gave none.
func (o Owned) WithHandover(token string) Owned {
	o.handover = token
	return o
}

// Handover returns the handover token from the target of the previous owner, "" if there is none.
func (o Owned) Handover() string { return o.handover }

// Owner returns the owner.
func (o Owned) Owner() Incarnation { return o.owner }

// Epoch returns the epoch of the owner.
func (o Owned) Epoch() Epoch { return o.epoch }

// Moving means that a handover is under way: the current owner accepts no new requests for
// the shard and releases it once the requests in flight have ended.
type Moving struct {
	from  Incarnation
	to    Incarnation
	epoch Epoch
}

// NewMoving returns the ownership by from at epoch e during the handover to another member.
func NewMoving(from, to Incarnation, e Epoch) Moving { return Moving{from: from, to: to, epoch: e} }

// From returns the owner that is to release the shard.
func (m Moving) From() Incarnation { return m.from }

// To returns the member that owns the shard after the release.
func (m Moving) To() Incarnation { return m.to }

// Epoch returns the epoch of the owner that is to release the shard.
func (m Moving) Epoch() Epoch { return m.epoch }

func (Vacant) ownership() {}
func (Owned) ownership()  {}
func (Moving) ownership() {}

// ServingMember returns the member that serves keys with the ownership: their owner, also while they move
// away from it, 0 if there is none.
func ServingMember(o Ownership) Incarnation {
	switch o := o.(type) {
	case Vacant:
	case Owned:
		return o.Owner()
	case Moving:
		return o.From()
	}
	return 0
}
