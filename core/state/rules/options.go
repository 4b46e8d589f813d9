package rules

import (
	"slices"

	"verbenabank/core/clock"
)

// WithKind sets how requests are distributed over the targets.
func WithKind(kind Kind) Option { return func(s *Service) { s.kind = kind } }

// WithFencing sets whether targets check the epoch of requests.
func WithFencing(fencing Fencing) Option { return func(s *Service) { s.fencing = fencing } }

// WithShedding sets whether status 503 proves that the target did not run the request.
func WithShedding(shedding Shedding) Option { return func(s *Service) { s.shedding = shedding } }

// WithRepeatable sets the HTTP methods whose requests may run more than once.
func WithRepeatable(methods ...string) Option {
	return func(s *Service) { s.repeatable = slices.Clone(methods) }
}

// WithHealthPath sets the path of health requests to targets, by default DefaultHealthPath.
func WithHealthPath(path string) Option { return func(s *Service) { s.healthPath = path } }

// WithSlots sets the maximum number of requests that run at one target at once.
func WithSlots(count int) Option { return func(s *Service) { s.slots = count } }

// WithConnections sets the maximum number of connections to one target.
func WithConnections(count int) Option { return func(s *Service) { s.connections = count } }

// WithQueue sets how many requests may wait for a slot of one target, and for how long.
func WithQueue(length int, wait clock.Millis) Option {
	return func(s *Service) { s.queueLength, s.queueWait = length, wait }
}

// WithMaxBodyBytes sets the maximum size of a request body in bytes.
func WithMaxBodyBytes(limit int64) Option { return func(s *Service) { s.maxBodyBytes = limit } }

// WithDeadline sets the maximum time from the arrival of a request to its response.
func WithDeadline(d clock.Millis) Option { return func(s *Service) { s.deadline = d } }

// WithDrain sets how long a leaving target may take to finish its requests in flight.
func WithDrain(d clock.Millis) Option { return func(s *Service) { s.drain = d } }

// WithWarmUp sets how long the share of a joining target grows until it is full (slow start).
func WithWarmUp(d clock.Millis) Option { return func(s *Service) { s.warmUp = d } }

// WithRetry sets the maximum number of attempts of a request, and the retry budget: the retries
// allowed per 100 first attempts.
func WithRetry(attempts, percent int) Option {
	return func(s *Service) { s.retryAttempts, s.retryPercent = attempts, percent }
}

// WithHotKeys sets from which share of the requests of a target, in percent, a key is hot and gets a
// dedicated shard, and how many keys of the service may have one.
func WithHotKeys(percent, keys int) Option {
	return func(s *Service) { s.hotPercent, s.hotKeys = percent, keys }
}

// WithWeights sets the weights of the objectives of placement.
func WithWeights(weights Weights) Option { return func(s *Service) { s.weights = weights } }

// WithColdStart sets how many requests per second a target takes while it is cold, 0 for any number, and for how long it
// stays cold after its start.
func WithColdStart(rate float64, d clock.Millis) Option {
	return func(s *Service) { s.coldRate, s.coldTime = rate, d }
}
