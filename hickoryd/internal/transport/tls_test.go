package transport_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/hickoryfront/hickoryfront/hickoryd/internal/settings"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/transport"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

// authority is a certificate authority.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// TestPeersAuthenticateEachOther guards against a daemon that accepts calls from a
// client without a certificate of the daemon's authority.
func TestPeersAuthenticateEachOther(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	server := newSecurity(t, ours.issue(t, 1))
	tests := []struct {
		name   string
		client credentials.TransportCredentials
		ok     bool
	}{
		{"certificate of the same authority", newSecurity(t, ours.issue(t, 2)).PeerClient(), true},
		{"certificate of another authority", newSecurity(t, theirs.issue(t, 3)).PeerClient(), false},
		{"no TLS", insecure.NewCredentials(), false},
	}
	address := serve(t, server)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(tt.client))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_, err = peerapi.NewPeerClient(conn).Burn(context.Background(), &peerapi.BurnRequest{})
			if ok := err == nil; ok != tt.ok {
				t.Errorf("call: %v, want success %v", err, tt.ok)
			}
		})
	}
}

// TestReload guards against a certificate that is not replaced after a renewal, or
// that is lost when a file is read while it is being written.
func TestReload(t *testing.T) {
	ca := newAuthority(t)
	files := ca.issue(t, 1)
	s := newSecurity(t, files)
	if got := serial(t, s); got != 1 {
		t.Fatalf("serial is %d, want 1", got)
	}
	later := time.Now().Add(time.Minute)
	if err := os.WriteFile(files.Certificate, []byte("half written"), 0o600); err != nil {
		t.Fatal(err)
	}
	touch(t, files.Certificate, later)
	s.Reload()
	if got := serial(t, s); got != 1 {
		t.Errorf("serial after an invalid file is %d, want 1 as before", got)
	}
	renewed := ca.issue(t, 2)
	rename(t, renewed.Certificate, files.Certificate)
	rename(t, renewed.Key, files.Key)
	touch(t, files.Certificate, later.Add(time.Minute))
	s.Reload()
	if got := serial(t, s); got != 2 {
		t.Errorf("serial after the renewal is %d, want 2", got)
	}
}

// TestNewRefusesBadFiles guards against a daemon that starts without its
// certificate authorities.
func TestNewRefusesBadFiles(t *testing.T) {
	files := newAuthority(t).issue(t, 1)
	files.CA = filepath.Join(t.TempDir(), "missing.pem")
	_, err := transport.New(files, logger(), metrics.NewSet())
	if !errors.Is(err, transport.ErrCertificate) {
		t.Errorf("got %v, want ErrCertificate", err)
	}
}

func newSecurity(t *testing.T, files settings.TLS) *transport.Security {
	t.Helper()
	s, err := transport.New(files, logger(), metrics.NewSet())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func logger() log.Interface {
	return &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
}

// burnServer implements Burn, the only call that the test makes.
type burnServer struct {
	peerapi.UnimplementedPeerServer
}

func (burnServer) Burn(context.Context, *peerapi.BurnRequest) (*peerapi.BurnResponse, error) {
	return &peerapi.BurnResponse{}, nil
}

func serve(t *testing.T, s *transport.Security) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer(grpc.Creds(s.PeerServer()))
	peerapi.RegisterPeerServer(server, burnServer{})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

// serial returns the serial number of the certificate in use.
func serial(t *testing.T, s *transport.Security) int64 {
	t.Helper()
	certificate, err := s.Server().GetCertificate(nil)
	if err != nil {
		t.Fatal(err)
	}
	return certificate.Leaf.SerialNumber.Int64()
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(100), Subject: pkix.Name{CommonName: "authority"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	data, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(data)
	if err != nil {
		t.Fatal(err)
	}
	return authority{certificate: certificate, key: key}
}

// issue writes a certificate for the loopback address and returns its files.
func (a authority) issue(t *testing.T, number int64) settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(number), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	data, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	files := settings.TLS{
		Certificate: filepath.Join(dir, "host.pem"), Key: filepath.Join(dir, "host.key"), CA: filepath.Join(dir, "ca.pem"),
	}
	writePEM(t, files.Certificate, "CERTIFICATE", data)
	writePEM(t, files.Key, "EC PRIVATE KEY", secret)
	writePEM(t, files.CA, "CERTIFICATE", a.certificate.Raw)
	return files
}

func writePEM(t *testing.T, name, kind string, data []byte) {
	t.Helper()
	if err := os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600); err != nil {
		t.Fatal(err)
	}
}

func rename(t *testing.T, from, to string) {
	t.Helper()
	if err := os.Rename(from, to); err != nil {
		t.Fatal(err)
	}
}

func touch(t *testing.T, name string, at time.Time) {
	t.Helper()
	if err := os.Chtimes(name, at, at); err != nil {
		t.Fatal(err)
	}
}
