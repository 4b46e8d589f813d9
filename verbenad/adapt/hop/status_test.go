package hop_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/verbenad/adapt/hop"
	"verbenabank/verbenad/command/memory"
	"verbenabank/verbenad/command/owner"
)

// fixedOwner answers each request with a response.
type fixedOwner struct {
	status int
	fields []call.Field
	got    chan call.Request
}

func (o fixedOwner) Serve(_ context.Context, r call.Request) call.Reply {
	if o.got != nil {
		o.got <- r
	}
	return call.NewResponse(o.status, o.fields, io.NopCloser(bytes.NewReader(nil)), 0)
}

// TestOddStatusFromAPeerIsNoResponse guards against a message of another daemon without a status code, which a front would
// send as 200.
func TestOddStatusFromAPeerIsNoResponse(t *testing.T) {
	for _, status := range []int{0, 99, 100, 199, 1000, 1 << 20} {
		is := is.New(t)
		address, _ := startPeer(t, fixedOwner{status: status})
		c, stop := hop.New()
		defer stop()
		is.Equal(c.Send(context.Background(), address, call.NewRequest("s", "GET", "/")), call.Reply(call.Unknown(result.Interrupted)))
	}
}

// TestOddFieldNameFromAPeerIsNoResponse guards against a response that a daemon of an earlier version passes on although the
// name of a field holds a blank or a control byte. Few fields and many come in different forms.
func TestOddFieldNameFromAPeerIsNoResponse(t *testing.T) {
	for _, name := range []string{"X Odd", "X-Odd ", " X-Odd", "\tX-Odd", "\nX-Odd", "X\x00Odd", "X\x7fOdd", "X\r\nOdd", "X:Odd", ""} {
		for _, others := range []int{0, 100} {
			is := is.New(t)
			fields := append(manyFields(others), call.NewField(name, "v"))
			address, _ := startPeer(t, fixedOwner{status: 200, fields: fields})
			c, stop := hop.New()
			defer stop()
			is.Equal(c.Send(context.Background(), address, call.NewRequest("s", "GET", "/")), call.Reply(call.Unknown(result.Interrupted)))
		}
	}
}

// manyFields returns fields of a head of very many lines.
func manyFields(count int) []call.Field {
	fields := make([]call.Field, 0, count)
	for n := range count {
		fields = append(fields, call.NewField("A", strings.Repeat("x", n%3)))
	}
	return fields
}

// TestHeadsOfManyFieldsPass covers the packed form of header fields, in both directions and at the sizes around its use.
func TestHeadsOfManyFieldsPass(t *testing.T) {
	for _, count := range []int{0, 1, 64, 65, 5000} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			is := is.New(t)
			o := fixedOwner{status: 200, fields: manyFields(count), got: make(chan call.Request, 1)}
			address, _ := startPeer(t, o)
			c, stop := hop.New()
			defer stop()
			reply := c.Send(context.Background(), address, call.NewRequest("s", "GET", "/", call.WithFields(manyFields(count))))
			a, ok := reply.(call.Response)
			is.True(ok)
			defer func() { _ = a.Body().Close() }()
			is.Equal(a.Fields(), manyFields(count))
			is.Equal((<-o.got).Fields(), manyFields(count))
		})
	}
}

// TestForwardedRequestsStayWithinTheBudget guards against an owner that keeps forwarded heads without a bound. A head
// without memory is refused as not run, and an ordinary request is served beside it.
func TestForwardedRequestsStayWithinTheBudget(t *testing.T) {
	is := is.New(t)
	b := memory.New(1 << 20)
	address, _ := startPeerWith(t, fixedOwner{status: 200}, hop.WithMemory(b))
	c, stop := hop.New()
	defer stop()
	large := c.Send(context.Background(), address, call.NewRequest("s", "GET", "/", call.WithFields(manyFields(5000))))
	is.Equal(large, call.Reply(call.Refuse(result.Overloaded)))
	small, ok := c.Send(context.Background(), address, call.NewRequest("s", "GET", "/", call.WithFields(manyFields(10)))).(call.Response)
	is.True(ok)
	_, err := io.ReadAll(small.Body())
	is.NoErr(err)
}

// bufferingOwner takes memory for a body and reports whether it was granted.
type bufferingOwner struct{ granted chan bool }

func (o bufferingOwner) Serve(_ context.Context, r call.Request) call.Reply {
	m, ok := r.Body().(owner.BodyMemory)
	o.granted <- ok && m.TakeMemory(100<<10)
	o.granted <- ok && m.TakeMemory(1<<20)
	return call.Refuse(result.Overloaded)
}

// TestForwardedBodiesTakeMemory guards against bodies that an owner keeps outside the budget, or that are never given back.
func TestForwardedBodiesTakeMemory(t *testing.T) {
	is := is.New(t)
	b, o := memory.New(1<<20), bufferingOwner{make(chan bool, 2)}
	address, server := startPeerWith(t, o, hop.WithMemory(b))
	c, stop := hop.New()
	defer stop()
	_ = c.Send(context.Background(), address, call.NewRequest("s", "PUT", "/", call.WithBody(strings.NewReader("x"), 1)))
	is.True(<-o.granted)
	is.True(!<-o.granted)
	server.GracefulStop()
	is.Equal(b.Held(), int64(0))
}
