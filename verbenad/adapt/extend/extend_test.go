package extend_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/verbenad/adapt/extend"
)

// startTarget returns the address of a target that responds with the status after the delay, its
// last request and the number of its requests.
func startTarget(t *testing.T, status int, delay time.Duration) (string, *atomic.Value, *atomic.Int64) {
	var got atomic.Value
	var count atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got.Store(r.Method + " " + r.URL.Path + " " + string(body))
		count.Add(1)
		time.Sleep(delay)
		w.WriteHeader(status)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), &got, &count
}

func TestExtensionIsSentToTheTarget(t *testing.T) {
	is := is.New(t)
	e, stop := extend.New()
	defer stop()
	is.True(!e.Extend(context.Background(), 12, []string{"a"})) // there is no target
	address, got, _ := startTarget(t, http.StatusNoContent, 0)
	e.SetAddress(address)
	is.True(e.Extend(context.Background(), 12, []string{"a", "b"}))
	is.Equal(got.Load(), `PUT /verbena/lease {"until":12,"requests":["a","b"]}`)
	stop()
	is.True(!e.Extend(context.Background(), 13, []string{"a"}))
}

func TestTargetWithoutSupportIsCalledOnce(t *testing.T) {
	for _, status := range []int{http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusNotImplemented} {
		is := is.New(t)
		e, stop := extend.New()
		address, _, count := startTarget(t, status, 0)
		e.SetAddress(address)
		is.True(!e.Extend(context.Background(), 12, []string{"a"}))
		is.True(!e.Extend(context.Background(), 13, []string{"a"}))
		is.Equal(count.Load(), int64(1))
		e.SetAddress(address) // the next target
		is.True(!e.Extend(context.Background(), 14, []string{"a"}))
		is.Equal(count.Load(), int64(2))
		stop()
	}
}

func TestCallToSlowTargetTimesOut(t *testing.T) {
	is := is.New(t)
	e, stop := extend.New(extend.WithTimeout(30 * time.Millisecond))
	defer stop()
	address, _, _ := startTarget(t, http.StatusNoContent, 300*time.Millisecond)
	e.SetAddress(address)
	start := time.Now()
	is.True(!e.Extend(context.Background(), 12, []string{"a"}))
	is.True(time.Since(start) < 200*time.Millisecond)
}
