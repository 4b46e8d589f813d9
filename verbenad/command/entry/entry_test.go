package entry_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestRequestReachesTargetOfOwner(t *testing.T) {
	is := is.New(t)
	var seen http.Header
	var uri string
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen, uri = r.Header, r.RequestURI
		content, _ := io.ReadAll(r.Body)
		w.Header().Set("Verbena-Outcome", "forged")
		w.Header().Set("X-Stock", "7")
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write(content)
	}))
	defer target.Close()
	e, o := startPair(t, target.Listener.Addr().String())
	for _, d := range []*daemon{e, o} {
		for _, size := range []int{0, 100, 9000, 100_000, 3 << 20} {
			content := bytes.Repeat([]byte("abcdefgh"), size/8)
			r, err := http.NewRequest(http.MethodPost, d.url+"/catalogue/tent%2D9?x=%20", bytes.NewReader(content))
			is.NoErr(err)
			r.Header.Set("Verbena-Epoch", "99")
			r.Header.Set("Verbena-Deadline-Ms", "3000")
			r.Header.Set("Connection", "X-Private")
			r.Header.Set("X-Private", "1")
			p, err := http.DefaultClient.Do(r)
			is.NoErr(err)
			back, err := io.ReadAll(p.Body)
			_ = p.Body.Close()
			is.NoErr(err)
			is.True(bytes.Equal(back, content))
			is.Equal(p.StatusCode, http.StatusCreated)
			is.Equal(outcome(p), "answered")
			is.Equal(p.Header.Get("X-Stock"), "7")
			is.Equal(uri, "/catalogue/tent%2D9?x=%20")
			is.Equal(seen["Verbena-Epoch"], []string{"1"})
			is.Equal(seen.Get("X-Private"), "")
			is.True(strings.HasPrefix(seen.Get("Verbena-Deadline-Ms"), "2"))
		}
	}
}
