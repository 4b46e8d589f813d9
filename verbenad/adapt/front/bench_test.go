package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"verbenabank/core/query/retry"
	"verbenabank/core/state/call"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
	"verbenabank/verbenad/adapt/front"
	"verbenabank/verbenad/command/relay"
)

// BenchmarkFront measures ordinary requests on kept connections: one of 13 header lines without a body, and one with 1,000
// bytes.
func BenchmarkFront(b *testing.B) {
	store := snap.NewStore()
	limits := rules.NewLimits(rules.DefaultMaxHeaderBytes, rules.DefaultMaxBodyBytes, rules.DefaultHeaderTimeout, rules.DefaultIdleTimeout)
	r := rules.New(1, "", rules.NewService("s")).WithLimits(limits).WithRoutes(rules.NewRoute("r", "h", "/p/",
		rules.WithIdempotency(rules.Repeatable{}), rules.WithTimes(3000, 3000), rules.WithTrafficSplit(rules.NewWeightedService("s", 1))))
	x := table.Empty().With(1, table.NewRulesSet(r), table.NewMemberSet(table.NewMember(7, "i", "z", "a", "s", table.Serving{})))
	store.Publish(snap.New(x, 7, 1<<60, 1<<60))
	serve := func(_ context.Context, r call.Request) call.Reply {
		if r.Body() != nil {
			_, _ = io.Copy(io.Discard, r.Body())
		}
		return newResponse("in stock: 7", 11)
	}
	f := front.New(front.WithDialect(testDialect{}), front.WithRelay(relay.New(relay.WithStore(store), relay.WithLocal(localTarget{serve}),
		relay.WithRetry(retry.Routed{}))))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = f.Serve(l) }()
	b.Cleanup(func() { _ = l.Close() })
	fields := "Host: h\r\nId: 1\r\n" + strings.Repeat("X-Some-Field: some-value-of-it\r\n", 10)
	for name, text := range map[string]string{
		"GET":  "GET /p/a HTTP/1.1\r\n" + fields + "\r\n",
		"POST": "POST /p/a HTTP/1.1\r\n" + fields + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 1000, strings.Repeat("x", 1000)),
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(p *testing.PB) {
				c, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					b.Error(err)
					return
				}
				defer func() { _ = c.Close() }()
				answers := bufio.NewReader(c)
				for p.Next() {
					_, _ = io.WriteString(c, text)
					a, err := http.ReadResponse(answers, nil)
					if err != nil || a.StatusCode != http.StatusOK {
						b.Error(err)
						return
					}
					_, _ = io.Copy(io.Discard, a.Body)
					_ = a.Body.Close()
				}
			})
		})
	}
}
