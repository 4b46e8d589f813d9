package plan

import "verbenabank/core/clock"

// Routing says who chooses the target of a request: Daemons, or the load tool
// itself by Modulo, Random or RoundRobin.
type Routing interface{ routing() }

// Daemons routing sends requests to the daemons in turn.
type Daemons struct{}

// Modulo routing sends a key to the target at its hash modulo their count.
type Modulo struct{}

// Random routing sends each request to a target drawn at random.
type Random struct{}

// RoundRobin routing sends requests to the targets in turn.
type RoundRobin struct{}

func (Daemons) routing()    {}
func (Modulo) routing()     {}
func (Random) routing()     {}
func (RoundRobin) routing() {}

// Retry says what callers do with a request that was not answered: RetryNone or
// RetryAll.
type Retry interface{ retry() }

// RetryNone callers give up.
type RetryNone struct{}

// RetryAll callers try the next server, whatever the request and the failure.
type RetryAll struct{}

func (RetryNone) retry() {}
func (RetryAll) retry()  {}

// Keys says which keys are asked for, by a Zipf distribution.
type Keys struct {
	count    int
	exponent float64
	hotSets  []Hot
}

// NewKeys returns a distribution over count keys for each service.
func NewKeys(count int, exponent float64, hot []Hot) Keys {
	return Keys{count: count, exponent: exponent, hotSets: hot}
}

// Count returns the number of keys of each service.
func (k Keys) Count() int { return k.count }

// Exponent returns the exponent of the distribution.
func (k Keys) Exponent() float64 { return k.exponent }

// Hot returns the hot sets in the order of time.
func (k Keys) Hot() []Hot { return k.hotSets }

// Hot is a set of keys that takes a share of the requests until the next set.
type Hot struct {
	at      clock.Millis
	size    int
	percent float64
}

// NewHot returns a hot set of a number of keys that starts at a time after the
// start of the load.
func NewHot(at clock.Millis, keys int, percent float64) Hot {
	return Hot{at: at, size: keys, percent: percent}
}

// At returns when the set becomes hot, counted from the start of the load.
func (h Hot) At() clock.Millis { return h.at }

// Keys returns how many keys are hot.
func (h Hot) Keys() int { return h.size }

// Percent returns the share of the requests that go to them.
func (h Hot) Percent() float64 { return h.percent }

// Share is one kind of request.
type Share struct {
	service     string
	method      string
	weight      float64
	uploadBytes int
	answerBytes int
}

// NewShare returns a kind of request that is sent in proportion to its weight.
func NewShare(service, method string, weight float64, uploadBytes, answerBytes int) Share {
	return Share{service: service, method: method, weight: weight, uploadBytes: uploadBytes, answerBytes: answerBytes}
}

// Service returns the service that is asked.
func (s Share) Service() string { return s.service }

// Method returns the HTTP method.
func (s Share) Method() string { return s.method }

// Weight returns the weight of this kind among all.
func (s Share) Weight() float64 { return s.weight }

// UploadBytes returns the length of the request body.
func (s Share) UploadBytes() int { return s.uploadBytes }

// AnswerBytes returns the length of the answer that is asked for.
func (s Share) AnswerBytes() int { return s.answerBytes }
