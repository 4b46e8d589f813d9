package flood

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/state/call"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
	"verbenabank/verbenad/adapt/target"
	"verbenabank/verbenad/command/owner"
)

const (
	service = "catalogue"
	self    = 7
)

// newOwner returns an owner for a target with one slot, whose status 503 means that it did not run the
// request.
func newOwner(t *testing.T, address string) *owner.Owner {
	s := rules.NewService(service, rules.WithKind(rules.Pooled{}), rules.WithSlots(1), rules.WithShedding(rules.ShedNotRun{}))
	x := table.Empty().With(1, table.NewRulesSet(rules.New(1, "", s)),
		table.NewMemberSet(table.NewMember(self, "i", "z", "", service, table.Serving{})))
	store, now := snap.NewStore(), clock.New().Now()
	store.Publish(snap.New(x, self, now+clock.Minute, now+clock.Minute))
	d, stop := target.New(target.WithLinger(floodLinger))
	t.Cleanup(stop)
	d.SetAddress(address)
	return owner.New(owner.WithStore(store), owner.WithTarget(d))
}

// TestEndlessRejectionIsReturnedAtOnce checks that a rejection is returned before its body ends, so that the
// time left can be used for a retry at another target.
func TestEndlessRejectionIsReturnedAtOnce(t *testing.T) {
	for name, k := range kinds {
		if !strings.Contains(k.prefix, "\r\n\r\n") {
			continue
		}
		rejection := strings.Replace(k.prefix, "200 OK", "503 Service Unavailable", 1)
		for speed, pause := range map[string]time.Duration{"slowly": 10 * time.Millisecond, "at full speed": 0} {
			t.Run(name+" "+speed, func(t *testing.T) {
				is := is.New(t)
				f := &endlessTarget{prefix: rejection, piece: k.piece, pause: pause}
				f.start(t)
				o := newOwner(t, f.address)
				ctx, cancel := context.WithTimeout(context.Background(), fastDeadline)
				defer cancel()
				for range 2 { // the second one needs the slot of the first
					began := time.Now()
					is.Equal(readOutcome(o.Serve(ctx, call.NewRequest(service, "GET", "/", call.WithMember(self)))), "refused shed")
					took := time.Since(began)
					t.Log(took)
					is.True(took < floodSlack)
					f.awaitClose(t)
				}
				is.True(f.sent.Load() < 2*maxSentBytes)
			})
		}
	}
}
