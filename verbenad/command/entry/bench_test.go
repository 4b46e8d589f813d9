package entry_test

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// BenchmarkPath compares requests sent directly to a target, through the daemon on its instance,
// and through two daemons.
func BenchmarkPath(b *testing.B) {
	l := listen(b)
	s := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) { c.SetBodyString("in stock: 7") }}
	go func() { _ = s.Serve(l) }()
	b.Cleanup(func() { _ = l.Close() })
	e, o := startPair(b, l.Addr().String())
	for _, k := range []struct{ name, url string }{
		{"direct", "http://" + l.Addr().String()},
		{"one daemon", o.url},
		{"two daemons", e.url},
	} {
		for _, method := range []string{"GET", "POST"} {
			b.Run(k.name+"/"+method, func(b *testing.B) {
				c := &fasthttp.HostClient{Addr: strings.TrimPrefix(k.url, "http://"), Dial: func(a string) (net.Conn, error) { return net.Dial("tcp", a) }, MaxConns: 512}
				b.ReportAllocs()
				b.RunParallel(func(p *testing.PB) {
					var q fasthttp.Request
					var r fasthttp.Response
					q.SetRequestURI(k.url + "/catalogue/tent-9")
					q.Header.SetMethod(method)
					if method == "POST" {
						q.SetBodyString(strings.Repeat("x", 1000))
					}
					for p.Next() {
						if err := c.Do(&q, &r); err != nil || r.StatusCode() != http.StatusOK {
							b.Error(err, r.StatusCode(), string(r.Body()))
							return
						}
					}
				})
			})
		}
	}
}
