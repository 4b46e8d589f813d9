package relay_test

import (
	"context"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/query/picker"
	"verbenabank/core/query/retry"
	"verbenabank/core/query/route"
	"verbenabank/core/state/call"
	"verbenabank/core/state/load"
	"verbenabank/core/state/result"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
	"verbenabank/verbenad/command/relay"
)

const service = "intake"

// fakeDaemons is both the local target and all remote daemons. It counts requests and replies with
// reply.
type fakeDaemons struct {
	localCalls, remoteCalls int
	reply                   func() call.Reply
}

func (f *fakeDaemons) Serve(context.Context, call.Request) call.Reply {
	f.localCalls++
	return f.reply()
}

func (f *fakeDaemons) Send(context.Context, string, call.Request) call.Reply {
	f.remoteCalls++
	return f.reply()
}

// newRelay returns the relay of member 1 of four members in one availability zone.
func newRelay(f *fakeDaemons, opts ...relay.Option) (*relay.Relay, rules.Service) {
	c, store, s := clock.New(), snap.NewStore(), rules.NewService(service)
	changes := []table.Change{table.NewRulesSet(rules.New(1, "", s))}
	for i := range table.Incarnation(4) {
		changes = append(changes, table.NewMemberSet(table.NewMember(i+1, "i", "z", "a", service, table.Serving{})))
	}
	store.Publish(snap.New(table.Empty().With(1, changes...), 1, c.Now()+60_000, c.Now()+60_000))
	opts = append([]relay.Option{relay.WithClock(c), relay.WithStore(store), relay.WithLocal(f), relay.WithRemote(f),
		relay.WithRetry(retry.Routed{}), relay.WithZone("z")}, opts...)
	return relay.New(opts...), s
}

// upload runs a request with a body of that many bytes.
func upload(r *relay.Relay, s rules.Service, bytes int) relay.Result {
	body := relay.NewBody(strings.NewReader(strings.Repeat("x", bytes)), int64(bytes), 1<<20, func() {})
	deadline := clock.New().Now() + 5000
	return r.Run(context.Background(), relay.NewRequest(s, route.ResolvedAttributes(service, ""), deadline, relay.WithBody(body)))
}

func emptyResponse() call.Reply {
	return call.NewResponse(200, nil, io.NopCloser(strings.NewReader("")), 0)
}

// TestLargeBodiesPreferLocalTarget guards against large bodies that cross the network though the
// local target could serve them; small ones are balanced over all targets.
func TestLargeBodiesPreferLocalTarget(t *testing.T) {
	is := is.New(t)
	f := &fakeDaemons{reply: emptyResponse}
	r, s := newRelay(f)
	for range 40 {
		served, ok := upload(r, s, 60<<10).Reply().(call.Response)
		is.True(ok)
		is.NoErr(served.Body().Close())
	}
	is.Equal(f.remoteCalls, 0)
	for range 40 {
		served, ok := upload(r, s, 100).Reply().(call.Response)
		is.True(ok)
		is.NoErr(served.Body().Close())
	}
	is.True(f.remoteCalls > 0)
}

// TestLargeBodyIsRetriedElsewhereIfLocalTargetIsOverloaded guards against a preference for the
// local target that also binds retries to it.
func TestLargeBodyIsRetriedElsewhereIfLocalTargetIsOverloaded(t *testing.T) {
	is := is.New(t)
	f := &fakeDaemons{}
	f.reply = func() call.Reply {
		if f.remoteCalls == 0 {
			return call.Refuse(result.Overloaded)
		}
		return emptyResponse()
	}
	r, s := newRelay(f)
	_, ok := upload(r, s, 60<<10).Reply().(call.Response)
	is.True(ok)
	is.Equal(f.localCalls, 1)
	is.Equal(f.remoteCalls, 1)
}

// truncatedBody is a response body that breaks off at once.
type truncatedBody struct{}

func (truncatedBody) Read([]byte) (int, error) { return 0, call.NewError("read", result.Truncated) }

func (truncatedBody) Close() error { return nil }

// truncatingLocal is a local target with truncated responses; the remote ones are complete.
type truncatingLocal struct{ fakeDaemons }

func (l *truncatingLocal) Serve(context.Context, call.Request) call.Reply {
	l.localCalls++
	return call.NewResponse(200, nil, truncatedBody{}, -1)
}

// TestTargetWithTruncatedResponsesIsEjected guards against counting a response as a success by its
// header alone: such a target must not keep its share of the requests.
func TestTargetWithTruncatedResponsesIsEjected(t *testing.T) {
	is := is.New(t)
	l := &truncatingLocal{fakeDaemons{reply: emptyResponse}}
	r, s := newRelay(&l.fakeDaemons, relay.WithLocal(l))
	const requests = 400
	for range requests {
		deadline := clock.New().Now() + 5000
		served, ok := r.Run(context.Background(), relay.NewRequest(s, route.ResolvedAttributes(service, ""), deadline)).Reply().(call.Response)
		is.True(ok)
		_, _ = io.Copy(io.Discard, served.Body())
		is.NoErr(served.Body().Close())
	}
	t.Logf("%d of %d requests went to the target with truncated responses", l.localCalls, requests)
	is.True(l.localCalls < requests/20)
}

// TestBacklogsCountOnlyIfAsked has targets that take no time, of which three report long queues: the requests are balanced
// as before unless expected work decides.
func TestBacklogsCountOnlyIfAsked(t *testing.T) {
	is := is.New(t)
	remoteShare := func(opts ...relay.Option) float64 {
		b := load.NewBacklog(4, 4, 100).WithWork(10_400, 100)
		f := &fakeDaemons{}
		busy := &busyDaemons{f, b}
		r, s := newRelay(f, append(opts, relay.WithRemote(busy))...)
		f.reply = emptyResponse
		const requests = 400
		for range requests {
			served, ok := r.Run(context.Background(), relay.NewRequest(s, route.ResolvedAttributes(service, ""), clock.New().Now()+5000)).Reply().(call.Response)
			is.True(ok)
			_, _ = io.Copy(io.Discard, served.Body())
			is.NoErr(served.Body().Close())
		}
		return float64(f.remoteCalls) / requests
	}
	before, after := remoteShare(), remoteShare(relay.WithBalancing(picker.NewExpectedWork(picker.DefaultZoneCost)))
	t.Logf("share of the three busy targets: %.2f by latency, %.2f by expected work", before, after)
	is.True(before > 0.6)
	is.True(after < 0.2)
}

// busyDaemons are the remote daemons of fakeDaemons with a backlog on each reply.
type busyDaemons struct {
	*fakeDaemons
	backlog load.Backlog
}

func (b *busyDaemons) Send(ctx context.Context, address string, r call.Request) call.Reply {
	return b.fakeDaemons.Send(ctx, address, r).(call.Response).WithBacklog(b.backlog)
}
