package remote

import (
	"errors"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/wire/heads/headtest"
)

// startDaemon returns the address of a daemon that answers each request with the text and closes the connection.
func startDaemon(t *testing.T, text string) netip.AddrPort {
	return netip.MustParseAddrPort(headtest.Start(t, headtest.Once(text)))
}

// TestBrokenResponsesAreErrors guards against a report made of a response that is broken: the operator would take it for
// the state of the daemon.
func TestBrokenResponsesAreErrors(t *testing.T) {
	for text, want := range map[string]Kind{
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}":                                   KindUnreachable,
		"HTTP/1.1 200 OK\r\nX Odd: v\r\nContent-Length: 2\r\n\r\n{}":                       KindUnreachable,
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}":                                  KindUnreachable,
		"HTTP/1.1 200 OK\r\nA: b\r\n X-Odd: v\r\nContent-Length: 2\r\n\r\n{}":              KindUnreachable,
		"HTTP/1.1 103 x\r\nX Odd: v\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}": KindUnreachable,
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}":                                   KindUnreachable,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n":                 KindUnreachable,
		"": KindUnreachable,
		"HTTP/1.1 302 Found\r\nLocation: /\r\nContent-Length: 2\r\n\r\n{}": KindRefused,
		"HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nno":                 KindRefused,
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno":                   KindUnreadable,
	} {
		_, err := Get(startDaemon(t, text), Status{})
		var e *Error
		if !errors.As(err, &e) || e.Kind() != want {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// TestSoundResponseIsReturned covers blanks and empty values in a sound head, and an interim response.
func TestSoundResponseIsReturned(t *testing.T) {
	is := is.New(t)
	body, err := Get(startDaemon(t, "HTTP/1.1 103 x\r\n\r\nHTTP/1.1 200 OK\r\nA: b c\r\nEmpty:\r\nContent-Length: 2\r\n\r\n{}"), Status{})
	is.NoErr(err)
	is.Equal(string(body), "{}")
}
