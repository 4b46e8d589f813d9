package heads_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/wire/heads"
	"verbenabank/core/wire/heads/headtest"
)

// post sends a request, which the client doesn't send again by itself, and returns the status and the body of the response.
func post(client *http.Client, address string) (int, string, error) {
	r, err := client.Post("http://"+address, "", http.NoBody)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = r.Body.Close() }()
	body, err := io.ReadAll(r.Body)
	return r.StatusCode, string(body), err
}

// pieceConn is a connection that is read in pieces of a size.
type pieceConn struct {
	net.Conn
	size int
}

func (c pieceConn) Read(p []byte) (int, error) { return c.Conn.Read(p[:min(c.size, len(p))]) }

// newClient returns a client of the standard library, which accepts blanks in names and joins lines, and the number of its
// connections. They are read in pieces of a size.
func newClient(t *testing.T, size int) (*http.Client, *int) {
	count := 0
	dial := func(_ context.Context, network, address string) (net.Conn, error) {
		count++
		c, err := net.Dial(network, address)
		if err != nil {
			return nil, err
		}
		return heads.NewConn(pieceConn{Conn: c, size: size}), nil
	}
	x := &http.Transport{DialContext: dial}
	t.Cleanup(x.CloseIdleConnections)
	return &http.Client{Transport: x}, &count
}

const sound = "HTTP/1.1 200 OK\r\nA: b c\r\nEmpty:\r\nContent-Length: 4\r\n\r\nbody"

// TestConnPassesSoundResponses covers responses one after the other on a connection, with interim ones and in pieces.
func TestConnPassesSoundResponses(t *testing.T) {
	for _, piece := range []int{1, 7, 1 << 20} {
		is := is.New(t)
		client, count := newClient(t, piece)
		long := strings.Repeat("x", 100_000)
		address := headtest.Start(t, headtest.InTurn(sound, "HTTP/1.1 103 Early Hints\r\n\r\n"+sound, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 x\r\nA: b\r\n\r\n"+sound,
			"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"+long, "HTTP/1.1 404 Not Found\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\nbody"))
		for n, want := range []int{200, 200, 200, 200, 404, 200} {
			status, body, err := post(client, address)
			is.NoErr(err)
			is.Equal(status, want)
			if n == 3 {
				is.Equal(body, long)
				continue
			}
			is.Equal(body, "body")
		}
		is.Equal(*count, 1)
	}
}

// TestConnFailsForUnsoundHeads covers heads that the parser of the standard library accepts, as the first response and
// behind another one, and heads without end.
func TestConnFailsForUnsoundHeads(t *testing.T) {
	for text, want := range map[string]heads.Kind{
		"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n":                        heads.OddStatus,
		"HTTP/1.1 200 OK\r\nX Odd: v\r\nContent-Length: 0\r\n\r\n":            heads.OddFieldName,
		"HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n":                       heads.OddFieldName,
		"HTTP/1.1 200 OK\r\nA: b\r\n X-Odd: v\r\nContent-Length: 0\r\n\r\n":   heads.OddFieldName,
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\nX-Odd: v\r\n\r\n":         heads.BareNewline,
		"HTTP/1.1 103 x\r\nX Odd: v\r\n\r\n" + sound:                          heads.OddFieldName,
		strings.Repeat("HTTP/1.1 103 x\r\n\r\n", 1+heads.MaxInterimResponses): heads.TooManyInterim,
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 5000) + "\r\n":     heads.TooLarge,
		"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("b", 100_000) + "\r\n\r\n":  heads.TooLarge,
	} {
		for _, before := range [][]string{nil, {sound}} {
			is := is.New(t)
			client, _ := newClient(t, 1<<20)
			address := headtest.Start(t, headtest.InTurn(append(before, text)...))
			for range before {
				_, _, err := post(client, address)
				is.NoErr(err)
			}
			_, _, err := post(client, address)
			var e *heads.Error
			is.True(errors.As(err, &e))
			is.Equal(e.Kind(), want)
		}
	}
}

// TestConnEndsWithItsPeer covers a connection that ends before a head or within one.
func TestConnEndsWithItsPeer(t *testing.T) {
	for _, text := range []string{"", "HTTP/1.1 200 OK\r\nA: b", "HTTP/1.1 103 x\r\n\r\n"} {
		is := is.New(t)
		client, _ := newClient(t, 1<<20)
		_, _, err := post(client, headtest.Start(t, headtest.Once(text)))
		is.True(errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF))
	}
}
