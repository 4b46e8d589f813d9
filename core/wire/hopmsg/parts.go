// Package parts maps between core/state/call and the messages of the Hop
// service.
package hopmsg

import (
	"io"

	"verbenabank/core/clock"
	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/core/state/table"
	"verbenabank/core/wire/wirepb"
)

// EncodeRequestHead returns the first message of a request. One that waits sends its body only after an
// invitation.
func EncodeRequestHead(r call.Request, waits bool) *wirepb.RequestPart {
	return &wirepb.RequestPart{Part: &wirepb.RequestPart_Head{Head: &wirepb.RequestHead{
		Service: r.Service(), Method: r.Method(), Uri: r.URI(), Headers: headers(r.Fields()),
		Key: r.Key(), Shard: uint32(r.Shard()), Incarnation: uint64(r.Incarnation()), ContentLength: length(r),
		Id: r.ID(), Priority: uint32(r.Priority()), AimMs: int64(r.LatencyGoal()), Repeatable: r.Repeatable(), Class: r.Class(),
		Waits: waits,
	}}}
}

func length(r call.Request) int64 {
	if r.Body() == nil {
		return 0
	}
	return r.Length()
}

// EncodeInvite returns the message that asks for the body of a request.
func EncodeInvite() *wirepb.AnswerPart {
	return &wirepb.AnswerPart{Part: &wirepb.AnswerPart_Invite{Invite: &wirepb.Invite{}}}
}

// EncodeRequestChunk returns a message with a part of a request's body.
func EncodeRequestChunk(p []byte) *wirepb.RequestPart {
	return &wirepb.RequestPart{Part: &wirepb.RequestPart_Body{Body: p}}
}

// DecodeRequest returns the request with the head h and the body.
func DecodeRequest(h *wirepb.RequestHead, body io.Reader) call.Request {
	opts := []call.Option{
		call.WithFields(fields(h.GetHeaders())),
		call.WithKey(h.GetKey(), table.Shard(h.GetShard())),
		call.WithMember(table.Incarnation(h.GetIncarnation())),
		call.WithID(h.GetId()), call.WithPolicy(int(h.GetPriority()), clock.Millis(h.GetAimMs()), h.GetRepeatable()),
		call.WithClass(h.GetClass()),
	}
	if h.GetContentLength() != 0 {
		opts = append(opts, call.WithBody(body, h.GetContentLength()), call.WithRemoteBody(h.GetWaits()))
	}
	return call.NewRequest(h.GetService(), h.GetMethod(), h.GetUri(), opts...)
}

// EncodeResponseHead returns the first message of an answer.
func EncodeResponseHead(a call.Response) *wirepb.AnswerPart {
	return &wirepb.AnswerPart{Part: &wirepb.AnswerPart_Head{Head: &wirepb.AnswerHead{
		Status: uint32(a.Status()), Headers: headers(a.Fields()), ContentLength: a.Length(),
	}}}
}

// DecodeResponse returns the answer with the head h and the body.
func DecodeResponse(h *wirepb.AnswerHead, body io.ReadCloser) call.Response {
	return call.NewResponse(int(h.GetStatus()), fields(h.GetHeaders()), body, h.GetContentLength())
}

// EncodeResponseChunk returns a message with a part of an answer's body.
func EncodeResponseChunk(p []byte) *wirepb.AnswerPart {
	return &wirepb.AnswerPart{Part: &wirepb.AnswerPart_Body{Body: p}}
}

// EncodeResponseEnd returns the message that says that the answer was whole.
func EncodeResponseEnd() *wirepb.AnswerPart {
	return &wirepb.AnswerPart{Part: &wirepb.AnswerPart_End{End: &wirepb.AnswerEnd{}}}
}

// EncodeFailure returns the message for an attempt without a whole answer.
func EncodeFailure(o result.Outcome) *wirepb.AnswerPart {
	f := &wirepb.Failure{}
	switch o := o.(type) {
	case result.Refused:
		f.NotRun, f.Reason, f.RetryAfterMs, f.Sent = true, string(o.Reason()), int64(o.RetryAfter()), o.Sent()
		f.Running, f.Waiting, f.MeanMs = uint32(o.TargetLoad().Running()), uint32(o.TargetLoad().Waiting()), int64(o.TargetLoad().MeanTime())
	case result.Unknown:
		f.Reason = string(o.Reason())
	case result.Answered:
		f.Reason = string(result.Interrupted)
	}
	return &wirepb.AnswerPart{Part: &wirepb.AnswerPart_Failure{Failure: f}}
}

// DecodeFailure returns the outcome that a failure tells.
func DecodeFailure(f *wirepb.Failure) result.Outcome {
	if f.GetNotRun() {
		o := result.NewRefused(result.Reason(f.GetReason()), clock.Millis(f.GetRetryAfterMs())).
			WithTargetLoad(result.NewTargetLoad(int(f.GetRunning()), int(f.GetWaiting()), clock.Millis(f.GetMeanMs())))
		if f.GetSent() {
			return o.WithSent()
		}
		return o
	}
	return result.NewUnknown(result.Reason(f.GetReason()))
}

func headers(list []call.Field) []*wirepb.HeaderField {
	out := make([]*wirepb.HeaderField, 0, len(list))
	for _, f := range list {
		out = append(out, &wirepb.HeaderField{Name: f.Name(), Value: []byte(f.Value())})
	}
	return out
}

func fields(list []*wirepb.HeaderField) []call.Field {
	out := make([]call.Field, 0, len(list))
	for _, h := range list {
		out = append(out, call.NewField(h.GetName(), string(h.GetValue())))
	}
	return out
}
