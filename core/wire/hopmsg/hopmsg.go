// Package hopmsg converts the requests, responses and outcomes of core/state to the messages of
// the Hop service, which forwards requests between daemons, and back.
package hopmsg

import (
	"io"

	"verbenabank/core/clock"
	"verbenabank/core/state/call"
	"verbenabank/core/state/load"
	"verbenabank/core/state/result"
	"verbenabank/core/state/table"
	"verbenabank/core/wire/wirepb"
)

// EncodeRequestHead returns the first message of a request. If awaitsInvite is set, the body is sent
// only after the receiver's Invite message, as with "Expect: 100-continue" in HTTP.
func EncodeRequestHead(r call.Request, awaitsInvite bool) *wirepb.RequestPart {
	headers, packed := encodeFields(r.Fields())
	return &wirepb.RequestPart{Part: &wirepb.RequestPart_Head{Head: &wirepb.RequestHead{
		Service: r.Service(), Method: r.Method(), Uri: r.URI(), Headers: headers, PackedHeaders: packed,
		Key: r.Key(), Shard: uint32(r.Shard()), Incarnation: uint64(r.Incarnation()), ContentLength: contentLength(r),
		Id: r.ID(), Priority: uint32(r.Priority()), AimMs: int64(r.LatencyGoal()), Repeatable: r.Repeatable(), Class: r.Class(),
		Waits: awaitsInvite, Origin: r.Origin(),
	}}}
}

func contentLength(r call.Request) int64 {
	if r.Body() == nil {
		return 0
	}
	return r.Length()
}

// EncodeInvite returns the message by which the receiver of a request asks for its body.
func EncodeInvite() *wirepb.AnswerPart {
	return &wirepb.AnswerPart{Part: &wirepb.AnswerPart_Invite{Invite: &wirepb.Invite{}}}
}

// EncodeRequestChunk returns a message with the next part of a request body. It does not copy p.
func EncodeRequestChunk(p []byte) *wirepb.RequestPart {
	return &wirepb.RequestPart{Part: &wirepb.RequestPart_Body{Body: p}}
}

// DecodeRequest returns the request with the head h. It has the body only if the content length
// in the head is not 0.
func DecodeRequest(h *wirepb.RequestHead, body io.Reader) call.Request {
	opts := []call.Option{
		call.WithFields(decodeFields(h.GetHeaders(), h.GetPackedHeaders())),
		call.WithKey(h.GetKey(), table.Shard(h.GetShard())),
		call.WithMember(table.Incarnation(h.GetIncarnation())),
		call.WithID(h.GetId()), call.WithPolicy(int(h.GetPriority()), clock.Millis(h.GetAimMs()), h.GetRepeatable()),
		call.WithClass(h.GetClass()), call.WithOrigin(h.GetOrigin()),
	}
	if h.GetContentLength() != 0 {
		opts = append(opts, call.WithBody(body, h.GetContentLength()), call.WithRemoteBody(h.GetWaits()))
	}
	return call.NewRequest(h.GetService(), h.GetMethod(), h.GetUri(), opts...)
}

// EncodeResponseHead returns the first message of a response.
func EncodeResponseHead(r call.Response) *wirepb.AnswerPart {
	headers, packed := encodeFields(r.Fields())
	return &wirepb.AnswerPart{Part: &wirepb.AnswerPart_Head{Head: &wirepb.AnswerHead{
		Status: uint32(r.Status()), Headers: headers, PackedHeaders: packed, ContentLength: r.Length(), Backlog: encodeBacklog(r.Backlog()),
	}}}
}

// DecodeResponse returns the response with the head h and the body, which the caller has to close.
func DecodeResponse(h *wirepb.AnswerHead, body io.ReadCloser) call.Response {
	return call.NewResponse(int(h.GetStatus()), decodeFields(h.GetHeaders(), h.GetPackedHeaders()), body, h.GetContentLength()).
		WithBacklog(decodeBacklog(h.GetBacklog()))
}

// EncodeResponseChunk returns a message with the next part of a response body. It does not copy p.
func EncodeResponseChunk(p []byte) *wirepb.AnswerPart {
	return &wirepb.AnswerPart{Part: &wirepb.AnswerPart_Body{Body: p}}
}

