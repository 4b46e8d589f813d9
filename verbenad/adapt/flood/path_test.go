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

// callerDialect is a dialect that returns outcomes as text.
type callerDialect struct{}

func (callerDialect) RequestInfo(h *fasthttp.RequestHeader) front.RequestInfo {
	return front.NewRequestInfo(string(h.Peek("Id")), 0)
}

func (callerDialect) ForwardedFields(fields []call.Field, _ string) []call.Field { return fields }

func (callerDialect) ErrorResponse(_ string, o result.Outcome) front.ErrorResponse {
	switch o := o.(type) {
	case result.Refused:
		return front.NewErrorResponse(http.StatusServiceUnavailable, "refused "+string(o.Reason()))
	case result.Unknown:
		return front.NewErrorResponse(http.StatusBadGateway, "unknown "+string(o.Reason()))
	case result.Answered:
	}
	return front.NewErrorResponse(http.StatusInternalServerError, "none")
}

// member is a daemon without a control loop.
type member struct {
	self           table.Incarnation
	service        string
	store          *snap.Store
	owner          *owner.Owner
	front          *front.Server
	server         *grpc.Server
	hops           *hop.Client
	peersAddress   string
	callersAddress string
}

const (
	endlessService = "flooded" // its target sends endless responses
	healthyService = "sound"
	// routeTimeoutMs and longTimeoutMs are time-outs of requests in milliseconds.
	routeTimeoutMs = 300
	longTimeoutMs  = 60_000
	slots          = 4
	// uploadBytes is more than the buffers on the path hold, so that uploads block: the target reads no
	// bodies.
	uploadBytes = 16 << 20
	// maxPathHeapGrowth is the limit for callers, daemons and the healthy target together.
	maxPathHeapGrowth = 16 << 20
)

// startDaemons starts two daemons: the first has a healthy target, the second has the target at the
// address. The time-out is that of requests.
func startDaemons(t *testing.T, address string, timeout clock.Millis) (first, second *member) {
	healthy, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "well") })}
	go func() { _ = s.Serve(healthy) }()
	t.Cleanup(func() { _ = s.Close() })
	members := []*member{newMember(t, 1, healthyService, healthy.Addr().String()), newMember(t, 2, endlessService, address)}
	var services []rules.Service
	var routes []rules.Route
	for _, m := range members {
		services = append(services, rules.NewService(m.service, rules.WithKind(rules.Pooled{}), rules.WithSlots(slots)))
		routes = append(routes, rules.NewRoute(m.service, m.service, "/", rules.WithIdempotency(rules.Once{}),
			rules.WithTimes(timeout, timeout), rules.WithTrafficSplit(rules.NewWeightedService(m.service, 1))))
	}
	r := rules.New(1, "", services...).WithRoutes(routes...)
	changes := []table.Change{table.NewRulesSet(r)}
	for _, m := range members {
		changes = append(changes, table.NewMemberSet(table.NewMember(m.self, m.service, "z", m.peersAddress, m.service, table.Serving{})))
	}
	now := clock.New().Now()
	for _, m := range members {
		m.store.Publish(snap.New(table.Empty().With(1, changes...), m.self, now+clock.Minute, now+clock.Minute))
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
	m := &member{self: self, service: service, store: snap.NewStore()}
	d, stop := target.New(target.WithLinger(0))
	t.Cleanup(stop)
	d.SetAddress(address)
	m.owner = owner.New(owner.WithStore(m.store), owner.WithTarget(d))
	var stopHops func()
	m.hops, stopHops = hop.New()
	t.Cleanup(stopHops)
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	m.server = grpc.NewServer(grpc.InitialWindowSize(hop.WindowBytes))
	wirepb.RegisterHopServer(m.server, hop.NewServer(m.owner))
	go func() { _ = m.server.Serve(peers) }()
	t.Cleanup(m.server.Stop)
	m.peersAddress = peers.Addr().String()
	m.front = front.New(front.WithDialect(callerDialect{}), front.WithRelay(relay.New(relay.WithStore(m.store), relay.WithLocal(m.owner),
		relay.WithRemote(m.hops), relay.WithRetry(retry.Routed{}))))
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	go func() { _ = m.front.Serve(callers) }()
	m.callersAddress = callers.Addr().String()
	t.Cleanup(func() {
		_ = callers.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		m.front.Shutdown(ctx)
	})
	return m
}

// send sends a request for the service on a new connection.
func (m *member) send(t *testing.T, service string) (net.Conn, *bufio.Reader) {
	return m.sendWithBody(t, service, 0)
}

// zeroReader is an endless body. Bodies are not kept on the heap, since the collector lets garbage grow in
// proportion to what is.
type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// sendWithBody sends a request with a body of size bytes on a new connection. The body is sent in the
// background, as far as the daemon reads it.
func (m *member) sendWithBody(t *testing.T, service string, size int) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", m.callersAddress)
	must(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: %s\r\nId: 1\r\nContent-Length: %d\r\n\r\n", service, size)
	must(t, err)
	go func() { _, _ = io.CopyN(c, zeroReader{}, int64(size)) }()
	return c, bufio.NewReader(c)
}

// awaitNoneInFlight waits until the target has no request in flight.
func (m *member) awaitNoneInFlight(t *testing.T) {
	t.Helper()
	idle := make(chan struct{})
	m.owner.InFlight().OnAllDrained(func() { close(idle) })
	select {
	case <-idle:
	case <-time.After(floodSlack):
		t.Fatal("a request is still in flight")
	}
}

