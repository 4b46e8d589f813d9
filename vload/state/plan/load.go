package plan

import "verbenabank/core/clock"

// Routing says how the target of a request is chosen: by the Daemons, or, in the baselines that the
// daemons are compared with, by the load generator itself with Modulo, Random or RoundRobin.
type Routing interface{ routing() }

// Daemons sends requests to the daemons round-robin; they choose the target.
type Daemons struct{}

// Modulo sends a request to the target whose index is the hash of the key modulo the number of targets.
type Modulo struct{}

// Random sends each request to a target chosen uniformly at random.
type Random struct{}

// RoundRobin sends requests to the targets in turn, whatever their key.
type RoundRobin struct{}

func (Daemons) routing()    {}
func (Modulo) routing()     {}
func (Random) routing()     {}
func (RoundRobin) routing() {}

// Retry is the retry policy of callers for requests without an answer: RetryNone or RetryAll.
type Retry interface{ retry() }

// RetryNone never retries.
type RetryNone struct{}

// RetryAll retries at the next server whatever the request and the failure, also if the request may have
// been executed.
type RetryAll struct{}

func (RetryNone) retry() {}
func (RetryAll) retry()  {}

// Keys is the distribution of requests over keys: a Zipf distribution with hot sets. It is immutable.
type Keys struct {
	count    int
	exponent float64
	hotSets  []Hot
}

// NewKeys returns a Zipf distribution over a number of keys, the same for each service. The hot sets must be
// in the order of time.
func NewKeys(count int, exponent float64, hotSets []Hot) Keys {
	return Keys{count: count, exponent: exponent, hotSets: hotSets}
}

// Count returns the number of keys of each service.
func (k Keys) Count() int { return k.count }

// Exponent returns the exponent of the Zipf distribution; 0 makes it uniform.
func (k Keys) Exponent() float64 { return k.exponent }

// Hot returns the hot sets in the order of time. The caller must not change them.
func (k Keys) Hot() []Hot { return k.hotSets }

// Hot is a hot set: a few keys that get a fixed share of the requests until the next hot set starts.
type Hot struct {
	at      clock.Millis
	size    int
	percent float64
}

// NewHot returns a hot set of a number of keys that starts at an offset from the start of the load.
func NewHot(at clock.Millis, size int, percent float64) Hot {
	return Hot{at: at, size: size, percent: percent}
}

// At returns when the set becomes hot, as an offset from the start of the load.
func (h Hot) At() clock.Millis { return h.at }

// Keys returns the number of keys in the set.
func (h Hot) Keys() int { return h.size }

// Percent returns the share of all requests that goes to the set, from 0 to 100.
func (h Hot) Percent() float64 { return h.percent }

// Share is one kind of request in the mix. It is immutable.
type Share struct {
	service     string
	method      string
	weight      float64
	uploadBytes int
	answerBytes int
}

// NewShare returns a kind of request. Each kind is sent in proportion to its weight in the mix.
func NewShare(service, method string, weight float64, uploadBytes, answerBytes int) Share {
	return Share{service: service, method: method, weight: weight, uploadBytes: uploadBytes, answerBytes: answerBytes}
}

// Service returns the name of the service that the requests are for.
func (s Share) Service() string { return s.service }

// Method returns the HTTP method.
func (s Share) Method() string { return s.method }

// Weight returns the weight of this kind, relative to the sum over the mix.
func (s Share) Weight() float64 { return s.weight }

// UploadBytes returns the length of the request body, 0 for no body.
func (s Share) UploadBytes() int { return s.uploadBytes }

// AnswerBytes returns the length of the response body that the requests ask for.
func (s Share) AnswerBytes() int { return s.answerBytes }
