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

// Pass describes one attempt of a request at the local target, for its Dialect.
type Pass struct {
	service   rules.Service
	epoch     table.Epoch
	leaseEnd  clock.Millis
	remaining clock.Millis
	id        string
	target    string
}

// Target returns the name that the target announced, "" if it announced none.
func (i Pass) Target() string { return i.target }

// Service returns the rules of the service that the target belongs to.
func (i Pass) Service() rules.Service { return i.service }

// Epoch returns the epoch of the ownership of the key, 0 for a request without a key.
func (i Pass) Epoch() table.Epoch { return i.epoch }

// Until returns the end of the lease on the boot clock of the machine. For a pooled service
// it is the instant until which the rules are valid.
func (i Pass) Until() clock.Millis { return i.leaseEnd }

// Left returns the time to the deadline in milliseconds, at least 1.
func (i Pass) Left() clock.Millis { return i.remaining }

// ID returns the identifier of this attempt. A retry of the request has another one.
func (i Pass) ID() string { return i.id }

// Judgement classifies a response of the target: Valid, NotRun or Mismatched.
type Judgement interface{ classification() }

// Whole means that the target responds to the request, with whatever status.
type Whole struct{}

// Declined means that the target did not run the request, so that a retry is safe.
type Declined struct {
	reason     result.Reason
	retryAfter clock.Millis
}

// NewDeclined returns the classification of a request that the target did not run. retryAfter
// is the delay in milliseconds that the target asks for, 0 if it names none.
func NewDeclined(reason result.Reason, retryAfter clock.Millis) Declined {
	return Declined{reason: reason, retryAfter: retryAfter}
}

// Foreign means that the response belongs to another request or is not a response of the
// target.
type Foreign struct{}

func (Whole) classification()    {}
func (Declined) classification() {}
func (Foreign) classification()  {}

// Dialect maps requests and responses to the header fields and statuses that the local
// target uses. It makes no decisions of its own.
type Dialect interface {
	// Dress returns the header fields of the request with those for the target added.
	Dress(r call.Request, i Pass) []call.Field
	// Judge classifies a response by its status and header fields.
	Judge(a call.Response, r call.Request, i Pass) Judgement
}

// nativeDialect uses the Verbena header fields.
type nativeDialect struct{}

func (nativeDialect) Dress(r call.Request, i Pass) []call.Field {
	fields := make([]call.Field, 0, len(r.Fields())+5)
	for _, f := range r.Fields() {
		if f.Name() != HeaderRequestID {
			fields = append(fields, f)
		}
	}
	fields = append(fields, call.NewField(HeaderRequestID, i.id),
		call.NewField(HeaderDeadline, strconv.FormatInt(int64(i.remaining), 10)))
	if r.Key() == "" {
		return fields
	}
	return append(fields,
		call.NewField(HeaderShard, strconv.FormatUint(uint64(r.Shard()), 10)),
		call.NewField(HeaderEpoch, strconv.FormatUint(uint64(i.epoch), 10)),
		call.NewField(HeaderLease, strconv.FormatInt(int64(i.leaseEnd), 10)))
}

func (nativeDialect) Judge(a call.Response, _ call.Request, i Pass) Judgement {
	switch a.Status() {
	case http.StatusServiceUnavailable:
		if _, ok := i.service.Shedding().(rules.ShedNotRun); ok {
			return NewDeclined(result.Shed, retryAfter(a))
		}
	case http.StatusPreconditionFailed:
		if _, ok := i.service.Fencing().(rules.Checked); ok && a.Field(HeaderRefused) == refusedStale {
			return NewDeclined(result.NotOwner, retryAfter(a))
		}
	}
	return Whole{}
}
