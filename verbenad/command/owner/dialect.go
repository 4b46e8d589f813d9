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

// Pass is what a daemon knows of a request that it sends to its target.
type Pass struct {
	service rules.Service
	epoch   table.Epoch
	until   clock.Millis
	left    clock.Millis
	id      string
	target  string
}

// Target returns the name of the target, "" if it has none.
func (p Pass) Target() string { return p.target }

// Service returns the service of the target.
func (p Pass) Service() rules.Service { return p.service }

// Epoch returns the epoch at which the daemon owns the key, 0 without a key.
func (p Pass) Epoch() table.Epoch { return p.epoch }

// Until returns the end of the lease on the boot clock.
func (p Pass) Until() clock.Millis { return p.until }

// Left returns how many milliseconds the request may take.
func (p Pass) Left() clock.Millis { return p.left }

// ID returns the identity of this attempt.
func (p Pass) ID() string { return p.id }

// Judgement is what an answer of a target means: Whole, Declined or Foreign.
type Judgement interface{ judgement() }

// Whole answers are those of the target to the request.
type Whole struct{}

// Declined says that the target did not run the request.
type Declined struct {
	reason result.Reason
	after  clock.Millis
}

// NewDeclined returns the judgement that the target did not run the request, and when it
// may be asked again, 0 if it did not say.
func NewDeclined(reason result.Reason, after clock.Millis) Declined {
	return Declined{reason: reason, after: after}
}

// Foreign answers belong to another request or are no answer.
type Foreign struct{}

func (Whole) judgement()    {}
func (Declined) judgement() {}
func (Foreign) judgement()  {}

// Dialect is how the target beside is spoken to. It only maps names.
type Dialect interface {
	// Dress returns the header fields of a request with those for the target.
	Dress(r call.Request, p Pass) []call.Field
	// Judge says what the head of an answer means.
	Judge(a call.Response, r call.Request, p Pass) Judgement
}

// plain is the product's own dialect.
type plain struct{}

func (plain) Dress(r call.Request, p Pass) []call.Field {
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

func (plain) Judge(a call.Response, _ call.Request, p Pass) Judgement {
	switch a.Status() {
	case http.StatusServiceUnavailable:
		if _, ok := p.service.Shedding().(rules.ShedNotRun); ok {
			return NewDeclined(result.Shed, retryAfter(a))
		}
	case http.StatusPreconditionFailed:
		if _, ok := p.service.Fencing().(rules.Checked); ok && a.Field(HeaderRefused) == refusedStale {
			return NewDeclined(result.NotOwner, retryAfter(a))
		}
	}
	return Whole{}
}
