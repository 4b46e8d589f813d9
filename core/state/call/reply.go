package call

import (
	"io"

	"verbenabank/core/state/result"
)

// Reply is what became of an attempt: Answer or Failure.
type Reply interface{ reply() }

// Response is the target's answer, whose body is still to be read. A read of the body
// returns io.EOF only if the answer is whole and valid, else an *Error. The body
// must be closed; closing it early cancels the request.
type Response struct {
	status int
	fields []Field
	length int64
	body   io.ReadCloser
}

// NewResponse returns the answer with its HTTP status, header fields, body and the
// announced length of the body in bytes, -1 if it is not announced.
func NewResponse(status int, fields []Field, body io.ReadCloser, length int64) Response {
	return Response{status: status, fields: fields, body: body, length: length}
}

// Status returns the HTTP status.
func (a Response) Status() int { return a.status }

// Fields returns the header fields; the caller must not change them.
func (a Response) Fields() []Field { return a.fields }

// Body returns the body.
func (a Response) Body() io.ReadCloser { return a.body }

// Length returns the announced length of the body in bytes, -1 if unknown.
func (a Response) Length() int64 { return a.length }

// Field returns the first value of the field with the canonical name, or "".
func (a Response) Field(name string) string {
	for _, f := range a.fields {
		if f.name == name {
			return f.value
		}
	}
	return ""
}

// Failure is an attempt without an answer.
type Failure struct{ outcome result.Outcome }

// Refuse returns the failure of a request that surely did not run.
func Refuse(reason result.Reason) Failure {
	return Failure{outcome: result.NewRefused(reason, 0)}
}

// Unknown returns the failure of a request that may have run.
func Unknown(reason result.Reason) Failure {
	return Failure{outcome: result.NewUnknown(reason)}
}

// NewFailure returns the failure with the outcome.
func NewFailure(o result.Outcome) Failure { return Failure{outcome: o} }

// Outcome returns a result.Refused or result.Unknown.
func (f Failure) Outcome() result.Outcome { return f.outcome }

func (Response) reply() {}
func (Failure) reply()  {}
