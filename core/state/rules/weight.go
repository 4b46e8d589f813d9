package rules

// Weights are the prices that the users put on the three measures. Only their
// ratios matter.
type Weights struct {
	unavailable float64
	churn       float64
	imbalance   float64
}

// NewWeights returns weights for unavailable time, churn of ownership and
// imbalance of load. Each is at least 0.
func NewWeights(unavailable, churn, imbalance float64) Weights {
	return Weights{unavailable: unavailable, churn: churn, imbalance: imbalance}
}

// Unavailable returns the price of unavailable time.
func (w Weights) Unavailable() float64 { return w.unavailable }

// Churn returns the price of ownership moves.
func (w Weights) Churn() float64 { return w.churn }

// Imbalance returns the price of uneven load.
func (w Weights) Imbalance() float64 { return w.imbalance }
