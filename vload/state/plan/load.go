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

// KeyDistribution says which keys are asked for, by a Zipf distribution.
type KeyDistribution struct {
	count    int
	exponent float64
	hot      []HotSet
}

// NewKeyDistribution returns a distribution over count keys for each service.
func NewKeyDistribution(count int, exponent float64, hot []HotSet) KeyDistribution {
	return KeyDistribution{count: count, exponent: exponent, hot: hot}
}

// Count returns the number of keys of each service.
func (k KeyDistribution) Count() int { return k.count }

// Exponent returns the exponent of the distribution.
func (k KeyDistribution) Exponent() float64 { return k.exponent }

// HotSets returns the hot sets in the order of time.
func (k KeyDistribution) HotSets() []HotSet { return k.hot }

// HotSet is a set of keys that takes a share of the requests until the next set.
type HotSet struct {
	at      clock.Millis
	keys    int
	percent float64
}

// NewHotSet returns a hot set of a number of keys that starts at a time after the
// start of the load.
func NewHotSet(at clock.Millis, keys int, percent float64) HotSet {
	return HotSet{at: at, keys: keys, percent: percent}
}

// At returns when the set becomes hot, counted from the start of the load.
func (h HotSet) At() clock.Millis { return h.at }

// Size returns how many keys are hot.
func (h HotSet) Size() int { return h.keys }

// Percent returns the share of the requests that go to them.
func (h HotSet) Percent() float64 { return h.percent }

// RequestKind is one kind of request.
type RequestKind struct {
	service     string
	method      string
	weight      float64
	uploadBytes int
	answerBytes int
}

// NewRequestKind returns a kind of request that is sent in proportion to its weight.
func NewRequestKind(service, method string, weight float64, uploadBytes, answerBytes int) RequestKind {
	return RequestKind{service: service, method: method, weight: weight, uploadBytes: uploadBytes, answerBytes: answerBytes}
}

// Service returns the service that is asked.
func (s RequestKind) Service() string { return s.service }

// Method returns the HTTP method.
func (s RequestKind) Method() string { return s.method }

// Weight returns the weight of this kind among all.
func (s RequestKind) Weight() float64 { return s.weight }

// UploadBytes returns the length of the request body.
func (s RequestKind) UploadBytes() int { return s.uploadBytes }

// AnswerBytes returns the length of the answer that is asked for.
func (s RequestKind) AnswerBytes() int { return s.answerBytes }
