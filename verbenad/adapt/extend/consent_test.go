package extend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/verbenad/adapt/extend"
)

// copyDelay is how long after a response a copy of it comes.
const copyDelay = 20 * time.Millisecond

// copyMark divides the text of a response from what the target writes copyDelay later.
const copyMark = "|"

// answerRaw returns the address of a target that answers the extensions on each connection with the texts in turn, and
// closes the connection after the last one. It returns the number of connections, too.
func answerRaw(t *testing.T, texts ...string) (string, *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		reader := bufio.NewReader(c)
		for _, text := range texts {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			response, late, _ := strings.Cut(text, copyMark)
			_, _ = io.WriteString(c, response)
			if late != "" {
				time.Sleep(copyDelay)
				_, _ = io.WriteString(c, late)
			}
		}
	}
	var conns atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go serve(c)
		}
	}()
	return l.Addr().String(), &conns
}

// TestBrokenResponsesAreNoConsent guards against an extension that counts as accepted although the target in trouble has
// not said so: a status that is none or an interim one, a head that only a lenient parser understands, a response
// that breaks off.
func TestBrokenResponsesAreNoConsent(t *testing.T) {
	for name, text := range map[string]string{
		"status 000":             "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
		"status 099":             "HTTP/1.1 099 OK\r\nContent-Length: 0\r\n\r\n",
		"interim only":           "HTTP/1.1 103 Early Hints\r\n\r\n",
		"other protocol":         "HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"interim, then refusal":  "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n",
		"redirect":               "HTTP/1.1 302 Found\r\nLocation: /\r\nContent-Length: 0\r\n\r\n",
		"blank in a name":        "HTTP/1.1 200 OK\r\nX Odd: v\r\nContent-Length: 0\r\n\r\n",
		"blank before the colon": "HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n",
		"blank at the start":     "HTTP/1.1 204 No Content\r\nA: b\r\n X-Odd: v\r\n\r\n",
		"tab at the start":       "HTTP/1.1 204 No Content\r\nA: b\r\n\tX-Odd: v\r\n\r\n",
		"newline at the start":   "HTTP/1.1 204 No Content\r\nA: b\r\n\nX-Odd: v\r\n\r\n",
		"control byte in a name": "HTTP/1.1 204 No Content\r\nX\x01Odd: v\r\n\r\n",
		"odd interim response":   "HTTP/1.1 100 Continue\r\nX Odd: v\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
		"short body":             "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"short chunk":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok",
		"cut head":               "HTTP/1.1 204 No Content\r\nA: b\r\n",
		"no response":            "",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, stop := extend.New()
			defer stop()
			address, _ := answerRaw(t, text)
			e.SetAddress(address)
			is.True(!e.Extend(context.Background(), 12, []string{"a"}))
		})
	}
}

// TestConsentIsThatOfTheExtension guards against a response that is taken for that of the next extension: the final one
// behind an interim one, and one that the target writes twice.
func TestConsentIsThatOfTheExtension(t *testing.T) {
	const accepted, refused = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
	t.Run("interim", func(t *testing.T) {
		is := is.New(t)
		e, stop := extend.New()
		defer stop()
		address, conns := answerRaw(t, "HTTP/1.1 103 Early Hints\r\n\r\n"+accepted, refused, accepted, refused)
		e.SetAddress(address)
		for n := range 4 {
			is.Equal(e.Extend(context.Background(), 12, []string{"a"}), n%2 == 0)
		}
		is.Equal(conns.Load(), int64(1))
	})
	t.Run("twice", func(t *testing.T) {
		is := is.New(t)
		e, stop := extend.New()
		defer stop()
		address, conns := answerRaw(t, accepted+copyMark+accepted, refused)
		e.SetAddress(address)
		for n := range 4 {
			is.True(e.Extend(context.Background(), 12, []string{"a"}))
			is.Equal(conns.Load(), int64(n+1)) // the copy is no answer to a second extension on its connection
			time.Sleep(2 * copyDelay)
		}
	})
}
