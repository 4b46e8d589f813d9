package target_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/state/call"
	"verbenabank/verbenad/adapt/target"
)

// oddNames returns names of header fields that hold a blank or a control byte, at the start, inside and at the end.
func oddNames() []string {
	list := []string{"Content-Length ", "Content Length", " Content-Length", "Transfer-Encoding ", "Connection ", "Request-Id  ", "X  Odd", "\t X-Odd"}
	odd := []byte{' ', 0x7f}
	for c := range byte(' ') {
		odd = append(odd, c)
	}
	for _, c := range odd {
		list = append(list, string(c)+"X-Odd", "X"+string(c)+"Odd", "X-Odd"+string(c))
	}
	return list
}

// headsWith returns responses with the line in a head: of each framing, of several statuses, interim ones included, and
// at the start, in the middle and at the end of the head.
func headsWith(line string) map[string]string {
	responses := map[string]string{}
	for name, k := range map[string]struct{ status, framing, body string }{
		"length":      {"200 OK", "Content-Length: 2", "ok"},
		"chunks":      {"200 OK", "Transfer-Encoding: chunked", "2\r\nok\r\n0\r\n\r\n"},
		"until close": {"200 OK", "Connection: close", "ok"},
		"empty":       {"201 Created", "Content-Length: 0", ""},
		"no content":  {"204 No Content", "Name: v", ""},
		"unchanged":   {"304 Not Modified", "Content-Length: 2", ""},
		"refusal":     {"503 Service Unavailable", "Content-Length: 2", "ok"},
		"odd status":  {"999 Odd", "Content-Length: 2", "ok"},
	} {
		fields := []string{"Request-Id: r-1", k.framing, "Response-Signature: s"}
		for place := range len(fields) + 1 {
			lines := append(append(append([]string{"HTTP/1.1 " + k.status}, fields[:place]...), line), fields[place:]...)
			responses[fmt.Sprintf("%s, place %d", name, place)] = strings.Join(lines, "\r\n") + "\r\n\r\n" + k.body
		}
	}
	for _, status := range []string{"100 Continue", "103 Early Hints"} {
		responses["interim "+status] = "HTTP/1.1 " + status + "\r\nLink: </a>\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	}
	responses["trailer"] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + line + "\r\n\r\n"
	return responses
}

// sendOnce sends a request to a target that answers with the text and closes, and returns the reply.
func sendOnce(method, response string) call.Reply {
	n := &inputConn{}
	n.Reset([]byte(response))
	x, stop := target.New(target.WithDial(func(context.Context, string) (net.Conn, error) { return n, nil }), target.WithLinger(0))
	defer stop()
	x.SetAddress("a")
	return x.Send(context.Background(), attempt(call.NewRequest("s", method, "/")))
}

// TestOddFieldNameIsNoResponse guards against a response of a target in trouble that reaches the caller although the name of
// a header field holds a blank or a control byte: the parser trims blanks before the colon, takes a line that starts
// with one for a part of the value before it, and the rest of the head behind a bare newline for the body.
func TestOddFieldNameIsNoResponse(t *testing.T) {
	for _, name := range oddNames() {
		t.Run(fmt.Sprintf("%q", name), func(t *testing.T) {
			for shape, response := range headsWith(name + ": 2") {
				for _, method := range []string{"GET", "HEAD"} {
					body, o := readReply(sendOnce(method, response))
					switch {
					case shape == "trailer" && method == "HEAD": // the body isn't read
					case shape == "trailer" && o == "unknown truncated":
					case o != "unknown interrupted":
						t.Errorf("%s, %s: %s, body %q", shape, method, o, body)
					}
				}
			}
		})
	}
}

// TestSoundHeadsPass covers what the check of field names must not refuse: each character of a token, empty values, and
// blanks around and inside of values.
func TestSoundHeadsPass(t *testing.T) {
	const token = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	lines := map[string]string{"A: v": "v", "A:": "", "A: ": "", "A:v": "v", "A: \t v \t": "v", "A: v w\tx": "v w\tx", "A: b: c": "b: c", "A: \xff": "\xff"}
	for _, c := range token {
		lines[string(c)+": v"] = "v"
		lines["a"+string(c)+": v"] = "v"
	}
	lines[token+": v"] = "v"
	for line, value := range lines {
		name, _, _ := strings.Cut(line, ":")
		for shape, response := range headsWith(line) {
			is := is.New(t)
			r, ok := sendOnce("GET", response).(call.Response)
			if !ok {
				t.Errorf("%q, %s: no response", line, shape)
				continue
			}
			_, err := io.ReadAll(r.Body())
			is.NoErr(err)
			found := strings.HasPrefix(shape, "interim") || shape == "trailer" // these fields aren't passed on
			for _, f := range r.Fields() {
				found = found || strings.EqualFold(f.Name(), name) && f.Value() == value
			}
			if !found {
				t.Errorf("%q, %s: the field is missing", line, shape)
			}
		}
	}
}
