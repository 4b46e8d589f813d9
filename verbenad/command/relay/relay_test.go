package relay_test

import (
	"context"
	"io"
	"strings"
	"testing"

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

const service = "intake"

// asked counts who was asked, and answers as told.
type asked struct {
	here, away int
	reply      func() call.Reply
}

func (a *asked) Serve(context.Context, call.Request) call.Reply {
	a.here++
	return a.reply()
}

func (a *asked) Send(context.Context, string, call.Request) call.Reply {
	a.away++
	return a.reply()
}

// newRelay returns a relay at member 1 of four in one availability zone.
func newRelay(a *asked, opts ...relay.Option) (*relay.Relay, rules.Service) {
	c, cell, s := clock.New(), snap.NewStore(), rules.NewService(service)
	changes := []table.Change{table.NewRulesSet(rules.New(1, "", s))}
	for i := range table.Incarnation(4) {
		changes = append(changes, table.NewMemberSet(table.NewMember(i+1, "i", "z", "a", service, table.Serving{})))
	}
	cell.Publish(snap.New(table.Empty().With(1, changes...), 1, c.Now()+60_000, c.Now()+60_000))
	opts = append([]relay.Option{relay.WithClock(c), relay.WithStore(cell), relay.WithLocal(a), relay.WithRemote(a),
		relay.WithRetry(retry.Routed{}), relay.WithZone("z")}, opts...)
	return relay.New(opts...), s
}

func upload(r *relay.Relay, s rules.Service, bytes int) relay.Result {
	body := relay.NewBody(strings.NewReader(strings.Repeat("x", bytes)), int64(bytes), 1<<20, func() {})
	deadline := clock.New().Now() + 5000
	return r.Run(context.Background(), relay.NewRequest(s, route.ResolvedAttributes(service, ""), deadline, relay.WithBody(body)))
}

func answer() call.Reply {
	return call.NewResponse(200, nil, io.NopCloser(strings.NewReader("")), 0)
}

func TestLargeBodiesStayWithTheTargetBeside(t *testing.T) {
	is := is.New(t)
	a := &asked{reply: answer}
	r, s := newRelay(a)
	for range 40 {
		served, ok := upload(r, s, 60<<10).Reply().(call.Response)
		is.True(ok)
		is.NoErr(served.Body().Close())
	}
	is.Equal(a.away, 0)
	for range 40 {
		served, ok := upload(r, s, 100).Reply().(call.Response)
		is.True(ok)
		is.NoErr(served.Body().Close())
	}
	is.True(a.away > 0)
}

func TestLargeBodyGoesElsewhereIfTheTargetBesideIsFull(t *testing.T) {
	is := is.New(t)
	a := &asked{}
	a.reply = func() call.Reply {
		if a.away == 0 {
			return call.Refuse(result.Overloaded)
		}
		return answer()
	}
	r, s := newRelay(a)
	_, ok := upload(r, s, 60<<10).Reply().(call.Response)
	is.True(ok)
	is.Equal(a.here, 1)
	is.Equal(a.away, 1)
}

// torn is the body of an answer that is not whole.
type torn struct{}

func (torn) Read([]byte) (int, error) { return 0, call.NewError("read", result.Truncated) }

func (torn) Close() error { return nil }

// beside answers with a head and a body that is not whole, others with whole answers.
type beside struct{ asked }

func (b *beside) Serve(context.Context, call.Request) call.Reply {
	b.here++
	return call.NewResponse(200, nil, torn{}, -1)
}

func TestTargetWhoseAnswersAreNeverWholeIsLeft(t *testing.T) {
	is := is.New(t)
	b := &beside{asked{reply: answer}}
	r, s := newRelay(&b.asked, relay.WithLocal(b))
	const requests = 400
	for range requests {
		deadline := clock.New().Now() + 5000
		served, ok := r.Run(context.Background(), relay.NewRequest(s, route.ResolvedAttributes(service, ""), deadline)).Reply().(call.Response)
		is.True(ok)
		_, _ = io.Copy(io.Discard, served.Body())
		is.NoErr(served.Body().Close())
	}
	t.Logf("%d of %d requests", b.here, requests)
	is.True(b.here < requests/20)
}
