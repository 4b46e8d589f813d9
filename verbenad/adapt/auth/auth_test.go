package auth

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"verbenabank/core/wire/wirepb"
	"verbenabank/verbenad/state/config"
)

// fakeReplica responds to Inspect and opens a session for each Attach.
type fakeReplica struct {
	wirepb.UnimplementedControlServer
}

func (fakeReplica) Inspect(context.Context, *wirepb.InspectRequest) (*wirepb.InspectReply, error) {
	return &wirepb.InspectReply{Term: 3}, nil
}

func (fakeReplica) Attach(s wirepb.Control_AttachServer) error {
	return s.Send(&wirepb.Order{Order: &wirepb.Order_Welcome{Welcome: &wirepb.Welcome{}}})
}

// startServer returns the address of a gRPC server with the options of creds.
func startServer(tb *testing.T, creds *Credentials) string {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	s := grpc.NewServer(creds.ServerOptions()...)
	wirepb.RegisterControlServer(s, fakeReplica{})
	go func() { _ = s.Serve(l) }()
	tb.Cleanup(s.Stop)
	return l.Addr().String()
}

// callCodes makes a unary call and opens a stream, and returns the status code of each.
func callCodes(tb *testing.T, address string, options ...grpc.DialOption) (codes.Code, codes.Code) {
	tb.Helper()
	conn, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		tb.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, unary := wirepb.NewControlClient(conn).Inspect(ctx, &wirepb.InspectRequest{})
	s, stream := wirepb.NewControlClient(conn).Attach(ctx)
	if stream == nil {
		_, stream = s.Recv()
	}
	return status.Code(unary), status.Code(stream)
}

func newCredentials(tb *testing.T, opts ...config.Option) *Credentials {
	tb.Helper()
	creds, err := New(config.New(opts...))
	if err != nil {
		tb.Fatal(err)
	}
	return creds
}

func TestCallsWithoutTheSharedSecretAreRefused(t *testing.T) {
	is := is.New(t)
	address := startServer(t, newCredentials(t, config.WithSecret([]byte("shared secret A"))))
	unary, stream := callCodes(t, address, newCredentials(t, config.WithSecret([]byte("shared secret A"))).DialOptions()...)
	is.Equal(unary, codes.OK)
	is.Equal(stream, codes.OK)
	unary, stream = callCodes(t, address, newCredentials(t, config.WithSecret([]byte("shared secret B"))).DialOptions()...)
	is.Equal(unary, codes.Unauthenticated)
	is.Equal(stream, codes.Unauthenticated)
	unary, stream = callCodes(t, address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	is.Equal(unary, codes.Unauthenticated)
	is.Equal(stream, codes.Unauthenticated)
}

// selfSignedFiles writes a self-signed certificate for 127.0.0.1, which is its own authority too.
func selfSignedFiles(tb *testing.T, name string) config.TLS {
	tb.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		tb.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		tb.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		tb.Fatal(err)
	}
	folder := tb.TempDir()
	write := func(file, kind string, text []byte) string {
		path := filepath.Join(folder, file)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: text}), 0o600); err != nil {
			tb.Fatal(err)
		}
		return path
	}
	certificate := write("certificate", "CERTIFICATE", der)
	return config.NewTLS(certificate, write("key", "EC PRIVATE KEY", keyDER), certificate)
}

func TestMutualTLS(t *testing.T) {
	is := is.New(t)
	secret := config.WithSecret([]byte("shared secret A"))
	files := selfSignedFiles(t, "authority A")
	address := startServer(t, newCredentials(t, secret, config.WithTLS(files)))
	unary, stream := callCodes(t, address, newCredentials(t, secret, config.WithTLS(files)).DialOptions()...)
	is.Equal(unary, codes.OK)
	is.Equal(stream, codes.OK)
	unary, _ = callCodes(t, address, newCredentials(t, secret, config.WithTLS(selfSignedFiles(t, "authority B"))).DialOptions()...)
	is.Equal(unary, codes.Unavailable)
	unary, _ = callCodes(t, address, newCredentials(t, secret).DialOptions()...)
	is.Equal(unary, codes.Unavailable)
}

func TestAuthorityWithoutCertificateIsRefused(t *testing.T) {
	is := is.New(t)
	files := selfSignedFiles(t, "authority A")
	_, err := New(config.New(config.WithTLS(config.NewTLS(files.Certificate(), files.Key(), files.Key()))))
	is.True(err != nil)
	e, ok := err.(*Error)
	is.True(ok)
	is.Equal(e.Kind(), NoCertificate)
}
