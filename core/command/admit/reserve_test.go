package admit

import (
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
)

// TestSlotsAreReservedForFirmRequests guards against short calls that wait for a slot behind long requests, and against
// slots that stay reserved when there are no more calls.
func TestSlotsAreReservedForFirmRequests(t *testing.T) {
	is := is.New(t)
	const slots = 10
	l := NewLimits(slots, 64, 5000)
	lm := New(l, WithOrder(CostAware{}))
	request := func(now clock.Millis, priority int) Request {
		return NewRequest(now+9000, 5000).WithPriority(priority, now+5000, 8000).WithClass("c")
	}
	admitted := func(x *Ticket) bool {
		select {
		case d := <-x.Ready():
			_, ok := d.(Admitted)
			return ok
		default:
			return false
		}
	}
	now := clock.Millis(1)
	for range 400 { // five firm requests run at a time
		for range 5 {
			is.True(admitted(lm.Submit(now, request(now, 0).Firm(0), l)))
		}
		for range 5 {
			lm.EndFirm()
			lm.ReleaseClass("c", now, 5)
		}
		now += 5
	}
	running := 0
	for range slots {
		if admitted(lm.Submit(now, request(now, 0), l)) {
			running++
		}
	}
	is.Equal(running, slots-slots/reserveDivisor)
	is.True(admitted(lm.Submit(now, request(now, 0).Firm(0), l)))
	now += reserveLifetime + 100
	lm.EndFirm()
	lm.ReleaseClass("c", now, 5)
	is.Equal(lm.TargetLoad().Running(), slots) // the waiting ones take the reserved slots
}
