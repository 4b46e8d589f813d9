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

// AttemptInfo describes one attempt of a request at the local target, for its Dialect.
type AttemptInfo struct {
	service   rules.Service
	epoch     table.Epoch
	leaseEnd  clock.Millis
	remaining clock.Millis
	id        string
	target    string
}

// Target returns the name that the target announced, "" if it announced none.
func (i AttemptInfo) Target() string { return i.target }

// Service returns the rules of the service that the target belongs to.
func (i AttemptInfo) Service() rules.Service { return i.service }

// Epoch returns the epoch of the ownership of the key, 0 for a request without a key.
func (i AttemptInfo) Epoch() table.Epoch { return i.epoch }

// LeaseEnd returns the end of the lease on the boot clock of the machine. For a pooled service
// it is the instant until which the rules are valid.
func (i AttemptInfo) LeaseEnd() clock.Millis { return i.leaseEnd }

// Remaining returns the time to the deadline in milliseconds, at least 1.
func (i AttemptInfo) Remaining() clock.Millis { return i.remaining }

// ID returns the identifier of this attempt. A retry of the request has another one.
func (i AttemptInfo) ID() string { return i.id }

// Classification classifies a response of the target: Valid, NotRun or Mismatched.
type Classification interface{ classification() }

// Valid means that the target responds to the request, with whatever status.
type Valid struct{}

// NotRun means that the target did not run the request, so that a retry is safe.
type NotRun struct {
	reason     result.Reason
	retryAfter clock.Millis
}

// NewNotRun returns the classification of a request that the target did not run. retryAfter
// is the delay in milliseconds that the target asks for, 0 if it names none.
func NewNotRun(reason result.Reason, retryAfter clock.Millis) NotRun {
	return NotRun{reason: reason, retryAfter: retryAfter}
}

// Mismatched means that the response belongs to another request or is not a response of the
// target.
type Mismatched struct{}

func (Valid) classification()      {}
func (NotRun) classification()     {}
func (Mismatched) classification() {}

// Dialect maps requests and responses to the header fields and statuses that the local
// target uses. It makes no decisions of its own.
type Dialect interface {
	// AddHeaders returns the header fields of the request with those for the target added.
	AddHeaders(r call.Request, i AttemptInfo) []call.Field
	// Classify classifies a response by its status and header fields.
	Classify(a call.Response, r call.Request, i AttemptInfo) Classification
}

// LoadDialect is implemented by a Dialect whose targets report their own load.
type LoadDialect interface {
	// TargetReport returns what a response says of the load of its target, and whether it says anything. The error is
	// returned for a report that is not valid.
	TargetReport(a call.Response) (TargetReport, bool, error)
}

// nativeDialect uses the Verbena header fields.
type nativeDialect struct{}

func (nativeDialect) AddHeaders(r call.Request, i AttemptInfo) []call.Field {
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

// Classify classifies a response. Targets that return the identifier of the attempt are protected from responses
// that belong to another one.
func (nativeDialect) Classify(a call.Response, _ call.Request, i AttemptInfo) Classification {
	if id := a.Field(HeaderRequestID); id != "" && id != i.id {
		return Mismatched{}
	}
	switch a.Status() {
	case http.StatusServiceUnavailable:
		if _, ok := i.service.Shedding().(rules.ShedNotRun); ok {
			return NewNotRun(result.Shed, retryAfter(a))
		}
	case http.StatusPreconditionFailed:
		if _, ok := i.service.Fencing().(rules.Checked); ok && a.Field(HeaderRefused) == refusedStale {
			return NewNotRun(result.NotOwner, retryAfter(a))
		}
	}
	return Valid{}
}
