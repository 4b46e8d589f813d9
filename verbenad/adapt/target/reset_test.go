package target_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/state/call"
)

// endlessBody is the body of an upload that goes on until the connection breaks. It counts the reads.
type endlessBody struct{ reads atomic.Int64 }

func (b *endlessBody) Read(p []byte) (int, error) {
	b.reads.Add(1)
	return len(p), nil
}

// awaitStall waits until the upload makes no progress for a while: it is blocked, or has failed.
func (b *endlessBody) awaitStall() {
	for last := int64(-1); b.reads.Load() != last; time.Sleep(100 * time.Millisecond) {
		last = b.reads.Load()
	}
}

// TestResetDuringAnUploadIsNoEndOfTheResponse guards against a part of a response that passes for a complete one: a target
// answers an upload at once, without a length, and resets the connection while the upload is written. The write takes the
// error of the socket, and the next read returns the end of the input as after an orderly close.
func TestResetDuringAnUploadIsNoEndOfTheResponse(t *testing.T) {
	for name, head := range map[string]string{
		"no length": "HTTP/1.1 200 OK\r\n\r\n",
		"close":     "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
		"HTTP/1.0":  "HTTP/1.0 200 OK\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			reset := make(chan struct{})
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = c.Read(make([]byte, 1000))
				write(c, head+"part")
				<-reset
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}()
			body := &endlessBody{}
			r := newTarget(t, l.Addr().String()).Send(context.Background(), attempt(call.NewRequest("s", "PUT", "/", call.WithBody(body, -1))))
			body.awaitStall()
			close(reset)
			time.Sleep(100 * time.Millisecond)
			text, outcome := readReply(r)
			is.Equal(outcome, "unknown truncated")
			t.Log(text)
		})
	}
}

// TestHalfCloseDuringAnUploadEndsTheResponse covers the response of a target that closes only its sending half.
func TestHalfCloseDuringAnUploadEndsTheResponse(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 1000))
		write(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	}()
	body := &endlessBody{}
	text, outcome := readReply(newTarget(t, l.Addr().String()).Send(context.Background(), attempt(call.NewRequest("s", "PUT", "/", call.WithBody(body, -1)))))
	is.Equal(outcome, "answered")
	is.Equal(text, "whole")
}

// TestOddStatusIsNoResponse guards against a response whose status is no status code, which the parser may take for 200.
func TestOddStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "00", "0", "099", "020", "1000", "2x0", "2 0", "+200", "-200", "+20", "0x2", "", " ", "０００"} {
		for _, version := range []string{"HTTP/1.1 ", "HTTP/1.0 ", "\r\n\r\nHTTP/1.1 ", "HTTP/1.1  "} {
			is := is.New(t)
			address, _ := startTarget(t, func(c net.Conn, _ *http.Request, _ int64) bool {
				write(c, version+status+" OK\r\nContent-Length: 2\r\n\r\nok")
				return false
			})
			_, o := readReply(newTarget(t, address).Send(context.Background(), get("/")))
			if o != "unknown interrupted" {
				t.Errorf("%q%q: %s", version, status, o)
			}
			is.True(o != "")
		}
	}
}

// TestStatusAfterAnInterimResponse covers the status of the final response behind interim ones.
func TestStatusAfterAnInterimResponse(t *testing.T) {
	is := is.New(t)
	address, _ := startTarget(t, func(c net.Conn, _ *http.Request, _ int64) bool {
		write(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok")
		return false
	})
	_, o := readReply(newTarget(t, address).Send(context.Background(), get("/")))
	is.Equal(o, "unknown interrupted")
}
