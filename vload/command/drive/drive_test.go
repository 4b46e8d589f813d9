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

// A server that stalls at first must neither hold up later requests nor hide the
// wait of those that met the stall.
func TestLoadIsOpenLoop(t *testing.T) {
	is := is.New(t)
	service := layout.NewService("catalogue", 1, true, server.New())
	l := layout.New([]string{"east"}, []layout.Service{service}, nil, "").WithSubnet(93)
	listener, err := net.Listen("tcp", l.Instances()[0].TargetAddress())
	is.NoErr(err)
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
		left := stall - c.Request().Due()
		is.True(c.Latency() > left-50*time.Millisecond)          // counted from the due time
		is.True(c.Latency() < max(left, 0)+400*time.Millisecond) // sent at the due time
	}
}
