package proof

import (
	"io"
	"net"
	"sync"
	"testing"
)

// relay is a TCP proxy in front of one control replica. It can block the traffic of
// an instance without closing its connections, as a network partition does.
type relay struct {
	upstream string
	mu       sync.Mutex
	// blocked holds, by the IP of a blocked instance, the channel that is closed when
	// it is unblocked.
	blocked map[string]chan struct{}
}

// newRelay listens at listen and forwards to upstream.
func newRelay(t *testing.T, listen, upstream string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	r := &relay{upstream: upstream, blocked: map[string]chan struct{}{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r
}

// block stops all traffic from and to the instance.
func (r *relay) block(ip string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked[ip] = make(chan struct{})
}

// unblock lets new connections of the instance pass again. Connections that carried
// data while blocked are closed, and that data is lost.
func (r *relay) unblock(ip string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.blocked[ip])
	delete(r.blocked, ip)
}

// awaitUnblocked waits while the instance is blocked, and reports whether it was not.
func (r *relay) awaitUnblocked(ip string) bool {
	r.mu.Lock()
	unblocked, blocked := r.blocked[ip]
	r.mu.Unlock()
	if blocked {
		<-unblocked
	}
	return !blocked
}

func (r *relay) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil || !r.awaitUnblocked(host) {
		return
	}
	s, err := net.Dial("tcp", r.upstream)
	if err != nil {
		return
	}
	defer func() { _ = s.Close() }()
	done := make(chan struct{}, 2)
	go func() { r.forward(s, c, host); done <- struct{}{} }()
	go func() { r.forward(c, s, host); done <- struct{}{} }()
	<-done
}

// forward copies data until the connection ends. Data that is read while the instance
// is blocked is dropped, and the copy ends when the instance is unblocked.
func (r *relay) forward(to io.Writer, from io.Reader, ip string) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil || !r.awaitUnblocked(ip) {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
