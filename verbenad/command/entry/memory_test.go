package entry_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/state/call"
	"verbenabank/verbenad/command/entry"
	"verbenabank/verbenad/command/memory"
)

// variedLocal answers as the path says.
type variedLocal struct{}

func (variedLocal) Serve(_ context.Context, r call.Request) call.Reply {
	if r.Body() != nil {
		_, _ = io.Copy(io.Discard, r.Body())
	}
	body := func(n int) io.ReadCloser { return io.NopCloser(strings.NewReader(strings.Repeat("x", n))) }
	switch {
	case strings.HasSuffix(r.URI(), "/panic"):
		panic("bad")
	case strings.HasSuffix(r.URI(), "/large"):
		return call.NewResponse(200, nil, body(1<<20), 1<<20)
	case strings.HasSuffix(r.URI(), "/unknown"):
		return call.NewResponse(200, nil, body(1<<20), -1)
	}
	return call.NewResponse(200, nil, body(11), 11)
}

func startBudgeted(t *testing.T, b *memory.Budget) string {
	t.Helper()
	d := startDaemon(t, 1, entry.WithLocal(variedLocal{}), entry.WithMemory(b))
	d.publish(tableOwnedBy(d, []*daemon{d}))
	return strings.TrimPrefix(d.url, "http://")
}

const ordinaryHead = "GET /catalogue/k HTTP/1.1\r\nHost: h\r\n"

// TestMemoryOfRequestsIsReturned guards against amounts that are not given back, so that all callers are refused in the
// end: requests that are answered, streamed, refused, cut off in the head or the body, or make a goroutine panic.
func TestMemoryOfRequestsIsReturned(t *testing.T) {
	b := memory.New(64 << 20)
	address := startBudgeted(t, b)
	texts := []string{
		ordinaryHead + "\r\n", strings.Repeat(ordinaryHead+"\r\n", 20), ordinaryHead, ordinaryHead + strings.Repeat("a:\r\n", 1900) + "\r\n",
		ordinaryHead + strings.Repeat("a:\r\n", 1900), ordinaryHead + "A: " + strings.Repeat("x", 20<<10), "bad\r\n\r\n",
		"GET /other HTTP/1.1\r\nHost: h\r\n\r\n", ordinaryHead + "Connection: close\r\n\r\n",
		"POST /catalogue/k HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100_000),
		"POST /catalogue/k HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("\n", 1000),
		"POST /catalogue/k HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfesto\r\n0\r\n\r\n" + ordinaryHead + "\r\n",
	}
	for _, path := range []string{"/panic", "/large", "/unknown"} {
		texts = append(texts, strings.Replace(ordinaryHead, "/k", "/k"+path, 1)+"\r\n")
	}
	var group sync.WaitGroup
	for _, text := range texts {
		for _, reads := range []bool{true, false} {
			group.Go(func() {
				c, err := net.Dial("tcp", address)
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.WriteString(c, text)
				if reads {
					_ = c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
					_, _ = io.Copy(io.Discard, c)
				}
				_ = c.Close()
			})
		}
	}
	group.Wait()
	for range 1000 {
		if b.Held() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("%d bytes are held after all connections closed", b.Held())
}

// TestLargeHeadIsNotReadWhenMemoryIsShort guards against a head that is parsed although its memory is not granted. Its
// connection closes before the request is read, or it is refused as not run; an ordinary request is answered.
func TestLargeHeadIsNotReadWhenMemoryIsShort(t *testing.T) {
	is := is.New(t)
	address := startBudgeted(t, memory.New(512<<10))
	send := func(text string) string {
		c, err := net.Dial("tcp", address)
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, text)
		a, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return "closed"
		}
		defer func() { _ = a.Body.Close() }()
		return outcome(a)
	}
	for _, head := range []string{strings.Repeat("a:\r\n", 1900), "Cookie: " + strings.Repeat("a=;", 2500) + "\r\n"} {
		o := send(ordinaryHead + head + "\r\n")
		is.True(o == "closed" || o == "refused overloaded")
	}
	is.Equal(send(ordinaryHead+"\r\n"), "answered")
}

// TestLargeHeadsAreServedInCalm covers heads within the limits of callers, one after the other on a connection.
func TestLargeHeadsAreServedInCalm(t *testing.T) {
	is := is.New(t)
	c, err := net.Dial("tcp", startBudgeted(t, memory.New(memory.BudgetBytes(184))))
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for range 5 {
		_, _ = io.WriteString(c, ordinaryHead+strings.Repeat("a:\r\n", 1900)+"\r\n")
		a, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, a.Body)
		is.NoErr(err)
		_ = a.Body.Close()
		is.Equal(outcome(a), "answered")
	}
}
