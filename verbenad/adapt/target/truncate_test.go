package target_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestResponseThatBreaksOffIsNotComplete guards against a response that looks whole although the target stopped in the
// middle of it, as in its header, and closed the connection: the caller would get a 200 with an empty or a short
// body. A body without a length ends with its connection, so only its header is cut.
func TestResponseThatBreaksOffIsNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Signature: s.r-1\r\n"
	for name, response := range map[string]struct {
		text string
		cuts int // the response is cut after each number of bytes below
	}{
		"length":         {text: head + "Content-Length: 12\r\n\r\nfestoon post"},
		"length first":   {text: "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nRequest-Id: r-1\r\n\r\nfestoon post"},
		"chunks":         {text: head + "Transfer-Encoding: chunked\r\n\r\n5\r\nfesto\r\n7\r\non post\r\n0\r\n\r\n"},
		"trailer":        {text: head + "Transfer-Encoding: chunked\r\n\r\n5\r\nfesto\r\n0\r\nName: value\r\n\r\n"},
		"empty":          {text: head + "Content-Length: 0\r\n\r\n"},
		"close":          {text: head + "Connection: close\r\nContent-Length: 12\r\n\r\nfestoon post"},
		"until close":    {text: head + "\r\nfestoon post", cuts: len(head) + 2},
		"no content":     {text: "HTTP/1.1 204 No Content\r\nRequest-Id: r-1\r\n\r\n"},
		"interim before": {text: "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "Content-Length: 5\r\n\r\nbody\n"},
		"bare newlines":  {text: strings.ReplaceAll(head, "\r\n", "\n") + "Content-Length: 5\n\nbody\n"},
		"folded field":   {text: head + "Name: a\r\n b\r\nContent-Length: 5\r\n\r\nbody\n"},
		"refusal":        {text: "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: r-1\r\nContent-Length: 4\r\n\r\nbusy"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cuts := response.cuts
			if cuts == 0 {
				cuts = len(response.text)
			}
			address, count := startTarget(t, func(c net.Conn, _ *http.Request, count int64) bool {
				_, _ = io.WriteString(c, response.text[:count-1])
				return false
			})
			x := newTarget(t, address)
			for cut := range cuts {
				is.Equal(count.Load(), int64(cut))
				body, outcome := readReply(x.Send(context.Background(), repeated(fmt.Sprintf("r-%d", cut))))
				if !strings.HasPrefix(outcome, "unknown") {
					t.Errorf("cut after %q: %s, body %q", response.text[:cut], outcome, body)
				}
			}
		})
	}
}
