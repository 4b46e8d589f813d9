package flood

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"google.golang.org/grpc"

	"verbenabank/core/clock"
	"verbenabank/core/query/retry"
	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
	"verbenabank/core/wire/wirepb"
	"verbenabank/verbenad/adapt/front"
	"verbenabank/verbenad/adapt/hop"
	"verbenabank/verbenad/adapt/target"
	"verbenabank/verbenad/command/owner"
	"verbenabank/verbenad/command/relay"
)

// words is a dialect with short names.
type words struct{}

func (words) RequestInfo(h *fasthttp.RequestHeader) front.RequestInfo {
	return front.NewRequestInfo(string(h.Peek("Id")), 0)
}

func (words) ForwardedFields(fields []call.Field, _ string) []call.Field { return fields }

func (words) ErrorResponse(_ string, o result.Outcome) front.ErrorResponse {
	switch o := o.(type) {
	case result.Refused:
		return front.NewErrorResponse(http.StatusServiceUnavailable, "refused "+string(o.Reason()))
	case result.Unknown:
		return front.NewErrorResponse(http.StatusBadGateway, "unknown "+string(o.Reason()))
	case result.Answered:
	}
	return front.NewErrorResponse(http.StatusInternalServerError, "none")
}

// member is a daemon without its control loop.
type member struct {
	self    table.Incarnation
	service string
	cell    *snap.Store
	owner   *owner.Owner
	front   *front.Server
	server  *grpc.Server
	hops    *hop.Client
	peers   string
	address string
}

const (
	flooded = "flooded" // the service whose target sends bytes without end
	sound   = "sound"
	// routeWait and longWait are how long a request may take in milliseconds.
	routeWait = 300
	longWait  = 60_000
	slots     = 4
	// uploadBytes is more than the buffers on the way hold, since the target reads no bodies.
	uploadBytes = 16 << 20
	// pathMemory is what clients, daemons and the sound target may take together.
	pathMemory = 24 << 20
)

// pair starts two daemons: the first has a sound target, the second one at the address. A
// request may take wait.
func pair(t *testing.T, address string, wait clock.Millis) (first, second *member) {
	well, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "well") })}
	go func() { _ = s.Serve(well) }()
	t.Cleanup(func() { _ = s.Close() })
	members := []*member{newMember(t, 1, sound, well.Addr().String()), newMember(t, 2, flooded, address)}
	var services []rules.Service
	var routes []rules.Route
	for _, m := range members {
		services = append(services, rules.NewService(m.service, rules.WithKind(rules.Pooled{}), rules.WithSlots(slots)))
		routes = append(routes, rules.NewRoute(m.service, m.service, "/", rules.WithIdempotency(rules.Once{}),
			rules.WithTimes(wait, wait), rules.WithTrafficSplit(rules.NewWeightedService(m.service, 1))))
	}
	r := rules.New(1, "", services...).WithRoutes(routes...)
	changes := []table.Change{table.NewRulesSet(r)}
	for _, m := range members {
		changes = append(changes, table.NewMemberSet(table.NewMember(m.self, m.service, "z", m.peers, m.service, table.Serving{})))
	}
	now := clock.New().Now()
	for _, m := range members {
		m.cell.Publish(snap.New(table.Empty().With(1, changes...), m.self, now+clock.Minute, now+clock.Minute))
	}
	return members[0], members[1]
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func newMember(t *testing.T, self table.Incarnation, service, address string) *member {
	m := &member{self: self, service: service, cell: snap.NewStore()}
	d, stop := target.New(target.WithLinger(0))
	t.Cleanup(stop)
	d.SetAddress(address)
	m.owner = owner.New(owner.WithStore(m.cell), owner.WithTarget(d))
	var stopHops func()
	m.hops, stopHops = hop.New()
	t.Cleanup(stopHops)
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	m.server = grpc.NewServer(grpc.InitialWindowSize(hop.WindowBytes))
	wirepb.RegisterHopServer(m.server, hop.NewServer(m.owner))
	go func() { _ = m.server.Serve(peers) }()
	t.Cleanup(m.server.Stop)
	m.peers = peers.Addr().String()
	m.front = front.New(front.WithDialect(words{}), front.WithRelay(relay.New(relay.WithStore(m.cell), relay.WithLocal(m.owner),
		relay.WithRemote(m.hops), relay.WithRetry(retry.Routed{}))))
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	go func() { _ = m.front.Serve(callers) }()
	m.address = callers.Addr().String()
	t.Cleanup(func() {
		_ = callers.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		m.front.Shutdown(ctx)
	})
	return m
}

// send sends a request for the service on a connection of its own.
func (m *member) send(t *testing.T, service string) (net.Conn, *bufio.Reader) {
	return m.upload(t, service, 0)
}

// content is the longest body.
var content = make([]byte, uploadBytes)

// upload sends a request with a body of so many bytes, as far as it is read.
func (m *member) upload(t *testing.T, service string, size int) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", m.address)
	must(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: %s\r\nId: 1\r\nContent-Length: %d\r\n\r\n", service, size)
	must(t, err)
	go func() { _, _ = c.Write(content[:size]) }()
	return c, bufio.NewReader(c)
}

