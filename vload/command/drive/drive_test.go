package drive

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/vload/state/layout"
	"verbenabank/vload/state/plan"
	"verbenabank/vload/state/server"
)

// The first target of a layout listens in one of these subnets, so that runs beside each other do not collide.
const (
	firstSubnet = 93
	lastSubnet  = 99
)

// listenInFreeSubnet moves a layout of one target to a subnet where its address is free, and listens there.
func listenInFreeSubnet(t *testing.T, l layout.Layout) (layout.Layout, net.Listener) {
	t.Helper()
	for n := firstSubnet; n <= lastSubnet; n++ {
		moved := l.WithSubnet(n)
		if listener, err := net.Listen("tcp", moved.Instances()[0].TargetAddress()); err == nil {
			return moved, listener
		}
	}
	t.Fatal("no subnet is free")
	return l, nil
}

// Guards against coordinated omission. The server stalls for the first 600 ms: requests that are due
// during the stall must still be sent on time, and their latency must count from the time at which they
// were due.
func TestLoadIsOpenLoop(t *testing.T) {
	is := is.New(t)
	service := layout.NewService("catalogue", 1, true, server.New())
	l, listener := listenInFreeSubnet(t, layout.New([]string{"east"}, []layout.Service{service}, nil, ""))
	const stall = 600 * time.Millisecond
	begin := time.Now()
	stub := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(stall - time.Since(begin))
		w.WriteHeader(http.StatusServiceUnavailable)
	})}
	go func() { _ = stub.Serve(listener) }()
	defer func() { is.NoErr(stub.Close()) }()

	e := plan.New(plan.WithRouting(plan.Modulo{}), plan.WithRate(200, 1000), plan.WithDuration(1000, 0),
		plan.WithMix(plan.NewRequestKind("catalogue", "GET", 1, 0, 0)))
	d, stop := New(WithExperiment(e, l))
	defer stop()
	run := d.Run(context.Background())
	is.True(len(run.Calls()) > 150)
	for _, c := range run.Calls() {
		remaining := stall - c.Request().Due()
		is.True(c.Latency() > remaining-50*time.Millisecond)          // counted from the due time
		is.True(c.Latency() < max(remaining, 0)+400*time.Millisecond) // sent at the due time
	}
}
