package entry_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

// countingTarget starts a target that counts requests whose body it read to its end before it
// serves them. It returns its address.
func countingTarget(t *testing.T, h http.HandlerFunc) (string, *atomic.Int64) {
	var count atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		count.Add(1)
		h(w, r)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), &count
}

// dropConnection closes the connection without a response.
func dropConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// response is a response that was read to its end.
type response struct {
	status  int
	outcome string
	content string
}

// send sends a request and reads the response to its end. An error means that the caller can tell
// that the response is missing or truncated.
func send(t *testing.T, method, url string, body io.Reader, header ...string) (response, error) {
	r, err := http.NewRequest(method, url, body)
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	p, err := http.DefaultClient.Do(r)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = p.Body.Close() }()
	content, err := io.ReadAll(p.Body)
	return response{status: p.StatusCode, outcome: outcome(p), content: string(content)}, err
}

func TestDroppedRequestIsUnknownAndRunsOnce(t *testing.T) {
	is := is.New(t)
	address, count := countingTarget(t, dropConnection)
	e, o := startPair(t, address)
	for i, d := range []*daemon{e, o} {
		p, err := send(t, "POST", d.url+"/catalogue/k", strings.NewReader("confirm"))
		is.NoErr(err)
		is.Equal(p.outcome, "unknown interrupted")
		is.Equal(p.status, http.StatusBadGateway)
		is.Equal(count.Load(), int64(i+1))
	}
	p, err := send(t, "GET", e.url+"/catalogue/k", nil, "Verbena-Repeatable", "no")
	is.NoErr(err)
	is.Equal(p.outcome, "unknown interrupted")
	is.Equal(count.Load(), int64(3))
	_, err = send(t, "GET", e.url+"/catalogue/k", nil)
	is.NoErr(err)
	is.Equal(count.Load(), int64(3+rules.DefaultRetryAttempts)) // repeatable
}

func TestTruncatedResponseIsNeverTakenForComplete(t *testing.T) {
	for _, size := range []int{100, 100_000, 1 << 20} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprint(size, chunked), func(t *testing.T) {
				is := is.New(t)
				address, _ := countingTarget(t, func(w http.ResponseWriter, _ *http.Request) {
					if !chunked {
						w.Header().Set("Content-Length", fmt.Sprint(size+1))
					}
					_, _ = w.Write(make([]byte, size))
					w.(http.Flusher).Flush()
					panic(http.ErrAbortHandler)
				})
				e, o := startPair(t, address)
				for _, d := range []*daemon{e, o} {
					p, err := send(t, "POST", d.url+"/catalogue/k", nil)
					is.True(err != nil || p.outcome == "unknown truncated")
				}
			})
		}
	}
}

func TestRefusedConnectionIsRetriedThenRefused(t *testing.T) {
	is := is.New(t)
	e, _ := startPair(t, refusingAddress(t))
	p, err := send(t, "POST", e.url+"/catalogue/k", nil, "Verbena-Deadline-Ms", "300")
	is.NoErr(err)
	is.Equal(p.outcome, "refused unreachable")
	is.Equal(p.status, http.StatusServiceUnavailable)
}

func TestFailoverWithoutFailedRequest(t *testing.T) {
	is := is.New(t)
	address, count := countingTarget(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "new") })
	e, o := startPair(t, address)
	o.server.Stop() // the owner crashes
	next := startDaemon(t, 3)
	next.target.SetAddress(address)
	x := tableOwnedBy(next, []*daemon{e, next})
	time.AfterFunc(200*time.Millisecond, func() {
		e.publish(x)
		time.Sleep(50 * time.Millisecond) // the entry daemon gets the new table before the owner
		next.publish(x)
	})
	p, err := send(t, "POST", e.url+"/catalogue/k", bytes.NewReader(make([]byte, 100_000)))
	is.NoErr(err)
	is.Equal(p.outcome, "answered")
	is.Equal(p.content, "new")
	is.Equal(count.Load(), int64(1))
}

func TestRequestToUnresponsiveOwnerFailsOver(t *testing.T) {
	is := is.New(t)
	stuck, _ := countingTarget(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	good, _ := countingTarget(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "new") })
	for _, k := range []struct{ method, want string }{{"GET", "answered"}, {"POST", "unknown interrupted"}} {
		e, _ := startPair(t, stuck)
		next := startDaemon(t, 3)
		next.target.SetAddress(good)
		x := tableOwnedBy(next, []*daemon{e, next})
		time.AfterFunc(100*time.Millisecond, func() { next.publish(x); e.publish(x) })
		start := time.Now()
		p, err := send(t, k.method, e.url+"/catalogue/k", nil)
		is.NoErr(err)
		is.Equal(p.outcome, k.want)
		is.True(time.Since(start) < 2*time.Second) // the deadline is 5 s
	}
}

func TestRequestWaitsForOwnerOfVacantShard(t *testing.T) {
	is := is.New(t)
	address, _ := countingTarget(t, func(http.ResponseWriter, *http.Request) {})
	e, o := startPair(t, address)
	owned := e.store.Load().Table()
	e.publish(owned.With(2, table.NewOwnershipSet(keyedService, 0, table.NewVacant(1))))
	p, err := send(t, "POST", e.url+"/catalogue/k", nil, "Verbena-Deadline-Ms", "100")
	is.NoErr(err)
	is.Equal(p.outcome, "refused no-owner")
	granted := owned.With(3, table.NewOwnershipSet(keyedService, 0, table.NewOwned(2, 2)))
	time.AfterFunc(100*time.Millisecond, func() { o.publish(granted); e.publish(granted) })
	p, err = send(t, "POST", e.url+"/catalogue/k", nil)
	is.NoErr(err)
	is.Equal(p.outcome, "answered")
}

func TestDaemonStoppedMidStream(t *testing.T) {
	is := is.New(t)
	var o *daemon
	address, count := countingTarget(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("early") {
			o.server.Stop()
		}
		_, _ = w.Write(make([]byte, 200_000))
		w.(http.Flusher).Flush()
		time.AfterFunc(50*time.Millisecond, o.server.Stop)
		<-r.Context().Done()
	})
	var e *daemon
	e, o = startPair(t, address)
	_, err := send(t, "POST", e.url+"/catalogue/k", nil)
	is.True(err != nil) // once the header was sent, only a reset can show that the response is truncated
	is.Equal(count.Load(), int64(1))
	e, o = startPair(t, address)
	p, err := send(t, "POST", e.url+"/catalogue/k?early", nil)
	is.NoErr(err)
	is.Equal(p.outcome, "unknown interrupted")
	is.Equal(count.Load(), int64(2))
}

func TestDeadlinePropagatesToTarget(t *testing.T) {
	is := is.New(t)
	address, _ := countingTarget(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	e, _ := startPair(t, address)
	start := time.Now()
	p, err := send(t, "POST", e.url+"/catalogue/k", nil, "Verbena-Deadline-Ms", "100")
	is.NoErr(err)
	is.Equal(p.outcome, "unknown timed-out")
	is.Equal(p.status, http.StatusGatewayTimeout)
	is.True(time.Since(start) < time.Second)
}
