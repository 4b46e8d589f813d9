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

// flaky is a fleet of which every attempt fails with some chance: as likely
// before it ran and provably so, before it ran without proof, and after it ran.
type flaky struct {
	mu     sync.Mutex
	random *rand.Rand
	ran    map[string]int
}

func (f *flaky) Send(_ context.Context, _ string, r call.Request) call.Reply {
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
		f.ran[id]++
		return call.Unknown(result.Interrupted)
	default:
		f.ran[id]++
		return call.NewResponse(200, nil, io.NopCloser(strings.NewReader("")), 0)
	}
}

// TestRetryRulesOnDuplicatesAndAvailability sends the same requests under each policy.
func TestRetryRulesOnDuplicatesAndAvailability(t *testing.T) {
	is := is.New(t)
	const requests = 4000
	type figures struct{ answered, twice int }
	got := map[string]figures{}
	for name, policy := range map[string]retry.Policy{"proven": retry.IfSafe{}, "all": retry.Always{}, "none": retry.Never{}} {
		for _, method := range []string{"GET", "POST"} {
			f := &flaky{random: rand.New(rand.NewPCG(1, 2)), ran: map[string]int{}}
			e := start(t, 1, entry.WithRemote(f), entry.WithRetry(policy))
			changes := []table.Change{table.NewRulesSet(rules.New(1, "", rules.NewService("pool", rules.WithRetry(3, 100))))}
			for i := range 3 {
				changes = append(changes, table.NewMemberSet(table.NewMember(table.Incarnation(10+i), "", "zone", "a", "pool", table.Serving{})))
			}
			e.cell.Publish(snap.New(table.Empty().With(1, changes...), 1, 1<<60, 1<<60))
			var x figures
			for range requests {
				p, err := send(t, method, e.url+"/pool/x", nil)
				is.NoErr(err)
				if p.outcome == "answered" {
					x.answered++
				}
			}
			for _, n := range f.ran {
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
