package place

// Policy selects how shards are placed: CostBased, EqualCounts or Static.
type Policy interface{ policy() }

// CostBased moves a shard when the gain in load balance exceeds the cost of the move, both
// weighted as the configuration says. Hot keys get dedicated shards.
type CostBased struct{}

// EqualCounts keeps the shard counts of all members within one of each other, as consistent
// hashing with bounded loads does with a bound of one (V. Mirrokni, M. Thorup and M.
// Zadimoghaddam, 2018). It is a baseline for comparison.
type EqualCounts struct{}

// Static leaves every shard with its owner while that stays. It is a baseline for comparison.
type Static struct{}

func (CostBased) policy()   {}
func (EqualCounts) policy() {}
func (Static) policy()      {}
