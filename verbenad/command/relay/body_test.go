package relay_test

import (
	"bytes"
	"context"
	"io"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/query/route"
	"verbenabank/core/state/call"
	"verbenabank/verbenad/command/memory"
	"verbenabank/verbenad/command/relay"
)

// readingDaemon reads the body of each request to its end and calls afterBody.
type readingDaemon struct{ afterBody func() }

func (d readingDaemon) Serve(_ context.Context, r call.Request) call.Reply {
	_, _ = io.Copy(io.Discard, r.Body())
	d.afterBody()
	return emptyResponse()
}

func (d readingDaemon) Send(ctx context.Context, _ string, r call.Request) call.Reply {
	return d.Serve(ctx, r)
}

// TestDroppedReplayBufferHoldsNoMemory guards against long uploads that count against the budget for a buffer that they
// don't have any more, so that a few hundred slow ones use it up.
func TestDroppedReplayBufferHoldsNoMemory(t *testing.T) {
	is := is.New(t)
	for name, test := range map[string]struct{ length, limit, held int64 }{
		"kept":    {100 << 10, 16 << 20, 100 << 10},
		"long":    {1 << 20, 16 << 20, 0},
		"refused": {100 << 10, 64 << 10, 0},
	} {
		budget := memory.New(test.limit)
		held := budget.NewShare().NewTally()
		body := relay.NewBody(bytes.NewReader(make([]byte, test.length)), test.length, 2<<20, func() {}, relay.WithMemory(held))
		during := int64(-1)
		d := readingDaemon{func() { during = budget.Held() }}
		r, s := newRelay(&fakeDaemons{}, relay.WithLocal(d), relay.WithRemote(d))
		r.Run(context.Background(), relay.NewRequest(s, route.ResolvedAttributes(service, ""), clock.New().Now()+5000, relay.WithBody(body)))
		t.Logf("%s: %d bytes held", name, during)
		is.Equal(during, test.held)
		held.Close()
		is.Equal(budget.Held(), int64(0))
	}
}
