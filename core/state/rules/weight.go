package rules

// Weights are the relative weights of the three objectives of placement: availability, few
// moves and balanced load. Only their ratios matter.
type Weights struct {
	unavailable float64
	churn       float64
	imbalance   float64
}

// NewWeights returns the weights of unavailable time, of churn (changes of ownership) and of
// load imbalance. Each must be at least 0.
func NewWeights(unavailable, churn, imbalance float64) Weights {
	return Weights{unavailable: unavailable, churn: churn, imbalance: imbalance}
}

// Unavailable returns the weight of unavailable time.
func (w Weights) Unavailable() float64 { return w.unavailable }

// Churn returns the weight of changes of ownership.
func (w Weights) Churn() float64 { return w.churn }

// Imbalance returns the weight of load imbalance.
func (w Weights) Imbalance() float64 { return w.imbalance }
