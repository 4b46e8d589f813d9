package hopmsg_test

import (
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/state/call"
	"verbenabank/core/state/load"
	"verbenabank/core/state/result"
	"verbenabank/core/wire/hopmsg"
)

// TestRoomCrossesTheWire guards against a share that is lost or inverted between daemons, and against bytes for nothing.
func TestRoomCrossesTheWire(t *testing.T) {
	is := is.New(t)
	for _, r := range []load.Room{{}, load.NewRoom(1, 40), load.NewRoom(2, 0).ForCall(), load.NewRoom(0, 100).ForCall()} {
		f := call.NewFailure(result.NewRefused(result.Overloaded, 5)).WithBacklog(load.NewBacklog(5, 5, 1).WithRoom(r))
		is.Equal(hopmsg.DecodeFailure(hopmsg.EncodeFailure(f).GetFailure()).Backlog().Room(), r)
	}
	plain := hopmsg.EncodeFailure(call.Refuse(result.Overloaded).WithBacklog(load.NewBacklog(5, 5, 1)))
	is.Equal(plain.GetFailure().GetBacklog().GetShortPercent(), uint32(0))
	q := call.NewRequest("s", "GET", "/", call.WithOrigin("menu"))
	is.Equal(hopmsg.DecodeRequest(hopmsg.EncodeRequestHead(q, false).GetHead(), nil).Origin(), "menu")
}
