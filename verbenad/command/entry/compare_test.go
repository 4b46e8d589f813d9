package entry_test

import (
	"context"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/query/retry"
	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
	"verbenabank/verbenad/command/entry"
)

// flakyRemote is a fleet where 3 of 20 attempts fail, with equal probability in three ways: refused
// before the request ran, interrupted before it ran, and interrupted after it ran.
type flakyRemote struct {
	mu         sync.Mutex
	random     *rand.Rand
	executions map[string]int
}

func (f *flakyRemote) Send(_ context.Context, _ string, r call.Request) call.Reply {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := ""
	for _, h := range r.Fields() {
		if h.Name() == entry.HeaderRequestID {
			id = h.Value()
		}
	}
	switch f.random.IntN(20) {
	case 0:
		return call.Refuse(result.Unreachable)
	case 1:
		return call.Unknown(result.Interrupted)
	case 2:
		f.executions[id]++
		return call.Unknown(result.Interrupted)
	default:
		f.executions[id]++
		return call.NewResponse(200, nil, io.NopCloser(strings.NewReader("")), 0)
	}
}

// TestRetryPoliciesOnDuplicatesAndAvailability sends the same requests under each retry policy and
// compares how many are answered and how many run twice.
func TestRetryPoliciesOnDuplicatesAndAvailability(t *testing.T) {
	is := is.New(t)
	const requests = 4000
	type counts struct{ answered, twice int }
	got := map[string]counts{}
	for name, policy := range map[string]retry.Policy{"proven": retry.IfSafe{}, "all": retry.Always{}, "none": retry.Never{}} {
		for _, method := range []string{"GET", "POST"} {
			f := &flakyRemote{random: rand.New(rand.NewPCG(1, 2)), executions: map[string]int{}}
			e := startDaemon(t, 1, entry.WithRemote(f), entry.WithRetry(policy))
			changes := []table.Change{table.NewRulesSet(rules.New(1, "", rules.NewService("pool", rules.WithRetry(3, 100))))}
			for i := range 3 {
				changes = append(changes, table.NewMemberSet(table.NewMember(table.Incarnation(10+i), "", "zone", "a", "pool", table.Serving{})))
			}
			e.store.Publish(snap.New(table.Empty().With(1, changes...), 1, 1<<60, 1<<60))
			var x counts
			for range requests {
				p, err := send(t, method, e.url+"/pool/x", nil)
				is.NoErr(err)
				if p.outcome == "answered" {
					x.answered++
				}
			}
			for _, n := range f.executions {
				if n > 1 {
					x.twice++
				}
			}
			got[name+" "+method] = x
			t.Logf("retry %-6s %-4s answered %.2f%%, ran twice %.2f%%", name, method,
				100*float64(x.answered)/requests, 100*float64(x.twice)/requests)
		}
	}
	is.Equal(got["proven POST"].twice, 0)
	is.True(got["all POST"].twice > 0)
	is.True(got["proven POST"].answered > got["none POST"].answered)
	is.Equal(got["proven GET"].answered, got["all GET"].answered)
}
