package rules

import (
	"slices"

	"verbenabank/core/clock"
)

// WithKind sets how requests are spread.
func WithKind(kind Kind) Option { return func(s *Service) { s.kind = kind } }

// WithFencing sets whether targets check epochs.
func WithFencing(fencing Fencing) Option { return func(s *Service) { s.fencing = fencing } }

// WithShedding sets what a target's 503 proves.
func WithShedding(shedding Shedding) Option { return func(s *Service) { s.shedding = shedding } }

// WithRepeatable sets the HTTP methods that may run twice.
func WithRepeatable(methods ...string) Option {
	return func(s *Service) { s.repeatable = slices.Clone(methods) }
}

// WithSlots sets how many requests one target runs at once.
func WithSlots(count int) Option { return func(s *Service) { s.slots = count } }

// WithConnections sets how many connections one target accepts.
func WithConnections(count int) Option { return func(s *Service) { s.connections = count } }

// WithQueue sets how many requests may wait, and for how long.
func WithQueue(length int, wait clock.Millis) Option {
	return func(s *Service) { s.queue, s.queueWait = length, wait }
}

// WithMaxBodyBytes sets the largest request body in bytes.
func WithMaxBodyBytes(limit int64) Option { return func(s *Service) { s.bodyBytes = limit } }

// WithDeadline sets the time a request may take.
func WithDeadline(span clock.Millis) Option { return func(s *Service) { s.deadline = span } }

// WithDrain sets how long a leaving target may finish requests in flight.
func WithDrain(span clock.Millis) Option { return func(s *Service) { s.drain = span } }

// WithWarmUp sets how long a joining target takes to reach its full share.
func WithWarmUp(span clock.Millis) Option { return func(s *Service) { s.warmUp = span } }

// WithRetry sets the most attempts of a request and the retries allowed for 100
// first attempts.
func WithRetry(attempts, percent int) Option {
	return func(s *Service) { s.retryAttempts, s.retryPercent = attempts, percent }
}

// WithHotKeys sets from which share of a target's requests, in percent, a key is
// moved alone, and how many keys may be.
func WithHotKeys(percent, keys int) Option {
	return func(s *Service) { s.hotPercent, s.hotKeys = percent, keys }
}

// WithWeights sets how the users price the three measures.
func WithWeights(weights Weights) Option { return func(s *Service) { s.weights = weights } }
