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

// enter serves callers of the product's own protocol and returns the address.
func (m *member) enter(t *testing.T) string {
	e := entry.New(entry.WithStore(m.cell), entry.WithLocal(m.owner), entry.WithRemote(m.hops), entry.WithInstance(m.service, "z"))
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

func knock(t *testing.T, address string, wait int) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", address)
	must(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "POST /%s/k HTTP/1.1\r\nHost: h\r\nVerbena-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n", flooded, wait)
	must(t, err)
	return c, bufio.NewReader(c)
}

// TestCallersOfTheEntryOfATargetWithoutEnd asks both daemons and wants answers that look like none, in time.
func TestCallersOfTheEntryOfATargetWithoutEnd(t *testing.T) {
	for name, k := range kinds {
		for speed, pause := range speeds {
			t.Run(name+" "+speed, func(t *testing.T) {
				f := &flood{text: k.text, piece: k.piece, pause: pause}
				f.start(t)
				first, second := pair(t, f.address, routeWait)
				memory := peak()
				var group sync.WaitGroup
				for _, m := range []*member{first, second} {
					address := m.enter(t)
					for range slots / 2 {
						group.Go(func() { refused(t, address) })
					}
				}
				group.Wait()
				grown := memory()
				t.Logf("memory grew by %d KiB", grown>>10)
				for f.open.Load() > 0 {
					f.awaitClose(t)
				}
				second.awaitEmpty(t)
				if grown > pathMemory {
					t.Fatal("that is too much")
				}
			})
		}
	}
}

// refused asks for an answer without end and wants it not to look whole.
func refused(t *testing.T, address string) {
	began := time.Now()
	status, length, err := receive(knock(t, address, routeWait))
	if err == nil && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
		t.Errorf("status %d with %d bytes looks whole", status, length)
	}
	if took := time.Since(began); took > routeWait*time.Millisecond+floodSlack {
		t.Errorf("the answer took %v", took)
	}
}

func TestCallerOfTheEntryWhoLeavesEndsAnAnswerWithoutEnd(t *testing.T) {
	lasting(t, func(t *testing.T, f *flood) {
		f.start(t)
		first, second := pair(t, f.address, longWait)
		for _, m := range []*member{first, second} {
			c, _ := knock(t, m.enter(t), longWait)
			f.awaitRequests(t, 1)
			_ = c.Close()
			f.awaitClose(t)
		}
		second.awaitEmpty(t)
	})
}
