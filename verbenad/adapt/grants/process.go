package grants

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"verbenabank/core/wire/heads"
)

const (
	// dialTimeout and identifyTimeout bound the opening of a connection: the dial, and the question which
	// process it leads to.
	dialTimeout     = 250 * time.Millisecond
	identifyTimeout = 400 * time.Millisecond
)

// Process identifies a process of a target: its name, new for each process, and its address ("ip:port").
type Process struct {
	name    string
	address string
	service string
}

// NewProcess returns the process of a target of the service; the zero value means that there is none.
func NewProcess(name, address, service string) Process {
	return Process{name: name, address: address, service: service}
}

// session is the connections to one process of the target. A grant is meant for that process and not for its
// address, where another one may listen by now, so each new connection is asked first which process it leads to.
// It leads there until it is closed.
type session struct {
	process       Process
	dialect       Dialect
	healthPath    func(service string) string
	onConnRefused func()
	transport     *http.Transport
	client        *http.Client
	asker         *http.Client // for questions that name the process in their answers
	open          atomic.Int64 // connections that lead to the process, or may
}

func newSession(p Process, d Dialect, healthPath func(service string) string, onConnRefused func()) *session {
	s := &session{process: p, dialect: d, healthPath: healthPath, onConnRefused: onConnRefused}
	s.transport = &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleConnTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeaderBytes, DialContext: s.dial,
	}
	s.client = &http.Client{Transport: s.transport}
	s.asker = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 1, IdleConnTimeout: idleConnTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeaderBytes, DialContext: s.dialUnidentified,
	}}
	return s
}

// close closes the idle connections. Calls in flight continue.
func (s *session) close() {
	s.transport.CloseIdleConnections()
	s.asker.CloseIdleConnections()
}

// ended reports whether an error of a call shows that the process has ended: nothing listens at its address any
// more, or another process does, and no connection to it is left.
func (s *session) ended(err error) bool {
	var e *Error
	other := errors.As(err, &e) && e.kind == OtherProcess
	return (other || errors.Is(err, syscall.ECONNREFUSED)) && s.open.Load() == 0
}

// dial opens a connection to the process.
func (s *session) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	c, err := s.connect(ctx)
	if err != nil {
		return nil, err
	}
	reusable, err := s.identify(c)
	if err == nil && reusable {
		return c, nil
	}
	_ = c.Close()
	if err != nil {
		return nil, err
	}
	return s.dialBeside(ctx)
}

// dialBeside opens a connection to a process that closes each connection after its answer, as one that stops
// may do. It asks on a second connection: if the process answers there, it also listened when the first one was
// opened before.
func (s *session) dialBeside(ctx context.Context) (net.Conn, error) {
	c, err := s.connect(ctx)
	if err != nil {
		return nil, err
	}
	if err := s.askBeside(ctx); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// askBeside returns an error unless the process answers on a connection that is opened for the question.
func (s *session) askBeside(ctx context.Context) error {
	c, err := s.connect(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	_, err = s.identify(c)
	return err
}

// dialUnidentified opens a connection to whatever listens at the address of the process. It says nothing about the end
// of the process.
func (s *session) dialUnidentified(ctx context.Context, _, _ string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", s.process.address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		s.onConnRefused()
	}
	if err != nil {
		return nil, err
	}
	return heads.NewConn(c), nil
}

// connect opens a connection to whatever listens at the address. It counts as one to the process until it is
// closed, also while it is not known to lead there.
func (s *session) connect(ctx context.Context) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", s.process.address)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			s.onConnRefused()
		}
		return nil, err
	}
	s.open.Add(1)
	return &processConn{Conn: heads.NewConn(c), onClose: sync.OnceFunc(func() { s.open.Add(-1) })}, nil
}

// identify asks which process a new connection leads to. It returns an error unless it is the process of this
// session, and whether the connection can be used after the answer.
func (s *session) identify(c net.Conn) (reusable bool, err error) {
	_ = c.SetDeadline(time.Now().Add(identifyTimeout))
	req, err := http.NewRequest(http.MethodGet, "http://"+s.process.address+s.healthPath(s.process.service), http.NoBody)
	if err != nil {
		return false, s.unidentified(err)
	}
	if err := req.Write(c); err != nil {
		return false, s.unidentified(err)
	}
	reader := bufio.NewReader(io.LimitReader(c, maxHeaderBytes+maxBodyBytes))
	resp, err := http.ReadResponse(reader, req)
	if err != nil {
		return false, s.unidentified(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return false, s.unidentified(err)
	}
	switch s.dialect.ProcessName(resp.Header.Get) {
	case s.process.name:
		return !resp.Close && reader.Buffered() == 0 && c.SetDeadline(time.Time{}) == nil, nil
	case "":
		return false, s.unidentified(nil)
	}
	return false, &Error{op: "identify " + s.process.name, kind: OtherProcess}
}

func (s *session) unidentified(cause error) error {
	return &Error{op: "identify " + s.process.name, kind: Unidentified, cause: cause}
}

// processConn is a connection to the process of a session.
type processConn struct {
	net.Conn
	onClose func()
}

// Close implements net.Conn.
func (c *processConn) Close() error {
	err := c.Conn.Close()
	c.onClose()
	return err
}
