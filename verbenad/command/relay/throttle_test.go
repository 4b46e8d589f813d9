package relay_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/query/route"
	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/verbenad/command/relay"
)

// saturatedOwner refuses requests with a hold-off until it is relieved, and counts those that reach it.
type saturatedOwner struct {
	relieved atomic.Bool
	late     atomic.Bool // requests time out, or do not reach the owner
	asked    atomic.Int32
}

const testHoldOff = 200 * clock.Millisecond

func (o *saturatedOwner) Send(context.Context, string, call.Request) call.Reply {
	if n := o.asked.Add(1); o.late.Load() {
		if n%2 == 0 {
			return call.Refuse(result.Unreachable)
		}
		return call.Unknown(result.TimedOut)
	}
	if o.relieved.Load() {
		return emptyResponse()
	}
	return call.NewFailure(result.NewRefused(result.Overloaded, 50).WithHoldOff(testHoldOff))
}

// TestSaturatedOwnerIsNotAsked guards against daemons that take all of an owner's processor time with requests that it
// has to refuse, so that it finds no leader and gets no configuration. The callers are told when to come back.
func TestSaturatedOwnerIsNotAsked(t *testing.T) {
	is := is.New(t)
	o := &saturatedOwner{}
	r, s, _ := newKeyedRelay(o)
	is.True(!sendKey(r, s))
	for range 100 {
		q := relay.NewRequest(s, route.ResolvedAttributes(service, "k"), clock.New().Now()+3000)
		f, failed := r.Run(context.Background(), q).Reply().(call.Failure)
		is.True(failed)
		refused, ok := f.Outcome().(result.Refused)
		is.True(ok)
		is.Equal(refused.Reason(), result.Overloaded)
		is.True(refused.RetryAfter() > 0 && refused.RetryAfter() <= 2*testHoldOff)
	}
	is.Equal(o.asked.Load(), int32(1))
	o.relieved.Store(true)
	for !sendKey(r, s) {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(o.asked.Load(), int32(2))
	is.True(sendKey(r, s)) // all requests pass again
	is.True(sendKey(r, s))
}

// TestTimeoutsDoNotEndAHoldOff guards against an owner that gets all requests again because it has so little processor
// time that those which reach it time out.
func TestTimeoutsDoNotEndAHoldOff(t *testing.T) {
	is := is.New(t)
	o := &saturatedOwner{}
	r, s, _ := newKeyedRelay(o)
	is.True(!sendKey(r, s))
	o.late.Store(true)
	for end := time.Now().Add(4 * testHoldOff.Duration()); time.Now().Before(end); {
		is.True(!sendKey(r, s))
	}
	is.True(o.asked.Load() <= 9) // one in each hold-off, which is 100 ms at least
}
