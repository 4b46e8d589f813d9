package entry

import (
	"strings"

	"github.com/valyala/fasthttp"

	"verbenabank/core/state/call"
)

// Header fields between callers and the system.
const (
	HeaderOutcome      = "Verbena-Outcome"
	HeaderReason       = "Verbena-Reason"
	HeaderRetryAfterMs = "Verbena-Retry-After-Ms"
	HeaderServedBy     = "Verbena-Served-By"
	HeaderRequestID    = "Verbena-Request-Id"
	HeaderDeadlineMs   = "Verbena-Deadline-Ms"
	HeaderRepeatable   = "Verbena-Repeatable"
	prefix             = "Verbena-"
)

// hopByHop fields concern one connection and are not passed on; nor are those that
// the codec writes by itself.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// requestFields returns the header fields that go to the target.
func requestFields(h *fasthttp.RequestHeader, id string) []call.Field {
	named := tokens(string(h.Peek("Connection")))
	fields := make([]call.Field, 0, h.Len()+1)
	for k, v := range h.All() {
		name := string(k)
		if !passed(name, named) || (foreign(name) && name != HeaderRepeatable) {
			continue
		}
		fields = append(fields, call.NewField(name, string(v)))
	}
	return append(fields, call.NewField(HeaderRequestID, id))
}

// answerFields returns the header fields that go to the caller.
func answerFields(a call.Answer) []call.Field {
	named := tokens(a.Field("Connection"))
	fields := make([]call.Field, 0, len(a.Fields()))
	for _, f := range a.Fields() {
		if passed(f.Name(), named) && !foreign(f.Name()) {
			fields = append(fields, f)
		}
	}
	return fields
}

// foreign reports whether only the system itself may set the field.
func foreign(name string) bool {
	return len(name) >= len(prefix) && strings.EqualFold(name[:len(prefix)], prefix)
}

func passed(name string, named map[string]bool) bool {
	return !hopByHop[name] && !named[strings.ToLower(name)]
}

// tokens returns the fields that a Connection field names, in lower case.
func tokens(value string) map[string]bool {
	if value == "" {
		return nil
	}
	set := map[string]bool{}
	for t := range strings.SplitSeq(value, ",") {
		set[strings.ToLower(strings.TrimSpace(t))] = true
	}
	return set
}
