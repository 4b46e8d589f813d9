package serve

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/matryer/is"
)

// startAdmin runs a daemon whose admin server has the handler "/held", which waits for release, and "/size", which returns
// the size of the body.
func startAdmin(t *testing.T) (address string, entered, release chan struct{}) {
	t.Helper()
	entered, release = make(chan struct{}, 10), make(chan struct{})
	d := newDaemon(t, WithAdminRoutes(func(r fiber.Router, _ AdminAPI) {
		r.Put("/held", func(c fiber.Ctx) error {
			entered <- struct{}{}
			<-release
			return c.SendStatus(fiber.StatusOK)
		})
		r.Put("/size", func(c fiber.Ctx) error { return c.JSON(len(c.Body())) })
	}))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		is.New(t).NoErr(<-ended)
	})
	return d.adminPort.Addr().String(), entered, release
}

// put sends a body, without its length if chunked is set, and returns the status and the text of the response.
func put(t *testing.T, url string, size int, chunked bool) (int, string) {
	t.Helper()
	var body io.Reader = bytes.NewReader(make([]byte, size))
	if chunked {
		body = io.MultiReader(body)
	}
	r, err := http.NewRequest(http.MethodPut, url, body)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	defer func() { _ = a.Body.Close() }()
	text, _ := io.ReadAll(a.Body)
	return a.StatusCode, string(text)
}

// TestSmallBodiesOfUnknownLengthWaitForNoOther guards against heartbeats without a length that wait while a large document
// is handled, which can take 10 s without a majority of the control group.
func TestSmallBodiesOfUnknownLengthWaitForNoOther(t *testing.T) {
	is := is.New(t)
	address, entered, release := startAdmin(t)
	held := make(chan struct{})
	go func() { put(t, "http://"+address+"/held", 100<<10, false); close(held) }()
	<-entered
	small := make(chan string, 1)
	go func() { _, text := put(t, "http://"+address+"/size", 100, true); small <- text }()
	select {
	case text := <-small:
		is.Equal(text, "100")
	case <-time.After(3 * time.Second):
		t.Error("a small body waited for a large one")
	}
	close(release)
	<-held
	for size, status := range map[int]int{smallBodyBytes: 200, smallBodyBytes + 1: 200, 1 << 20: 200, maxAdminBodyBytes: 200, maxAdminBodyBytes + 1: 413} {
		for _, chunked := range []bool{false, true} {
			if size > maxAdminBodyBytes && !chunked {
				continue // refused before the body is sent
			}
			got, _ := put(t, "http://"+address+"/size", size, chunked)
			is.Equal(got, status)
		}
	}
}

// TestLargeBodyIsReadAfterItsTurn guards against documents that are refused as not valid, since they waited for others
// longer than their body may take to arrive.
func TestLargeBodyIsReadAfterItsTurn(t *testing.T) {
	is := is.New(t)
	address, entered, release := startAdmin(t)
	held := make(chan struct{})
	go func() { put(t, "http://"+address+"/held", 100<<10, false); close(held) }()
	<-entered
	time.AfterFunc(readTimeout+500*time.Millisecond, func() { close(release) })
	status, text := put(t, "http://"+address+"/size", 1<<20, false)
	is.Equal(status, http.StatusOK)
	is.Equal(text, "1048576")
	<-held
}
