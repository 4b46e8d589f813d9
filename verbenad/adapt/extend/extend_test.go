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

// serve returns the address of a target that answers with the status, and what it got.
func serve(t *testing.T, status int, delay time.Duration) (string, *atomic.Value, *atomic.Int64) {
	var got atomic.Value
	var count atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		got.Store(r.Method + " " + r.URL.Path + " " + string(text))
		count.Add(1)
		time.Sleep(delay)
		w.WriteHeader(status)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), &got, &count
}

func TestExtensionsGoToTheTarget(t *testing.T) {
	is := is.New(t)
	e, stop := extend.New()
	defer stop()
	is.True(!e.Extend(context.Background(), 12, []string{"a"})) // there is no target
	address, got, _ := serve(t, http.StatusNoContent, 0)
	e.SetAddress(address)
	is.True(e.Extend(context.Background(), 12, []string{"a", "b"}))
	is.Equal(got.Load(), `PUT /verbena/lease {"until":12,"requests":["a","b"]}`)
	stop()
	is.True(!e.Extend(context.Background(), 13, []string{"a"}))
}

func TestTargetWithoutExtensionsIsAskedOnce(t *testing.T) {
	for _, status := range []int{http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusNotImplemented} {
		is := is.New(t)
		e, stop := extend.New()
		address, _, count := serve(t, status, 0)
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

func TestSlowTargetHoldsUpNothingForLong(t *testing.T) {
	is := is.New(t)
	e, stop := extend.New(extend.WithTimeout(30 * time.Millisecond))
	defer stop()
	address, _, _ := serve(t, http.StatusNoContent, 300*time.Millisecond)
	e.SetAddress(address)
	since := time.Now()
	is.True(!e.Extend(context.Background(), 12, []string{"a"}))
	is.True(time.Since(since) < 200*time.Millisecond)
}