// receive returns the status and the body length of a response, and an error if it is incomplete.
func receive(c net.Conn, r *bufio.Reader) (status int, length int64, err error) {
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(fastDeadline))
	a, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = a.Body.Close() }()
	length, err = io.Copy(io.Discard, a.Body)
	return a.StatusCode, length, err
}

// TestEndlessResponsesThroughDaemons sends requests for endless responses through the target's own daemon and
// through another one: more than the target has slots, and some with large bodies. Meanwhile the healthy
// service must answer, and memory stays bounded.
func TestEndlessResponsesThroughDaemons(t *testing.T) {
	for name, k := range kinds {
		for speed, pause := range speeds {
			t.Run(name+" "+speed, func(t *testing.T) {
				is := is.New(t)
				f := &endlessTarget{prefix: k.prefix, piece: k.piece, pause: pause}
				f.start(t)
				first, second := startDaemons(t, f.address, routeTimeoutMs)
				memory := measureHeapGrowth()
				done, served := make(chan struct{}), make(chan int64)
				go func() { served <- checkHealthyService(t, first, second, done) }()
				var group sync.WaitGroup
				for _, m := range []*member{first, second} {
					for n := range slots + 1 {
						group.Go(func() { checkEndlessResponse(t, m, n%2*uploadBytes) })
					}
				}
				group.Wait()
				close(done)
				grown := memory()
				t.Logf("%d responses of the healthy service meanwhile, memory grew by %d KiB", <-served, grown>>10)
				for f.open.Load() > 0 {
					f.awaitClose(t)
				}
				is.True(grown < maxPathHeapGrowth)
				second.awaitNoneInFlight(t)
			})
		}
	}
}

// checkEndlessResponse sends a request with a body of size bytes for an endless response, and checks that the
// caller gets an error or an incomplete response, in time.
func checkEndlessResponse(t *testing.T, m *member, size int) {
	began := time.Now()
	status, length, err := receive(m.sendWithBody(t, endlessService, size))
	if err == nil && status != http.StatusBadGateway && status != http.StatusServiceUnavailable {
		t.Errorf("response with status %d and %d bytes looks complete", status, length)
	}
	if took := time.Since(began); took > routeTimeoutMs*time.Millisecond+floodSlack {
		t.Errorf("the response took %v", took)
	}
}

// checkHealthyService sends requests for the healthy service to both daemons until done, checks the
// responses, and returns their number.
func checkHealthyService(t *testing.T, first, second *member, done <-chan struct{}) int64 {
	count := int64(0)
	for {
		select {
		case <-done:
			return count
		case <-time.After(time.Millisecond):
		}
		for _, m := range []*member{first, second} {
			if status, _, err := receive(m.send(t, healthyService)); err != nil || status != http.StatusOK {
				t.Errorf("healthy service: status %d, error %v", status, err)
				return count
			}
			count++
		}
	}
}

// startEndlessRequests sends a request for an endless response to each of two daemons, and returns once the
// target has both. The callers do not read the responses.
func startEndlessRequests(t *testing.T, f *endlessTarget, timeout clock.Millis) (first, second *member, callers []net.Conn) {
	f.start(t)
	first, second = startDaemons(t, f.address, timeout)
	for _, m := range []*member{first, second} {
		c, _ := m.send(t, endlessService)
		callers = append(callers, c)
	}
	f.awaitRequests(t, int64(len(callers)))
	return first, second, callers
}

// forLastingKinds runs a test with each endless response that ends only at a deadline.
func forLastingKinds(t *testing.T, test func(t *testing.T, f *endlessTarget)) {
	for name, k := range kinds {
		for speed, pause := range speeds {
			if !k.body && pause == 0 || name == "after chunk" || name == "lines" {
				continue
			}
			t.Run(name+" "+speed, func(t *testing.T) {
				t.Parallel()
				test(t, &endlessTarget{prefix: k.prefix, piece: k.piece, pause: pause})
			})
		}
	}
}

func TestDisconnectEndsEndlessResponse(t *testing.T) {
	forLastingKinds(t, func(t *testing.T, f *endlessTarget) {
		is := is.New(t)
		_, second, callers := startEndlessRequests(t, f, longTimeoutMs)
		is.Equal(f.open.Load(), int64(2))
		for _, c := range callers {
			_ = c.Close()
			f.awaitClose(t)
		}
		second.awaitNoneInFlight(t)
	})
}

func TestUnreadEndlessResponseEndsAtDeadline(t *testing.T) {
	forLastingKinds(t, func(t *testing.T, f *endlessTarget) {
		_, second, callers := startEndlessRequests(t, f, routeTimeoutMs)
		for range callers {
			f.awaitClose(t)
		}
		second.awaitNoneInFlight(t)
	})
}

func TestShutdownEndsEndlessResponses(t *testing.T) {
	forLastingKinds(t, func(t *testing.T, f *endlessTarget) {
		is := is.New(t)
		first, second, callers := startEndlessRequests(t, f, longTimeoutMs)
		began := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), routeTimeoutMs*time.Millisecond)
		defer cancel()
		var group sync.WaitGroup
		for _, m := range []*member{first, second} {
			group.Go(func() { m.front.Shutdown(ctx) })
		}
		group.Wait()
		defer time.AfterFunc(routeTimeoutMs*time.Millisecond, second.server.Stop).Stop()
		second.server.GracefulStop()
		is.True(time.Since(began) < 2*routeTimeoutMs*time.Millisecond+floodSlack)
		for _, c := range callers {
			f.awaitClose(t)
			if status, length, err := receive(c, bufio.NewReader(c)); err == nil && status != http.StatusBadGateway {
				t.Fatalf("response with status %d and %d bytes looks complete", status, length)
			}
		}
	})
}
