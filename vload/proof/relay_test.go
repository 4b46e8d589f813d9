package proof

import (
	"io"
	"net"
	"sync"
	"testing"
)

// relay stands in front of one control replica and forwards connections to it. It
// can go silent towards an instance: connections stay open and nothing passes.
type relay struct {
	to string
	mu sync.Mutex
	// silent holds the channel that opens the way again, by the IP of the instance
	// that is cut off.
	silent map[string]chan struct{}
}

// newRelay listens at from and forwards to the other address.
func newRelay(t *testing.T, from, to string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", from)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	r := &relay{to: to, silent: map[string]chan struct{}{}}
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

// cut lets nothing pass from and to the instance any more.
func (r *relay) cut(ip string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent[ip] = make(chan struct{})
}

// heal opens the way again. What waited is lost with its connection.
func (r *relay) heal(ip string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.silent[ip])
	delete(r.silent, ip)
}

// await returns whether the way was open; if it was not, after it is.
func (r *relay) await(ip string) bool {
	r.mu.Lock()
	wait, cut := r.silent[ip]
	r.mu.Unlock()
	if cut {
		<-wait
	}
	return !cut
}

func (r *relay) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil || !r.await(host) {
		return
	}
	s, err := net.Dial("tcp", r.to)
	if err != nil {
		return
	}
	defer func() { _ = s.Close() }()
	done := make(chan struct{}, 2)
	go func() { r.copy(s, c, host); done <- struct{}{} }()
	go func() { r.copy(c, s, host); done <- struct{}{} }()
	<-done
}

// copy forwards until an end or a cut.
func (r *relay) copy(to io.Writer, from io.Reader, ip string) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil || !r.await(ip) {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
