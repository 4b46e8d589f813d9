package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/verbenad/command/entry"
	"verbenabank/verbenad/command/memory"
)

// startWithMemory starts a daemon with a target of its own that returns the body of each request and a given number of bytes.
func startWithMemory(t *testing.T, limit int64) (*memory.Budget, string) {
	t.Helper()
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("early") {
			w.WriteHeader(http.StatusConflict)
			return
		}
		content, _ := io.ReadAll(r.Body)
		var size int
		_, _ = fmt.Sscan(r.URL.Query().Get("size"), &size)
		_, _ = w.Write(append(content, make([]byte, size)...))
	}))
	t.Cleanup(target.Close)
	b := memory.New(limit)
	d := startDaemon(t, 1, entry.WithMemory(b))
	d.target.SetAddress(target.Listener.Addr().String())
	d.publish(tableOwnedBy(d, []*daemon{d}))
	return b, strings.TrimPrefix(d.url, "http://")
}

// awaitHeld waits until as many bytes of the budget are held.
func awaitHeld(t *testing.T, b *memory.Budget, held int64) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); b.Held() != held; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are held, not %d", b.Held(), held)
		}
	}
}

const manyLines = 1500

func requestText(method, query, body string, fields ...string) string {
	return method + " /catalogue/tent?" + query + " HTTP/1.1\r\nHost: h\r\n" + strings.Join(fields, "") + "\r\n" + body
}

// TestMemoryOfKeptConnectionsIsGivenBack guards against memory that stays counted when a request has ended, and against a
// large head that changes where the next request on its connection begins.
func TestMemoryOfKeptConnectionsIsGivenBack(t *testing.T) {
	lines, sized := strings.Repeat("a:\r\n", manyLines), "Content-Length: 200\r\n"
	body := strings.Repeat("\n", 200)
	chunked := "Transfer-Encoding: chunked\r\n"
	b, address := startWithMemory(t, 64<<20)
	for name, requests := range map[string][]string{
		"plain":         {requestText("GET", "", "")},
		"large head":    {requestText("GET", "", "", lines), requestText("GET", "", "", lines)},
		"body":          {requestText("POST", "", body, sized), requestText("POST", "", body, sized, lines)},
		"GET with body": {requestText("GET", "", body, lines, sized), requestText("GET", "", body, sized)},
		"chunked":       {requestText("POST", "", "5\r\nwhole\r\n0\r\n\r\n", chunked, lines), requestText("POST", "", "0\r\n\r\n", chunked)},
		"streamed":      {requestText("GET", "size=300000", ""), requestText("HEAD", "size=300000", "")},
		"buffered":      {requestText("GET", "size=30000", "")},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			for range 3 {
				for _, text := range requests {
					exchangeOnKept(t, c, r, text)
				}
				awaitHeld(t, b, idleBytes)
			}
			is.NoErr(c.Close())
			awaitHeld(t, b, 0)
		})
	}
}

// idleBytes is the memory that counts for a connection without a request.
const idleBytes = 32 << 10

// exchangeOnKept sends a request and reads its response, which must be that of the target and leave the connection open.
func exchangeOnKept(t *testing.T, c net.Conn, r *bufio.Reader, text string) {
	t.Helper()
	is := is.New(t)
	_, err := io.WriteString(c, text)
	is.NoErr(err)
	method, _, _ := strings.Cut(text, " ")
	a, err := http.ReadResponse(r, &http.Request{Method: method})
	is.NoErr(err)
	defer func() { _ = a.Body.Close() }()
	_, err = io.Copy(io.Discard, a.Body)
	is.NoErr(err)
	is.Equal(outcome(a), "answered")
	is.True(!a.Close)
}

// TestMemoryOfEndedConnectionsIsGivenBack guards against memory that stays counted when a connection has ended early.
func TestMemoryOfEndedConnectionsIsGivenBack(t *testing.T) {
	lines, sized := strings.Repeat("a:\r\n", manyLines), "Content-Length: 200\r\n"
	b, address := startWithMemory(t, 64<<20)
	for name, text := range map[string]string{
		"early response":   requestText("POST", "early", strings.Repeat("\n", 1<<20), "Content-Length: 67000000\r\n", lines),
		"malformed":        requestText("GET", "", "", lines, "a b\r\n"),
		"too large":        requestText("GET", "", "", lines, lines, lines),
		"unknown service":  "GET /none/1 HTTP/1.1\r\nHost: h\r\n" + lines + "\r\n",
		"incomplete":       "GET /none/1 HTTP/1.1\r\nHost: h\r\n" + lines,
		"incomplete body":  requestText("POST", "", "part", sized, lines),
		"reset by caller":  requestText("GET", "size=30000000", ""),
		"several at once":  strings.Repeat(requestText("POST", "", strings.Repeat("\n", 200), sized, lines), 3),
		"HTTP/1.0 request": "GET /catalogue/tent HTTP/1.0\r\nHost: h\r\n" + lines + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, err := net.Dial("tcp", address)
			is.NoErr(err)
			_, _ = io.WriteString(c, text)
			_ = c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
			_, _ = bufio.NewReader(c).Peek(1)
			is.NoErr(c.Close())
			awaitHeld(t, b, 0)
		})
	}
}

// TestHeadWithoutMemoryIsNotRun guards against large heads beyond the budget: their connection is closed, and an ordinary
// request is served beside them.
func TestHeadWithoutMemoryIsNotRun(t *testing.T) {
	is := is.New(t)
	b, address := startWithMemory(t, 256<<10)
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, requestText("GET", "", "", strings.Repeat("a:\r\n", manyLines)))
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	answer, _ := io.ReadAll(c)
	is.True(!strings.Contains(string(answer), "answered"))
	awaitHeld(t, b, 0)
	a, err := http.Get("http://" + address + "/catalogue/tent")
	is.NoErr(err)
	defer func() { _ = a.Body.Close() }()
	is.Equal(outcome(a), "answered")
}
