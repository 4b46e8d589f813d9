package owner

import (
	"net/http"
	"strconv"

	"verbenabank/core/clock"
	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

// AttemptInfo is what a daemon knows of a request that it sends to its target.
type AttemptInfo struct {
	service rules.Service
	epoch   table.Epoch
	until   clock.Millis
	left    clock.Millis
	id      string
	target  string
}

// Target returns the name of the target, "" if it has none.
func (p AttemptInfo) Target() string { return p.target }

// Service returns the service of the target.
func (p AttemptInfo) Service() rules.Service { return p.service }

// Epoch returns the epoch at which the daemon owns the key, 0 without a key.
func (p AttemptInfo) Epoch() table.Epoch { return p.epoch }

// LeaseEnd returns the end of the lease on the boot clock.
func (p AttemptInfo) LeaseEnd() clock.Millis { return p.until }

// Remaining returns how many milliseconds the request may take.
func (p AttemptInfo) Remaining() clock.Millis { return p.left }

// ID returns the identity of this attempt.
func (p AttemptInfo) ID() string { return p.id }

// Classification is what an answer of a target means: Whole, Declined or Foreign.
type Classification interface{ judgement() }

// Valid answers are those of the target to the request.
type Valid struct{}

// NotRun says that the target did not run the request.
type NotRun struct {
	reason result.Reason
	after  clock.Millis
}

// NewNotRun returns the judgement that the target did not run the request, and when it
// may be asked again, 0 if it did not say.
func NewNotRun(reason result.Reason, after clock.Millis) NotRun {
	return NotRun{reason: reason, after: after}
}

// Mismatched answers belong to another request or are no answer.
type Mismatched struct{}

func (Valid) judgement()      {}
func (NotRun) judgement()     {}
func (Mismatched) judgement() {}

// Dialect is how the target beside is spoken to. It only maps names.
type Dialect interface {
	// AddHeaders returns the header fields of a request with those for the target.
	AddHeaders(r call.Request, p AttemptInfo) []call.Field
	// Classify says what the head of an answer means.
	Classify(a call.Response, r call.Request, p AttemptInfo) Classification
}

// plain is the product's own dialect.
type plain struct{}

func (plain) AddHeaders(r call.Request, p AttemptInfo) []call.Field {
	fields := make([]call.Field, 0, len(r.Fields())+5)
	for _, f := range r.Fields() {
		if f.Name() != HeaderRequestID {
			fields = append(fields, f)
		}
	}
	fields = append(fields, call.NewField(HeaderRequestID, p.id),
		call.NewField(HeaderDeadline, strconv.FormatInt(int64(p.left), 10)))
	if r.Key() == "" {
		return fields
	}
	return append(fields,
		call.NewField(HeaderShard, strconv.FormatUint(uint64(r.Shard()), 10)),
		call.NewField(HeaderEpoch, strconv.FormatUint(uint64(p.epoch), 10)),
		call.NewField(HeaderLease, strconv.FormatInt(int64(p.until), 10)))
}

func (plain) Classify(a call.Response, _ call.Request, p AttemptInfo) Classification {
	switch a.Status() {
	case http.StatusServiceUnavailable:
		if _, ok := p.service.Shedding().(rules.ShedNotRun); ok {
			return NewNotRun(result.Shed, retryAfter(a))
		}
	case http.StatusPreconditionFailed:
		if _, ok := p.service.Fencing().(rules.Checked); ok && a.Field(HeaderRefused) == refusedStale {
			return NewNotRun(result.NotOwner, retryAfter(a))
		}
	}
	return Valid{}
}