// EncodeResponseEnd returns the last message of a complete response. Without it the response counts
// as truncated.
func EncodeResponseEnd() *wirepb.AnswerPart {
	return &wirepb.AnswerPart{Part: &wirepb.AnswerPart_End{End: &wirepb.AnswerEnd{}}}
}

// EncodeFailure returns the message that ends an attempt without a complete response. An outcome
// of result.Answered is reported as interrupted.
func EncodeFailure(failure call.Failure) *wirepb.AnswerPart {
	f := &wirepb.Failure{Backlog: encodeBacklog(failure.Backlog())}
	switch o := failure.Outcome().(type) {
	case result.Refused:
		f.NotRun, f.Reason, f.RetryAfterMs, f.Sent = true, string(o.Reason()), int64(o.RetryAfter()), o.Sent()
		f.HoldOffMs = int64(o.HoldOff())
		f.Running, f.Waiting, f.MeanMs = uint32(o.TargetLoad().Running()), uint32(o.TargetLoad().Waiting()), int64(o.TargetLoad().MeanTime())
	case result.Unknown:
		f.Reason = string(o.Reason())
	case result.Answered:
		f.Reason = string(result.Interrupted)
	}
	return &wirepb.AnswerPart{Part: &wirepb.AnswerPart_Failure{Failure: f}}
}

// DecodeFailure returns the failure in a message: its outcome is result.Refused if the request certainly
// did not run, else result.Unknown.
func DecodeFailure(f *wirepb.Failure) call.Failure {
	return call.NewFailure(decodeOutcome(f)).WithBacklog(decodeBacklog(f.GetBacklog()))
}

func decodeOutcome(f *wirepb.Failure) result.Outcome {
	if f.GetNotRun() {
		o := result.NewRefused(result.Reason(f.GetReason()), clock.Millis(f.GetRetryAfterMs())).
			WithTargetLoad(result.NewTargetLoad(int(f.GetRunning()), int(f.GetWaiting()), clock.Millis(f.GetMeanMs()))).
			WithHoldOff(clock.Millis(f.GetHoldOffMs()))
		if f.GetSent() {
			return o.WithSent()
		}
		return o
	}
	return result.NewUnknown(result.Reason(f.GetReason()))
}

func encodeBacklog(b load.Backlog) *wirepb.Backlog {
	if !b.Known() {
		return nil
	}
	return &wirepb.Backlog{
		Slots: clamp(b.Slots()), Running: clamp(b.Running()), Waiting: clamp(b.Waiting()),
		WorkMs: clamp(int(b.Work())), MeanMs: clamp(int(b.MeanTime())),
		ColdMs: clamp(int(b.Cold().Left())), ColdAdmits: clamp(b.Cold().Admits()),
		ServedMs: clamp(int(b.Served())),
		Called:   b.Room().Called(), ShortPercent: clamp(fullShare - b.Room().Share()), RoomPriority: clamp(b.Room().Priority()),
	}
}

func decodeBacklog(b *wirepb.Backlog) load.Backlog {
	if b == nil {
		return load.Backlog{}
	}
	return load.NewBacklog(bounded(b.GetSlots()), bounded(b.GetRunning()), bounded(b.GetWaiting())).
		WithWork(clock.Millis(bounded(b.GetWorkMs())), clock.Millis(bounded(b.GetMeanMs()))).
		WithCold(load.NewColdStart(clock.Millis(bounded(b.GetColdMs())), bounded(b.GetColdAdmits()))).
		WithServed(clock.Millis(bounded(b.GetServedMs()))).
		WithRoom(decodeRoom(b))
}

// fullShare is the share of all requests in percent.
const fullShare = 100

func decodeRoom(b *wirepb.Backlog) load.Room {
	r := load.NewRoom(bounded(b.GetRoomPriority()), fullShare-min(fullShare, bounded(b.GetShortPercent())))
	if b.GetCalled() {
		return r.ForCall()
	}
	return r
}

// maxFigure bounds each figure of a backlog, so that it has at most four bytes on the wire and no sum overflows.
const maxFigure = 1<<28 - 1

func clamp(n int) uint32 { return uint32(max(0, min(n, maxFigure))) }

func bounded(n uint32) int { return int(min(n, maxFigure)) }
