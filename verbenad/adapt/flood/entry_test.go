package flood

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"verbenabank/verbenad/command/entry"
)

// serveEntry starts an entry server, for callers that use the daemon's own protocol, and returns its address.
func (m *member) serveEntry(t *testing.T) string {
	e := entry.New(entry.WithStore(m.store), entry.WithLocal(m.owner), entry.WithRemote(m.hops), entry.WithInstance(m.service, "z"))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	go func() { _ = e.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = e.Shutdown(ctx)
	})
	return l.Addr().String()
}

// sendToEntry sends a request with a deadline of so many milliseconds for the endless service.
func sendToEntry(t *testing.T, address string, deadlineMs int) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", address)
	must(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "POST /%s/k HTTP/1.1\r\nHost: h\r\nVerbena-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n", endlessService, deadlineMs)
	must(t, err)
	return c, bufio.NewReader(c)
}

// TestEndlessResponsesThroughEntry sends requests to the entries of both daemons: no response may look
// complete or arrive late, and memory stays bounded.
func TestEndlessResponsesThroughEntry(t *testing.T) {
	for name, k := range kinds {
		for speed, pause := range speeds {
			t.Run(name+" "+speed, func(t *testing.T) {
				f := &endlessTarget{prefix: k.prefix, piece: k.piece, pause: pause}
				f.start(t)
				first, second := startDaemons(t, f.address, routeTimeoutMs)
				memory := measureHeapGrowth()
				var group sync.WaitGroup
				for _, m := range []*member{first, second} {
					address := m.serveEntry(t)
					for range slots / 2 {
						group.Go(func() { checkEntryResponse(t, address) })
					}
				}
				group.Wait()
				grown := memory()
				t.Logf("memory grew by %d KiB", grown>>10)
				for f.open.Load() > 0 {
					f.awaitClose(t)
				}
				second.awaitNoneInFlight(t)
				if grown > maxPathHeapGrowth {
					t.Fatal("memory grew by more than maxPathHeapGrowth")
				}
			})
		}
	}
}

// checkEntryResponse sends a request for an endless response and checks that the caller gets an error or
// an incomplete response, in time.
func checkEntryResponse(t *testing.T, address string) {
	began := time.Now()
	status, length, err := receive(sendToEntry(t, address, routeTimeoutMs))
	if err == nil && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
		t.Errorf("response with status %d and %d bytes looks complete", status, length)
	}
	if took := time.Since(began); took > routeTimeoutMs*time.Millisecond+floodSlack {
		t.Errorf("the response took %v", took)
	}
}

func TestDisconnectAtEntryEndsEndlessResponse(t *testing.T) {
	forLastingKinds(t, func(t *testing.T, f *endlessTarget) {
		f.start(t)
		first, second := startDaemons(t, f.address, longTimeoutMs)
		for _, m := range []*member{first, second} {
			c, _ := sendToEntry(t, m.serveEntry(t), longTimeoutMs)
			f.awaitRequests(t, 1)
			_ = c.Close()
			f.awaitClose(t)
		}
		second.awaitNoneInFlight(t)
	})
}
