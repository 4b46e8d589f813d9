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

// replica answers every inspection.
type replica struct {
	wirepb.UnimplementedControlServer
}

func (replica) Inspect(context.Context, *wirepb.InspectRequest) (*wirepb.InspectReply, error) {
	return &wirepb.InspectReply{Term: 3}, nil
}

func (replica) Attach(s wirepb.Control_AttachServer) error {
	return s.Send(&wirepb.Order{Order: &wirepb.Order_Welcome{Welcome: &wirepb.Welcome{}}})
}

// serve returns the address of a replica that trusts t.
func serve(tb *testing.T, t *Credentials) string {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	s := grpc.NewServer(t.ServerOptions()...)
	wirepb.RegisterControlServer(s, replica{})
	go func() { _ = s.Serve(l) }()
	tb.Cleanup(s.Stop)
	return l.Addr().String()
}

// ask makes a single call and opens a stream, and returns the code of each.
func ask(tb *testing.T, address string, options ...grpc.DialOption) (codes.Code, codes.Code) {
	tb.Helper()
	c, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		tb.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, single := wirepb.NewControlClient(c).Inspect(ctx, &wirepb.InspectRequest{})
	s, stream := wirepb.NewControlClient(c).Attach(ctx)
	if stream == nil {
		_, stream = s.Recv()
	}
	return status.Code(single), status.Code(stream)
}

func of(tb *testing.T, opts ...config.Option) *Credentials {
	tb.Helper()
	t, err := New(config.New(opts...))
	if err != nil {
		tb.Fatal(err)
	}
	return t
}

func TestStrangersAreRefused(t *testing.T) {
	is := is.New(t)
	address := serve(t, of(t, config.WithSecret([]byte("the secret of ours"))))
	single, stream := ask(t, address, of(t, config.WithSecret([]byte("the secret of ours"))).DialOptions()...)
	is.Equal(single, codes.OK)
	is.Equal(stream, codes.OK)
	single, stream = ask(t, address, of(t, config.WithSecret([]byte("the secret of theirs"))).DialOptions()...)
	is.Equal(single, codes.Unauthenticated)
	is.Equal(stream, codes.Unauthenticated)
	single, stream = ask(t, address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	is.Equal(single, codes.Unauthenticated)
	is.Equal(stream, codes.Unauthenticated)
}

// certify writes a certificate for 127.0.0.1 that is its own authority.
func certify(tb *testing.T, name string) config.TLS {
	tb.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		tb.Fatal(err)
	}
	c := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	if err != nil {
		tb.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
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
	return config.NewTLS(certificate, write("key", "EC PRIVATE KEY", private), certificate)
}

func TestMutualTLS(t *testing.T) {
	is := is.New(t)
	secret := config.WithSecret([]byte("the secret of ours"))
	files := certify(t, "ours")
	address := serve(t, of(t, secret, config.WithTLS(files)))
	single, stream := ask(t, address, of(t, secret, config.WithTLS(files)).DialOptions()...)
	is.Equal(single, codes.OK)
	is.Equal(stream, codes.OK)
	single, _ = ask(t, address, of(t, secret, config.WithTLS(certify(t, "theirs"))).DialOptions()...)
	is.Equal(single, codes.Unavailable)
	single, _ = ask(t, address, of(t, secret).DialOptions()...)
	is.Equal(single, codes.Unavailable)
}

func TestBadFilesAreNamed(t *testing.T) {
	is := is.New(t)
	files := certify(t, "ours")
	_, err := New(config.New(config.WithTLS(config.NewTLS(files.Certificate(), files.Key(), files.Key()))))
	is.True(err != nil)
	e, ok := err.(*Error)
	is.True(ok)
	is.Equal(e.Kind(), NoCertificate)
}
