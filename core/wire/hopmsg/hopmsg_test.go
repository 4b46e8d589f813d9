package hopmsg_test

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"verbenabank/core/clock"
	"verbenabank/core/state/call"
	"verbenabank/core/state/load"
	"verbenabank/core/wire/hopmsg"
	"verbenabank/core/wire/wirepb"
)

// TestBacklogIsSmallAndSurvives measures by how much a backlog lengthens an answer.
func TestBacklogIsSmallAndSurvives(t *testing.T) {
	is := is.New(t)
	const largest = 1 << 28
	b := load.NewBacklog(1000, 1000, 1000).WithWork(clock.Minute, 10*clock.Second).
		WithCold(load.NewColdStart(3*clock.Second, 100)).WithServed(10 * clock.Second)
	plain := call.NewResponse(200, nil, nil, 0)
	with := hopmsg.EncodeResponseHead(plain.WithBacklog(b))
	growth := proto.Size(with) - proto.Size(hopmsg.EncodeResponseHead(plain))
	t.Logf("%d bytes", growth)
	is.True(growth <= 32)
	is.Equal(hopmsg.DecodeResponse(with.GetHead(), nil).Backlog(), b)
	absurd := &wirepb.Failure{Backlog: &wirepb.Backlog{Slots: 1<<32 - 1, Running: 1<<32 - 1, WorkMs: 1<<32 - 1, ServedMs: 1<<32 - 1}}
	got := hopmsg.DecodeFailure(absurd).Backlog()
	is.True(got.Slots() < largest && got.Running() < largest && got.Work() < largest && got.Served() < largest)
}
