package rooms_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/command/room"
	"verbenabank/core/state/call"
	"verbenabank/core/state/load"
	"verbenabank/core/state/result"
	"verbenabank/verbenad/command/rooms"
)

// TestClassIsNoCallForEver guards against a class of new requests that a daemon has once taken for calls: when its
// refusals close the gate, the local target gets fewer requests, though it makes no calls.
func TestClassIsNoCallForEver(t *testing.T) {
	is := is.New(t)
	m := clock.NewManual(1)
	r := rooms.New(rooms.WithClock(clock.New(clock.WithSource(m.Now))))
	// turned returns how many of 100 new requests are turned away, after 20 s in which requests of the class are refused.
	turned := func(told load.Room) (n int) {
		for range 400 {
			m.Advance(50)
			r.Learn("order", "id", told, true)
			r.End("order", result.NewRefused(result.Overloaded, 0))
		}
		for i := range 100 {
			if _, ok := r.Arrive(call.NewRequest("s", "GET", "/", call.WithID(fmt.Sprint(i)))).(room.Turned); ok {
				n++
			}
		}
		return n
	}
	is.True(turned(load.NewRoom(0, room.Full).ForCall()) > 50)
	is.Equal(turned(load.NewRoom(0, room.Full)), 0)
}

// TestRefusalWithoutIDIsFinal guards against requests without an ID that are tried at one gate after the other until one
// admits them.
func TestRefusalWithoutIDIsFinal(t *testing.T) {
	is := is.New(t)
	r := rooms.New()
	is.True(!r.Learn("order", "", load.NewRoom(0, room.Full), true))
	is.True(r.Learn("order", "", load.NewRoom(0, 30), true))
	is.True(!r.Learn("order", "", load.NewRoom(0, 30), false))
}
