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

// beside returns the owner at a target of one slot, whose 503 says that it did not run a request.
func beside(t *testing.T, address string) *owner.Owner {
	s := rules.NewService(service, rules.WithKind(rules.Pooled{}), rules.WithSlots(1), rules.WithShedding(rules.ShedNotRun{}))
	x := table.Empty().With(1, table.NewRulesSet(rules.New(1, "", s)),
		table.NewMemberSet(table.NewMember(self, "i", "z", "", service, table.Serving{})))
	cell, now := snap.NewStore(), clock.New().Now()
	cell.Publish(snap.New(x, self, now+clock.Minute, now+clock.Minute))
	d, stop := target.New(target.WithLinger(floodSettle))
	t.Cleanup(stop)
	d.SetAddress(address)
	return owner.New(owner.WithStore(cell), owner.WithTarget(d))
}

// TestRefusalWithoutEndIsPassedOnAtOnce wants the time that is left for a request that did not run to
// be used elsewhere.
func TestRefusalWithoutEndIsPassedOnAtOnce(t *testing.T) {
	for name, k := range kinds {
		if !strings.Contains(k.text, "\r\n\r\n") {
			continue
		}
		refusal := strings.Replace(k.text, "200 OK", "503 Service Unavailable", 1)
		for speed, pause := range map[string]time.Duration{"drips": 10 * time.Millisecond, "at full speed": 0} {
			t.Run(name+" "+speed, func(t *testing.T) {
				is := is.New(t)
				f := &flood{text: refusal, piece: k.piece, pause: pause}
				f.start(t)
				o := beside(t, f.address)
				ctx, cancel := context.WithTimeout(context.Background(), fastWait)
				defer cancel()
				for range 2 { // the slot is free again
					began := time.Now()
					is.Equal(drain(o.Serve(ctx, call.NewRequest(service, "GET", "/", call.WithMember(self)))), "refused shed")
					took := time.Since(began)
					t.Log(took)
					is.True(took < floodSlack)
					f.awaitClose(t)
				}
				is.True(f.sent.Load() < 2*floodBytes)
			})
		}
	}
}
