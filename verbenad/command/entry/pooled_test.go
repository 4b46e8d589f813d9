package entry_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

// startPool starts a daemon without a target, which it returns, and one daemon for the target at
// each address.
func startPool(t *testing.T, addresses []string, opts ...rules.Option) *daemon {
	e := startDaemon(t, 1)
	changes := []table.Change{e.member(""), table.NewRulesSet(rules.New(1, "", rules.NewService("pool", opts...)))}
	var others []*daemon
	for i, a := range addresses {
		d := startDaemon(t, table.Incarnation(10+i))
		d.target.SetAddress(a)
		others = append(others, d)
		changes = append(changes, d.member("pool"))
	}
	x := table.Empty().With(1, changes...)
	for _, d := range append(others, e) {
		d.publish(x)
	}
	return e
}

func TestUnreachableTargetIsAvoided(t *testing.T) {
	is := is.New(t)
	good, count := countingTarget(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	l := listen(t)
	_ = l.Close()
	e := startPool(t, []string{good, l.Addr().String(), good})
	for range 200 {
		p, err := send(t, "POST", e.url+"/pool/x", nil)
		is.NoErr(err)
		is.Equal(p.outcome, "answered")
	}
	is.Equal(count.Load(), int64(200))
}

func TestRetriesStayWithinBudget(t *testing.T) {
	is := is.New(t)
	var attempts atomic.Int64
	shed := func(w http.ResponseWriter, _ *http.Request) {
		attempts.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	a, _ := countingTarget(t, shed)
	b, _ := countingTarget(t, shed)
	e := startPool(t, []string{a, b}, rules.WithShedding(rules.ShedNotRun{}))
	const requests = 500
	for range requests {
		p, err := send(t, "POST", e.url+"/pool/x", nil)
		is.NoErr(err)
		is.Equal(p.outcome, "refused shed")
		is.Equal(p.status, http.StatusServiceUnavailable)
	}
	is.True(attempts.Load() > requests)
	is.True(attempts.Load() <= requests*110/100+10) // 10 % of the first attempts, and the initial budget
}