// awaitEmpty waits until the target has no request any more.
func (m *member) awaitEmpty(t *testing.T) {
	t.Helper()
	empty := make(chan struct{})
	m.owner.InFlight().OnAllDrained(func() { close(empty) })
	select {
	case <-empty:
	case <-time.After(floodSlack):
		t.Fatal("a request is in flight still")
	}
}

// receive returns status and length of a response, and an error if it is not whole.
func receive(c net.Conn, r *bufio.Reader) (status int, length int64, err error) {
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(fastWait))
	a, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = a.Body.Close() }()
	length, err = io.Copy(io.Discard, a.Body)
	return a.StatusCode, length, err
}

// TestCallersOfATargetWithoutEnd asks the daemon beside the target and another one for answers
// that never end, more of them than the target has slots and some with long bodies, and for others
// meanwhile.
func TestCallersOfATargetWithoutEnd(t *testing.T) {
	for name, k := range kinds {
		for speed, pause := range speeds {
			t.Run(name+" "+speed, func(t *testing.T) {
				is := is.New(t)
				f := &flood{text: k.text, piece: k.piece, pause: pause}
				f.start(t)
				first, second := pair(t, f.address, routeWait)
				memory := peak()
				done, served := make(chan struct{}), make(chan int64)
				go func() { served <- serving(t, first, second, done) }()
				var group sync.WaitGroup
				for _, m := range []*member{first, second} {
					for n := range slots + 1 {
						group.Go(func() { cut(t, m, n%2*uploadBytes) })
					}
				}
				group.Wait()
				close(done)
				grown := memory()
				t.Logf("%d sound answers meanwhile, memory grew by %d KiB", <-served, grown>>10)
				for f.open.Load() > 0 {
					f.awaitClose(t)
				}
				is.True(grown < pathMemory)
				second.awaitEmpty(t)
			})
		}
	}
}

// cut asks with a body of so many bytes for an answer without end, and wants it not to look whole.
func cut(t *testing.T, m *member, size int) {
	began := time.Now()
	status, length, err := receive(m.upload(t, flooded, size))
	if err == nil && status != http.StatusBadGateway && status != http.StatusServiceUnavailable {
		t.Errorf("status %d with %d bytes looks whole", status, length)
	}
	if took := time.Since(began); took > routeWait*time.Millisecond+floodSlack {
		t.Errorf("the answer took %v", took)
	}
}

// serving asks both daemons for the sound service until done, and returns how often.
func serving(t *testing.T, first, second *member, done <-chan struct{}) int64 {
	count := int64(0)
	for {
		select {
		case <-done:
			return count
		case <-time.After(time.Millisecond):
		}
		for _, m := range []*member{first, second} {
			if status, _, err := receive(m.send(t, sound)); err != nil || status != http.StatusOK {
				t.Errorf("the sound service answers %d, %v", status, err)
				return count
			}
			count++
		}
	}
}

// reach sends a request for an answer without end to each of two daemons, and returns once the target
// has both. The callers read nothing.
func reach(t *testing.T, f *flood, wait clock.Millis) (first, second *member, callers []net.Conn) {
	f.start(t)
	first, second = pair(t, f.address, wait)
	for _, m := range []*member{first, second} {
		c, _ := m.send(t, flooded)
		callers = append(callers, c)
	}
	f.awaitRequests(t, int64(len(callers)))
	return first, second, callers
}

// lasting are the kinds that only a deadline ends.
func lasting(t *testing.T, test func(t *testing.T, f *flood)) {
	for name, k := range kinds {
		for speed, pause := range speeds {
			if !k.body && pause == 0 || name == "after chunk" || name == "lines" {
				continue
			}
			t.Run(name+" "+speed, func(t *testing.T) {
				t.Parallel()
				test(t, &flood{text: k.text, piece: k.piece, pause: pause})
			})
		}
	}
}

func TestCallerWhoLeavesEndsAnAnswerWithoutEnd(t *testing.T) {
	lasting(t, func(t *testing.T, f *flood) {
		is := is.New(t)
		_, second, callers := reach(t, f, longWait)
		is.Equal(f.open.Load(), int64(2))
		for _, c := range callers {
			_ = c.Close()
			f.awaitClose(t)
		}
		second.awaitEmpty(t)
	})
}

func TestCallerWhoReadsNothingEndsAtTheDeadline(t *testing.T) {
	lasting(t, func(t *testing.T, f *flood) {
		_, second, callers := reach(t, f, routeWait)
		for range callers {
			f.awaitClose(t)
		}
		second.awaitEmpty(t)
	})
}

func TestPlannedStopEndsAnswersWithoutEnd(t *testing.T) {
	lasting(t, func(t *testing.T, f *flood) {
		is := is.New(t)
		first, second, callers := reach(t, f, longWait)
		began := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), routeWait*time.Millisecond)
		defer cancel()
		var group sync.WaitGroup
		for _, m := range []*member{first, second} {
			group.Go(func() { m.front.Shutdown(ctx) })
		}
		group.Wait()
		defer time.AfterFunc(routeWait*time.Millisecond, second.server.Stop).Stop()
		second.server.GracefulStop()
		is.True(time.Since(began) < 2*routeWait*time.Millisecond+floodSlack)
		for _, c := range callers {
			f.awaitClose(t)
			if status, length, err := receive(c, bufio.NewReader(c)); err == nil && status != http.StatusBadGateway {
				t.Fatalf("status %d with %d bytes looks whole", status, length)
			}
		}
	})
}
