package target_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/state/call"
)

// TestSlowUploadReachesTheTargetAtOnce sends a body whose first byte never arrives. What prepare has decided, such as
// ownership of the key, holds for the moment: the target gets the header then, not when the body has come.
func TestSlowUploadReachesTheTargetAtOnce(t *testing.T) {
	for name, length := range map[string]int64{"small": 100, "large": 100 << 10, "unknown length": -1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			arrived := make(chan struct{})
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					close(arrived)
				}
				_, _ = io.Copy(io.Discard, c)
			}()
			body, source := io.Pipe()
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan call.Reply, 1)
			x := newTarget(t, l.Addr().String())
			go func() { done <- x.Send(ctx, attempt(call.NewRequest("s", "PUT", "/", call.WithBody(body, length)))) }()
			select {
			case <-arrived:
			case <-time.After(5 * time.Second):
				t.Error("the target did not get the header")
			}
			cancel()
			_ = source.Close()
			<-done
		})
	}
}
