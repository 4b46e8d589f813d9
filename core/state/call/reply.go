package call

import (
	"io"

	"verbenabank/core/state/load"
	"verbenabank/core/state/result"
)

// Reply is the result of an attempt: Response or Failure.
type Reply interface{ reply() }

// Response is the response of the target, whose body is still to be read. Reading the body
// returns io.EOF only if the response is complete and valid, else an *Error. The body
// must be closed; closing it early cancels the request.
type Response struct {
	status  int
	fields  []Field
	length  int64
	body    io.ReadCloser
	backlog load.Backlog
}

// NewResponse returns the response with its HTTP status, header fields, body and the
// declared length of the body in bytes, -1 if no length is declared.
func NewResponse(status int, fields []Field, body io.ReadCloser, length int64) Response {
	return Response{status: status, fields: fields, body: body, length: length}
}

// Status returns the HTTP status.
func (r Response) Status() int { return r.status }

// Fields returns the header fields. The caller must not modify the list.
func (r Response) Fields() []Field { return r.fields }

// Body returns the body, which the caller must close.
func (r Response) Body() io.ReadCloser { return r.body }

// Length returns the declared length of the body in bytes, -1 if it is unknown.
func (r Response) Length() int64 { return r.length }

// WithBacklog returns the response with what its target has left to do.
func (r Response) WithBacklog(b load.Backlog) Response {
	r.backlog = b
	return r
}

// Backlog returns what the target has left to do, the zero value if that is not known.
func (r Response) Backlog() load.Backlog { return r.backlog }

// WithBody returns the response with another reader of the same body.
func (r Response) WithBody(body io.ReadCloser) Response {
	r.body = body
	return r
}

// Field returns the first value of the field with the canonical name, or "".
func (r Response) Field(name string) string {
	for _, f := range r.fields {
		if f.name == name {
			return f.value
		}
	}
	return ""
}

// Failure is the result of an attempt without a response.
type Failure struct {
	outcome result.Outcome
	backlog load.Backlog
}

// Refuse returns the failure of a request that certainly did not run. It names no time for a
// retry.
func Refuse(reason result.Reason) Failure {
	return Failure{outcome: result.NewRefused(reason, 0)}
}

// Unknown returns the failure of a request that may have run.
func Unknown(reason result.Reason) Failure {
	return Failure{outcome: result.NewUnknown(reason)}
}

// NewFailure returns the failure with the outcome.
func NewFailure(o result.Outcome) Failure { return Failure{outcome: o} }

// Outcome returns a result.Refused or result.Unknown, nil for the zero Failure.
func (f Failure) Outcome() result.Outcome { return f.outcome }

// WithBacklog returns the failure with what the target has left to do.
func (f Failure) WithBacklog(b load.Backlog) Failure {
	f.backlog = b
	return f
}

// Backlog returns what the target has left to do, the zero value if that is not known.
func (f Failure) Backlog() load.Backlog { return f.backlog }

// BacklogOf returns what the target of a reply has left to do, the zero value if that is not known.
func BacklogOf(r Reply) load.Backlog {
	switch r := r.(type) {
	case Response:
		return r.backlog
	case Failure:
		return r.backlog
	}
	return load.Backlog{}
}

func (Response) reply() {}
func (Failure) reply()  {}
