package hop_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"

	"google.golang.org/grpc"

	"verbenabank/core/state/call"
	"verbenabank/core/wire/wirepb"
	"verbenabank/verbenad/adapt/hop"
)

// answeringOwner answers each request with a short body.
type answeringOwner struct{}

func (answeringOwner) Serve(context.Context, call.Request) call.Reply {
	return call.NewResponse(200, ordinaryFields(), io.NopCloser(bytes.NewReader([]byte("in stock: 7"))), 11)
}

func ordinaryFields() []call.Field {
	var fields []call.Field
	for range 12 {
		fields = append(fields, call.NewField("X-Some-Field", "some-value-of-it"))
	}
	return fields
}

// BenchmarkHop measures ordinary requests that are forwarded to another daemon.
func BenchmarkHop(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := grpc.NewServer()
	wirepb.RegisterHopServer(s, hop.NewServer(answeringOwner{}))
	go func() { _ = s.Serve(l) }()
	b.Cleanup(s.Stop)
	c, stop := hop.New()
	b.Cleanup(stop)
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			r := c.Send(context.Background(), l.Addr().String(), call.NewRequest("s", "GET", "/", call.WithFields(ordinaryFields())))
			a, ok := r.(call.Response)
			if !ok {
				b.Error(r)
				return
			}
			_, _ = io.ReadAll(a.Body())
			_ = a.Body().Close()
		}
	})
}
