package entry_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestTargetMayRespondBeforeReadingBody(t *testing.T) {
	is := is.New(t)
	const size = 300_000
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write(make([]byte, size))
	}))
	defer s.Close()
	e, o := startPair(t, s.Listener.Addr().String())
	for _, d := range []*daemon{e, o} {
		for range 20 {
			p, err := send(t, "POST", d.url+"/catalogue/k", bytes.NewReader(make([]byte, 8<<20)))
			is.NoErr(err)
			is.Equal(p.outcome, "answered")
			is.Equal(p.status, http.StatusConflict)
			is.Equal(len(p.content), size)
		}
	}
}

func TestResponsesAreStreamed(t *testing.T) {
	is := is.New(t)
	next := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for i := range 3 {
			_, _ = fmt.Fprint(w, i)
			w.(http.Flusher).Flush()
			<-next
		}
	}))
	defer s.Close()
	e, o := startPair(t, s.Listener.Addr().String())
	for _, d := range []*daemon{e, o} {
		p, err := http.Get(d.url + "/catalogue/k")
		is.NoErr(err)
		for i := range 3 {
			var b [1]byte
			_, err := io.ReadFull(p.Body, b[:])
			is.NoErr(err)
			is.Equal(string(b[:]), fmt.Sprint(i))
			next <- struct{}{}
		}
		_ = p.Body.Close()
	}
}

func TestResponsesWithoutBody(t *testing.T) {
	is := is.New(t)
	address, _ := countingTarget(t, func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodHead:
			w.Header().Set("Content-Length", "1234")
		case strings.HasSuffix(r.URL.Path, "204"):
			w.WriteHeader(http.StatusNoContent)
		default:
			w.Header().Set("Etag", `"x"`)
			w.WriteHeader(http.StatusNotModified)
		}
	})
	e, o := startPair(t, address)
	for _, d := range []*daemon{e, o} {
		p, err := http.Head(d.url + "/catalogue/k")
		is.NoErr(err)
		_ = p.Body.Close()
		is.Equal(p.ContentLength, int64(1234))
		for _, status := range []int{204, 304} {
			for range 2 { // the second request reuses the connections of the first
				p, err := send(t, "GET", fmt.Sprint(d.url, "/catalogue/", status), nil)
				is.NoErr(err)
				is.Equal(p.status, status)
				is.Equal(p.outcome, "answered")
			}
		}
	}
}
