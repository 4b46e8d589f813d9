package front_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/state/call"
	"verbenabank/verbenad/adapt/front"
	"verbenabank/verbenad/command/memory"
)

// startBudgeted runs a server with a memory budget.
func startBudgeted(t *testing.T, b *memory.Budget, serve func(ctx context.Context, r call.Request) call.Reply) string {
	t.Helper()
	_, address := startServer(t, 3*clock.Second, serve, front.WithMemory(b))
	return address
}

func awaitReturned(t *testing.T, b *memory.Budget) {
	t.Helper()
	for range 500 {
		if b.Held() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("%d bytes are held after all connections closed", b.Held())
}

const ordinaryHead = "GET /p/a HTTP/1.1\r\nHost: h\r\nId: 1\r\n"

// TestMemoryOfRequestsIsReturned guards against amounts that are not given back, so that all callers are refused in the
// end: requests that are answered, streamed, refused, cut off in the head or the body, abandoned, or make a goroutine panic.
func TestMemoryOfRequestsIsReturned(t *testing.T) {
	b := memory.New(64 << 20)
	address := startBudgeted(t, b, func(_ context.Context, r call.Request) call.Reply {
		if r.Body() != nil {
			_, _ = io.Copy(io.Discard, r.Body())
		}
		switch {
		case strings.HasSuffix(r.URI(), "/panic"):
			panic("bad")
		case strings.HasSuffix(r.URI(), "/large"):
			return newResponse(strings.Repeat("x", 1<<20), 1<<20)
		case strings.HasSuffix(r.URI(), "/unknown"):
			return newResponse(strings.Repeat("x", 1<<20), -1)
		case strings.HasSuffix(r.URI(), "/lines"):
			return call.NewResponse(200, make([]call.Field, 3000), io.NopCloser(strings.NewReader("")), 0)
		}
		return newResponse("in stock: 7", 11)
	})
	texts := []string{
		ordinaryHead + "\r\n", strings.Repeat(ordinaryHead+"\r\n", 20), ordinaryHead, ordinaryHead + strings.Repeat("a:\r\n", 3000) + "\r\n",
		ordinaryHead + strings.Repeat("a:\r\n", 3000), ordinaryHead + "A: " + strings.Repeat("x", 20<<10), "bad\r\n\r\n", strings.Replace(ordinaryHead, "Id: 1", "Id: "+panicID, 1) + "\r\n",
		"GET /other HTTP/1.1\r\nHost: h\r\n\r\n", ordinaryHead + "Connection: close\r\n\r\n",
		"POST /p/a HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100_000),
		"POST /p/a HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 1000),
		"POST /p/a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfesto\r\n0\r\n\r\n" + ordinaryHead + "\r\n",
	}
	for _, path := range []string{"/panic", "/large", "/unknown", "/lines"} {
		texts = append(texts, strings.Replace(ordinaryHead, "/p/a", "/p/a"+path, 1)+"\r\n")
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
	awaitReturned(t, b)
}

// TestLargeHeadIsRefusedWhenMemoryIsShort guards against a head that is read although its memory is not granted. It is
// refused as not run, and an ordinary request on another connection is answered.
func TestLargeHeadIsRefusedWhenMemoryIsShort(t *testing.T) {
	is := is.New(t)
	b := memory.New(512 << 10)
	runs := 0
	address := startBudgeted(t, b, func(_ context.Context, _ call.Request) call.Reply {
		runs++
		return newResponse("in stock: 7", 11)
	})
	for _, head := range []string{strings.Repeat("a:\r\n", 3000), "Cookie: " + strings.Repeat("a=;", 3000) + "\r\n"} {
		c, r := dial(t, address)
		_, _ = io.WriteString(c, ordinaryHead+head+"\r\n")
		status, text := readResponse(t, r)
		is.Equal(status, http.StatusServiceUnavailable)
		is.Equal(text, "refused overloaded\n")
		is.Equal(runs, 0)
	}
	c, r := dial(t, address)
	_, _ = io.WriteString(c, ordinaryHead+"\r\n")
	status, _ := readResponse(t, r)
	is.Equal(status, http.StatusOK)
	is.Equal(runs, 1)
}

// TestLargeHeadsAreServedInCalm covers the sizes around those of the two read buffers, also behind a request that was sent
// ahead.
func TestLargeHeadsAreServedInCalm(t *testing.T) {
	address := startBudgeted(t, memory.New(memory.BudgetBytes(184)), func(_ context.Context, r call.Request) call.Reply {
		return newResponse(fmt.Sprint(len(r.Fields())), -1)
	})
	for _, size := range []int{4095, 4096, 4097, 8000, 16_000, 16_384} {
		is := is.New(t)
		c, r := dial(t, address)
		head := ordinaryHead + strings.Repeat("a:\r\n", (size-len(ordinaryHead)-2)/4) + "\r\n"
		_, _ = io.WriteString(c, ordinaryHead+"\r\n"+head+head+ordinaryHead+"\r\n")
		for range 4 {
			status, _ := readResponse(t, r)
			is.Equal(status, http.StatusOK)
		}
	}
}
