package relay_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/query/retry"
	"verbenabank/core/query/route"
	"verbenabank/core/state/call"
	"verbenabank/core/state/load"
	"verbenabank/core/state/result"
	"verbenabank/core/state/rules"
	"verbenabank/verbenad/command/relay"
	"verbenabank/verbenad/command/rooms"
)

// runs sends n requests of one class and returns how many attempts were made.
func runs(r *relay.Relay, s rules.Service, n int) int {
	attempts := 0
	for i := range n {
		q := relay.NewRequest(s, route.ResolvedAttributes(service, ""), clock.New().Now()+5000,
			relay.WithMessage(fmt.Sprint("request ", i), "GET", "/"), relay.WithRoute(rules.NewRoute("order", "h", "/"), 5000))
		attempts += r.Run(context.Background(), q).Attempts()
	}
	return attempts
}

// TestRequestsBeyondTheShareMakeNoTrip guards against trips to daemons that would all refuse: they admit no new requests
// of the class. Without Rooms, each request asks as many daemons as before.
func TestRequestsBeyondTheShareMakeNoTrip(t *testing.T) {
	is := is.New(t)
	full := &fakeDaemons{reply: func() call.Reply {
		return call.NewFailure(result.NewRefused(result.Overloaded, 10)).WithBacklog(load.NewBacklog(5, 5, 9).WithRoom(load.NewRoom(0, 0)))
	}}
	before, s := newRelay(full)
	is.Equal(runs(before, s, 100), 100*retry.MaxDaemons)
	after, s := newRelay(full, relay.WithRooms(rooms.New()))
	is.True(runs(after, s, 100) < 30)
}

// originOf records the origins that requests tell.
type originOf struct{ told []string }

func (o *originOf) Serve(_ context.Context, q call.Request) call.Reply {
	o.told = append(o.told, q.Origin())
	return emptyResponse()
}

func (o *originOf) Send(ctx context.Context, _ string, q call.Request) call.Reply {
	return o.Serve(ctx, q)
}

// TestRequestsTellTheirOriginOnlyWithRooms guards the switch: without Rooms, messages are those of before.
func TestRequestsTellTheirOriginOnlyWithRooms(t *testing.T) {
	is := is.New(t)
	o := &originOf{}
	for _, opts := range [][]relay.Option{{}, {relay.WithRooms(rooms.New())}} {
		r, s := newRelay(&fakeDaemons{}, append(opts, relay.WithLocal(o), relay.WithRemote(o))...)
		runs(r, s, 1)
	}
	is.Equal(o.told, []string{"", service})
}
