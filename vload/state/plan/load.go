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

// KeyDistribution is the distribution of requests over keys: a Zipf distribution with hot sets. It is immutable.
type KeyDistribution struct {
	count    int
	exponent float64
	hotSets  []HotSet
}

// NewKeyDistribution returns a Zipf distribution over a number of keys, the same for each service. The hot sets must be
// in the order of time.
func NewKeyDistribution(count int, exponent float64, hotSets []HotSet) KeyDistribution {
	return KeyDistribution{count: count, exponent: exponent, hotSets: hotSets}
}

// Count returns the number of keys of each service.
func (k KeyDistribution) Count() int { return k.count }

// Exponent returns the exponent of the Zipf distribution; 0 makes it uniform.
func (k KeyDistribution) Exponent() float64 { return k.exponent }

// HotSets returns the hot sets in the order of time. The caller must not change them.
func (k KeyDistribution) HotSets() []HotSet { return k.hotSets }

// HotSet is a hot set: a few keys that get a fixed share of the requests until the next hot set starts.
type HotSet struct {
	at      clock.Millis
	size    int
	percent float64
}

// NewHotSet returns a hot set of a number of keys that starts at an offset from the start of the load.
func NewHotSet(at clock.Millis, size int, percent float64) HotSet {
	return HotSet{at: at, size: size, percent: percent}
}

// At returns when the set becomes hot, as an offset from the start of the load.
func (h HotSet) At() clock.Millis { return h.at }

// Size returns the number of keys in the set.
func (h HotSet) Size() int { return h.size }

// Percent returns the share of all requests that goes to the set, from 0 to 100.
func (h HotSet) Percent() float64 { return h.percent }

// RequestKind is one kind of request in the mix. It is immutable.
type RequestKind struct {
	service     string
	method      string
	weight      float64
	uploadBytes int
	answerBytes int
}

// NewRequestKind returns a kind of request. Each kind is sent in proportion to its weight in the mix.
func NewRequestKind(service, method string, weight float64, uploadBytes, answerBytes int) RequestKind {
	return RequestKind{service: service, method: method, weight: weight, uploadBytes: uploadBytes, answerBytes: answerBytes}
}

// Service returns the name of the service that the requests are for.
func (k RequestKind) Service() string { return k.service }

// Method returns the HTTP method.
func (k RequestKind) Method() string { return k.method }

// Weight returns the weight of this kind, relative to the sum over the mix.
func (k RequestKind) Weight() float64 { return k.weight }

// UploadBytes returns the length of the request body, 0 for no body.
func (k RequestKind) UploadBytes() int { return k.uploadBytes }

// AnswerBytes returns the length of the response body that the requests ask for.
func (k RequestKind) AnswerBytes() int { return k.answerBytes }
