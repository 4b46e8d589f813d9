package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// result is what a client saw of one attempt.
type result struct {
	id, how string // how: a status, "closed", "no connection"
	status  int
	sentAt  int64
	tookMs  int64
	signed  bool
	body    string
}

// client sends requests to the daemon of its machine, on kept connections.
type client struct {
	record  *record
	address string
	mu      sync.Mutex
	idle    []*clientConn
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

func (c *client) take() (*clientConn, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		x := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return x, nil
	}
	c.mu.Unlock()
	n, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: n, reader: bufio.NewReader(n)}, nil
}

func requestID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one request and returns what came of it.
func (c *client) send(method, host, path, id string, key int, deadline time.Duration) result {
	r := result{id: id, sentAt: c.record.now()}
	begin := time.Now()
	done := func(how string) result {
		r.how, r.tookMs = how, time.Since(begin).Milliseconds()
		c.record.add("client: %s %s%s id %s key %d -> %s after %d ms", method, host, path, id, key, how, r.tookMs)
		return r
	}
	n, err := c.take()
	if err != nil {
		return done("no connection")
	}
	extra := ""
	if key >= 0 {
		extra = fmt.Sprintf("Shard-Key: %d\r\n", key)
	}
	if method == http.MethodPost {
		extra += "Content-Length: 0\r\n"
	}
	_ = n.SetDeadline(time.Now().Add(deadline))
	if _, err = fmt.Fprintf(n, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%s\r\n", method, path, host, id, deadline.Milliseconds(), extra); err != nil {
		_ = n.Close()
		return done("closed")
	}
	resp, err := http.ReadResponse(n.reader, nil)
	if err != nil {
		_ = n.Close()
		if e, ok := err.(net.Error); ok && e.Timeout() {
			return done("deadline")
		}
		return done("closed")
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		_ = n.Close()
		return done("closed")
	}
	if resp.Close {
		_ = n.Close()
	} else {
		_ = n.SetDeadline(time.Time{})
		c.mu.Lock()
		c.idle = append(c.idle, n)
		c.mu.Unlock()
	}
	r.status, r.body, r.signed = resp.StatusCode, string(body), resp.Header.Get("Response-Signature") != ""
	return done(fmt.Sprint(resp.StatusCode))
}
