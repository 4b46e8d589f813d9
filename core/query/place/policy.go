package place

// Policy is how shards are placed: Priced, Even or Static.
type Policy interface{ policy() }

// CostBased moves a shard when the gain in balance of load, weighed by the rules,
// outweighs the price of the move. Keys that are hot get a shard of their own.
type CostBased struct{}

// Even keeps the counts of shards of all members within one of each other, as
// consistent hashing with bounded loads does with a bound of one (V. Mirrokni, M.
// Thorup and M. Zadimoghaddam, 2018).
type Even struct{}

// Static moves nothing while its owner stays.
type Static struct{}

func (CostBased) policy() {}
func (Even) policy()      {}
func (Static) policy()    {}
