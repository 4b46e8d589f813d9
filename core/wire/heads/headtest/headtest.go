// Package headtest has servers for tests of clients: they answer with texts that no HTTP library would write.
package headtest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Script returns the text of the response to a request, the first of its connection has the number 0, and whether the
// connection is used further. The body of the request has been read. It may be called by several goroutines.
type Script func(number int, r *http.Request) (text string, further bool)

// Once answers one request on each connection.
func Once(text string) Script {
	return func(int, *http.Request) (string, bool) { return text, false }
}

// InTurn answers the requests on each connection with the texts in turn.
func InTurn(texts ...string) Script {
	return func(number int, _ *http.Request) (string, bool) { return texts[number], number+1 < len(texts) }
}

// Start starts a server for the duration of the test and returns its address.
func Start(t testing.TB, s Script) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return l.Addr().String()
}

func (s Script) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for number, further := 0, true; further; number++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		var text string
		text, further = s(number, r)
		_, _ = io.WriteString(c, text)
	}
}
