package front_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/state/call"
	"verbenabank/core/state/rules"
	"verbenabank/verbenad/adapt/front"
	"verbenabank/verbenad/command/memory"
)

// startWithMemory runs a server with a budget of limit bytes.
func startWithMemory(t *testing.T, limit int64) (*memory.Budget, string) {
	t.Helper()
	b := memory.New(limit)
	_, address := startServerWithHeaderTimeout(t, 5000, rules.DefaultHeaderTimeout,
		func(context.Context, call.Request) call.Reply { return newResponse("whole", 5) }, front.WithMemory(b))
	return b, address
}

// awaitReleased waits until nothing of the budget is held.
func awaitReleased(t *testing.T, b *memory.Budget) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); b.Held() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are still held", b.Held())
		}
	}
}

// exchangeTexts sends a text on a new connection and returns all that comes back until the server closes it, for at most 2 s.
func exchangeTexts(t *testing.T, address, text string) string {
	t.Helper()
	c, r := dial(t, address)
	defer func() { _ = c.Close() }()
	_, err := io.WriteString(c, text)
	is.New(t).NoErr(err)
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	answer, _ := io.ReadAll(r)
	return string(answer)
}

// TestMemoryIsGivenBack guards against memory that stays counted when its connection has ended, also after a panic: in the
// end the server would refuse everything.
func TestMemoryIsGivenBack(t *testing.T) {
	large := "GET /p/1 HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 1900)
	for name, text := range map[string]string{
		"answered":   getRequest("/p/1") + "GET /p/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
		"large head": large + "Connection: close\r\n\r\n",
		"panic":      large + "Id: " + panicID + "\r\n\r\n",
		"malformed":  large + "a b\r\n\r\n",
		"too large":  strings.Repeat(large, 10),
		"body":       "PUT /p/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwhole",
		"no host":    "GET /p/1 HTTP/1.1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			b, address := startWithMemory(t, 64<<20)
			t.Logf("%.40q", exchangeTexts(t, address, text))
			awaitReleased(t, b)
		})
	}
}

// TestHeadWithoutMemoryIsRefused guards against a head that is parsed though its memory is not granted, and against bytes
// behind it that are read as another request.
func TestHeadWithoutMemoryIsRefused(t *testing.T) {
	is := is.New(t)
	b, address := startWithMemory(t, 512<<10)
	large := "PUT /p/1 HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 1900) + "Content-Length: 100\r\n\r\n"
	answer := exchangeTexts(t, address, large+getRequest("/p/2"))
	is.True(strings.HasPrefix(answer, "HTTP/1.1 503 "))
	is.True(strings.Contains(answer, "refused overloaded"))
	is.True(strings.Contains(answer, "Connection: close"))
	is.Equal(strings.Count(answer, "HTTP/1.1"), 1)
	awaitReleased(t, b)
	is.True(strings.HasPrefix(exchangeTexts(t, address, "GET /p/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"), "HTTP/1.1 200 "))
}
