package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"syscall"
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

// refusingAddress returns an address that refuses connections until the test ends: its port is bound, so that no
// other process can listen on it, and nobody listens.
func refusingAddress(t *testing.T) string {
	t.Helper()
	s, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err == nil {
		err = syscall.Bind(s, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(s) })
	bound, err := syscall.Getsockname(s)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
}

func TestUnreachableTargetIsAvoided(t *testing.T) {
	is := is.New(t)
	good, count := countingTarget(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	e := startPool(t, []string{good, refusingAddress(t), good})
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
