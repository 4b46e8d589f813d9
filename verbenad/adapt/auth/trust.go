// Package trust guards the port between processes: every call carries the shared
// secret of the settings, and with TLS both ends show a certificate.
//
// The secret keeps out strangers and processes of other deployments. Without TLS
// it crosses the network as it is, so whoever can read the traffic can learn it.
package auth

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"net"
	"net/netip"
	"os"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"verbenabank/verbenad/adapt/sock"
	"verbenabank/verbenad/state/config"
)

// header is the metadata that carries the proof of the secret.
const header = "verbena-secret"

// MaxMessageBytes is the size of the largest message between processes: a whole
// table of a large fleet fits, and a stranger's flood does not.
const MaxMessageBytes = 16 << 20

// Credentials holds the secret and the transport credentials of a process. It is
// immutable and safe for concurrent use.
type Credentials struct {
	proof     string
	transport credentials.TransportCredentials
	dialer    *net.Dialer
}

// New returns the trust of the settings.
func New(s config.Settings) (*Credentials, error) {
	sum := hmac.New(sha256.New, s.Secret())
	sum.Write([]byte("verbenabank peers"))
	t := &Credentials{proof: hex.EncodeToString(sum.Sum(nil)), transport: insecure.NewCredentials()}
	var local net.Addr
	if a := s.PeersAddress().Addr(); a.IsValid() {
		local = net.TCPAddrFromAddrPort(netip.AddrPortFrom(a, 0))
	}
	t.dialer = sock.Dialer(local)
	if files, ok := s.TLS(); ok {
		c, err := mutual(files)
		if err != nil {
			return nil, err
		}
		t.transport = credentials.NewTLS(c)
	}
	return t, nil
}

// mutual reads the certificates for TLS in both directions.
func mutual(files config.TLS) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(files.Certificate(), files.Key())
	if err != nil {
		return nil, &Error{op: "load certificate", kind: BadFile, cause: err}
	}
	text, err := os.ReadFile(files.Authority())
	if err != nil {
		return nil, &Error{op: "load authority", kind: BadFile, cause: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, &Error{op: "load authority", kind: NoCertificate}
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}, nil
}

// Transport returns the credentials of connections.
func (t *Credentials) Transport() credentials.TransportCredentials { return t.transport }

// GetRequestMetadata adds the proof to a call.
func (t *Credentials) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	return map[string]string{header: t.proof}, nil
}

// RequireTransportSecurity returns false: without TLS in the settings the proof is
// sent over plain TCP.
func (t *Credentials) RequireTransportSecurity() bool { return false }

// dial connects from the address of listen.peers, so that the network's rules can
// tell processes apart.
func (t *Credentials) dial(ctx context.Context, address string) (net.Conn, error) {
	return t.dialer.DialContext(ctx, "tcp", address)
}

// DialOptions returns the options of connections to other processes.
func (t *Credentials) DialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(t.transport), grpc.WithPerRPCCredentials(t),
		grpc.WithContextDialer(t.dial), grpc.WithDisableRetry(), grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes)),
	}
}

// ServerOptions returns the options of the server, which refuses calls without
// the proof.
func (t *Credentials) ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.Creds(t.transport), grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.UnaryInterceptor(func(ctx context.Context, r any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
			if err := t.check(ctx); err != nil {
				return nil, err
			}
			return next(ctx, r)
		}),
		grpc.StreamInterceptor(func(s any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, next grpc.StreamHandler) error {
			if err := t.check(stream.Context()); err != nil {
				return err
			}
			return next(s, stream)
		}),
	}
}

func (t *Credentials) check(ctx context.Context) error {
	m, _ := metadata.FromIncomingContext(ctx)
	shown := m.Get(header)
	if len(shown) == 1 && hmac.Equal([]byte(shown[0]), []byte(t.proof)) {
		return nil
	}
	return status.Error(codes.Unauthenticated, "trust: the shared secret is missing or another one; compare secret_file in the settings of both processes")
}
