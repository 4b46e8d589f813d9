package relay_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/query/retry"
	"verbenabank/core/query/route"
	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
	"verbenabank/verbenad/command/relay"
)

// closedOwner refuses the key as not held until it is opened, and counts the requests that reach it.
type closedOwner struct {
	open  atomic.Bool
	asked atomic.Int32
}

func (o *closedOwner) Send(context.Context, string, call.Request) call.Reply {
	o.asked.Add(1)
	if o.open.Load() {
		return emptyResponse()
	}
	return call.Refuse(result.NotHeld)
}

// newKeyedRelay returns the relay of a daemon, its service, whose only shard another daemon owns, and a
// function that publishes the loss of that owner.
func newKeyedRelay(o relay.Remote) (*relay.Relay, rules.Service, func()) {
	c, store := clock.New(), snap.NewStore()
	s := rules.NewService(service, rules.WithKind(rules.NewKeyed(rules.NewHeader("Key"), 1)))
	x := table.Empty().With(1, table.NewRulesSet(rules.New(1, "", s)), table.NewOwnershipSet(service, 0, table.NewOwned(2, 1)),
		table.NewMemberSet(table.NewMember(2, "i", "z", "a", service, table.Serving{})))
	publish := func(x *table.Table) { store.Publish(snap.New(x, 1, c.Now()+clock.Minute, c.Now()+clock.Minute)) }
	publish(x)
	r := relay.New(relay.WithClock(c), relay.WithStore(store), relay.WithRemote(o), relay.WithRetry(retry.Routed{}))
	return r, s, func() { publish(x.With(2, table.NewOwnershipSet(service, 0, table.NewVacant(1)))) }
}

// sendKey sends a request for the key and reports whether it was answered.
func sendKey(r *relay.Relay, s rules.Service) bool {
	q := relay.NewRequest(s, route.ResolvedAttributes(service, "k"), clock.New().Now()+3000)
	_, ok := r.Run(context.Background(), q).Reply().(call.Response)
	return ok
}

// TestPopularKeyWithoutHolderDoesNotFloodItsOwner sends 200 requests for a key at once while its owner's target
// doesn't hold it, and lets it be held 200 ms later. In a large fleet the retries take all of the owner's
// processor time, so that it finds a new leader late, which would move the key.
func TestPopularKeyWithoutHolderDoesNotFloodItsOwner(t *testing.T) {
	is := is.New(t)
	o := &closedOwner{}
	r, s, _ := newKeyedRelay(o)
	var group sync.WaitGroup
	var answered atomic.Int32
	send := func() {
		if sendKey(r, s) {
			answered.Add(1)
		}
	}
	group.Go(send)
	for o.asked.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	for range 199 {
		group.Go(send)
	}
	time.Sleep(200 * time.Millisecond)
	asked := o.asked.Load()
	t.Logf("the owner was asked %d times", asked)
	is.True(asked < 50)
	o.open.Store(true)
	group.Wait()
	is.Equal(answered.Load(), int32(200)) // those that waited are served as soon as the key is
}

// slowOwner refuses the key as not held once, and answers the next request when it is told to.
type slowOwner struct {
	asked  atomic.Int32
	answer chan struct{}
}

func (o *slowOwner) Send(context.Context, string, call.Request) call.Reply {
	if o.asked.Add(1) == 1 {
		return call.Refuse(result.NotHeld)
	}
	<-o.answer
	return emptyResponse()
}

// TestRequestThatWasHeldBackWaitsForAnOwner loses the owner of a key while one request probes it and another
// waits for that. Once the probe is answered, the other goes on waiting, for an owner, without trying all the time.
func TestRequestThatWasHeldBackWaitsForAnOwner(t *testing.T) {
	is := is.New(t)
	o := &slowOwner{answer: make(chan struct{})}
	r, s, loseOwner := newKeyedRelay(o)
	var group sync.WaitGroup
	group.Go(func() { sendKey(r, s) })
	for o.asked.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	var tries atomic.Int32
	group.Go(func() {
		a := route.NewAttributes("/"+service+"/", func(string) string {
			tries.Add(1)
			return "k"
		})
		r.Run(context.Background(), relay.NewRequest(s, a, clock.New().Now()+3000))
	})
	for tries.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	loseOwner()
	close(o.answer)
	group.Wait()
	t.Logf("%d tries", tries.Load())
	is.True(tries.Load() < 20)
}
