package entry_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/state/rules"
)

func TestRefusalsBeforeAnyAttempt(t *testing.T) {
	is := is.New(t)
	address, count := counting(t, func(http.ResponseWriter, *http.Request) {})
	e, _ := pair(t, address, rules.WithMaxBodyBytes(1000))
	long := strings.Repeat("k", 2000)
	for _, k := range []struct {
		path, want string
		status     int
		body       io.Reader
	}{
		{"/nothing/k", "refused unknown-service", 404, nil},
		{"/", "refused unknown-service", 404, nil},
		{"/catalogue", "refused bad-request", 400, nil},
		{"/catalogue/", "refused bad-request", 400, nil},
		{"/catalogue/a/../k", "refused bad-request", 400, nil},
		{"/catalogue/%zz", "refused bad-request", 400, nil},
		{"/catalogue/" + long, "refused bad-request", 400, nil},
		{"/catalogue/k", "refused too-large", 413, bytes.NewReader(make([]byte, 1001))},
		{"/catalogue/k", "refused too-large", 413, bytes.NewReader(make([]byte, 100_000))},
		{"/catalogue/k", "refused too-large", 413, bytes.NewReader(make([]byte, 8<<20))},
	} {
		r, err := http.NewRequest("POST", e.url, k.body)
		is.NoErr(err)
		r.URL.Opaque = k.path
		p, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		_ = p.Body.Close()
		is.Equal(outcome(p), k.want)
		is.Equal(p.StatusCode, k.status)
	}
	// Not announced, so it shows only while it is sent.
	p, err := send(t, "POST", e.url+"/catalogue/k", io.MultiReader(bytes.NewReader(make([]byte, 5000))))
	is.NoErr(err)
	is.Equal(p.outcome, "unknown too-large")
	is.Equal(p.status, 413)
	is.Equal(count.Load(), int64(0))
}

// raw writes a request as it is and returns the response.
func raw(t *testing.T, d *daemon, request string, halfClose bool) string {
	c, err := net.Dial("tcp", strings.TrimPrefix(d.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, request)
	if halfClose {
		_ = c.(*net.TCPConn).CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	p, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "no response"
	}
	defer func() { _ = p.Body.Close() }()
	return fmt.Sprint(p.StatusCode, " ", outcome(p))
}

func TestMalformedRequestsReachNoTarget(t *testing.T) {
	is := is.New(t)
	address, count := counting(t, func(http.ResponseWriter, *http.Request) {})
	e, _ := pair(t, address)
	for _, request := range []string{
		"POST /catalogue/k HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n",
		"POST /catalogue/k HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
		"POST /catalogue/k HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST /catalogue/k HTTP/1.1\r\nHost: h\r\nBad Header: 5\r\n x\r\n\r\n",
		"POST /catalogue/k HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20_000) + "\r\n\r\n",
		"hello\r\n\r\n",
	} {
		if got := raw(t, e, request, false); got != "400 refused bad-request" {
			t.Errorf("%q: %s", request[:min(90, len(request))], got)
		}
	}
	is.Equal(count.Load(), int64(0))
}

func TestShortBodyOfCallerIsNotPassedOnAsWhole(t *testing.T) {
	is := is.New(t)
	address, count := counting(t, func(http.ResponseWriter, *http.Request) {})
	e, o := pair(t, address)
	for _, d := range []*daemon{e, o} {
		for _, size := range []int{10, 300_000} {
			raw(t, d, fmt.Sprintf("POST /catalogue/k HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s",
				size+1, strings.Repeat("x", size)), true)
		}
		raw(t, d, "POST /catalogue/k HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", true)
	}
	is.Equal(count.Load(), int64(0))
}

func TestCallerGoneCancelsTheTarget(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan struct{}, 2)
	address, _ := counting(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		cancelled <- struct{}{}
	})
	e, o := pair(t, address)
	for _, d := range []*daemon{e, o} {
		for _, body := range []io.Reader{nil, bytes.NewReader(make([]byte, 100_000))} {
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			r, err := http.NewRequestWithContext(ctx, "POST", d.url+"/catalogue/k", body)
			is.NoErr(err)
			_, err = http.DefaultClient.Do(r) //nolint:bodyclose // there is no response
			is.True(err != nil)
			select {
			case <-cancelled:
			case <-time.After(2 * time.Second):
				t.Fatal("the target was not told", body == nil)
			}
			cancel()
		}
	}
}

// zeros is a body of zeros.
type zeros struct{ left int64 }

func (z *zeros) Read(p []byte) (int, error) {
	if z.left == 0 {
		return 0, io.EOF
	}
	n := min(int64(len(p)), z.left)
	z.left -= n
	return int(n), nil
}

// live returns the bytes of the heap that are in use, without garbage.
func live() uint64 {
	runtime.GC()
	s := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(s)
	return s[0].Value.Uint64()
}

func TestLargeUploadNeedsLittleMemory(t *testing.T) {
	is := is.New(t)
	const size = 200 << 20
	var got atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		got.Store(n)
	}))
	defer s.Close()
	e, _ := pair(t, s.Listener.Addr().String(), rules.WithMaxBodyBytes(size), rules.WithDeadline(60_000))
	done := make(chan struct{})
	peak := make(chan uint64)
	before := live()
	go func() {
		var most uint64
		for {
			select {
			case <-done:
				peak <- most
				return
			case <-time.After(100 * time.Millisecond):
				most = max(most, live())
			}
		}
	}()
	for _, length := range []int64{size, -1} {
		r, err := http.NewRequest("POST", e.url+"/catalogue/k", &zeros{left: size})
		is.NoErr(err)
		r.ContentLength = length
		p, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		_ = p.Body.Close()
		is.Equal(outcome(p), "answered")
		is.Equal(got.Load(), int64(size))
	}
	close(done)
	grown := int64(<-peak) - int64(before)
	t.Logf("heap grew by %.1f MiB at most while 200 MiB went through two daemons, twice", float64(grown)/(1<<20))
	is.True(grown < 10<<20)
}
