// Package auth authenticates calls between processes: every call carries a MAC of
// the shared secret of the settings, and with TLS both ends present a certificate.
//
// The secret keeps out unknown clients and processes of other deployments. Without
// TLS the MAC, which is the same in each call, crosses the network in plain text, so
// whoever can read the traffic can replay it.
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

// secretKey is the metadata key of the MAC.
const secretKey = "verbena-secret"

// MaxMessageBytes limits messages between processes. The full routing table of a large
// fleet fits, while a faulty or unknown peer cannot exhaust the memory.
const MaxMessageBytes = 16 << 20

// Credentials holds the MAC of the shared secret and the transport credentials of a process.
// It implements credentials.PerRPCCredentials. It is immutable and safe for concurrent
// use.
type Credentials struct {
	secretMAC string
	transport credentials.TransportCredentials
	dialer    *net.Dialer
}

// New returns the credentials for the settings. It reads the TLS files once, if the
// settings name any, and fails if one is missing or not valid.
func New(s config.Settings) (*Credentials, error) {
	mac := hmac.New(sha256.New, s.Secret())
	mac.Write([]byte("verbenabank peers"))
	creds := &Credentials{secretMAC: hex.EncodeToString(mac.Sum(nil)), transport: insecure.NewCredentials()}
	var local net.Addr
	if a := s.PeersAddress().Addr(); a.IsValid() {
		local = net.TCPAddrFromAddrPort(netip.AddrPortFrom(a, 0))
	}
	creds.dialer = sock.Dialer(local)
	if files, ok := s.TLS(); ok {
		tlsConfig, err := mutualTLS(files)
		if err != nil {
			return nil, err
		}
		creds.transport = credentials.NewTLS(tlsConfig)
	}
	return creds, nil
}

// mutualTLS loads the files for TLS 1.3 with certificates on both ends, which must be signed
// by the authority of the settings.
func mutualTLS(files config.TLS) (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(files.Certificate(), files.Key())
	if err != nil {
		return nil, &Error{op: "load certificate", kind: BadFile, cause: err}
	}
	authority, err := os.ReadFile(files.Authority())
	if err != nil {
		return nil, &Error{op: "load authority", kind: BadFile, cause: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, &Error{op: "load authority", kind: NoCertificate}
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}, nil
}

// Transport returns the transport credentials: mutual TLS, or plain TCP without TLS files
// in the settings.
func (c *Credentials) Transport() credentials.TransportCredentials { return c.transport }

// GetRequestMetadata returns the metadata with the MAC for a call.
func (c *Credentials) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	return map[string]string{secretKey: c.secretMAC}, nil
}

// RequireTransportSecurity returns false, since the MAC is sent over plain TCP if the
// settings have no TLS.
func (c *Credentials) RequireTransportSecurity() bool { return false }

// dial binds outgoing connections to the address of listen.peers, so that packet filter
// rules can tell processes apart by their source address.
func (c *Credentials) dial(ctx context.Context, address string) (net.Conn, error) {
	return c.dialer.DialContext(ctx, "tcp", address)
}

// DialOptions returns the client options: credentials, the local address and the message
// limit. gRPC's own retries are off.
func (c *Credentials) DialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(c.transport), grpc.WithPerRPCCredentials(c),
		grpc.WithContextDialer(c.dial), grpc.WithDisableRetry(), grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes)),
	}
}

// ServerOptions returns the server options: credentials, the message limit, and
// interceptors that reject calls without the MAC as Unauthenticated.
func (c *Credentials) ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.Creds(c.transport), grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.UnaryInterceptor(func(ctx context.Context, r any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
			if err := c.authenticate(ctx); err != nil {
				return nil, err
			}
			return next(ctx, r)
		}),
		grpc.StreamInterceptor(func(s any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, next grpc.StreamHandler) error {
			if err := c.authenticate(stream.Context()); err != nil {
				return err
			}
			return next(s, stream)
		}),
	}
}

// authenticate compares the MAC of a call in constant time.
func (c *Credentials) authenticate(ctx context.Context) error {
	md, _ := metadata.FromIncomingContext(ctx)
	macs := md.Get(secretKey)
	if len(macs) == 1 && hmac.Equal([]byte(macs[0]), []byte(c.secretMAC)) {
		return nil
	}
	return status.Error(codes.Unauthenticated, "trust: the shared secret is missing or another one; compare secret_file in the settings of both processes")
}
