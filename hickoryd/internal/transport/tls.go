// Package transport builds the TLS settings of the daemon's connections.
package transport

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/hickoryfront/hickoryfront/hickoryd/internal/settings"
)

// ErrCertificate marks certificate files that can't be used.
var ErrCertificate = errors.New("certificate")

// Security holds the daemon's TLS settings. Its zero value is plain text.
type Security struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// Load reads the certificate files. Without files it returns plain text.
func Load(files settings.TLS) (Security, error) {
	if !files.Enabled() {
		return Security{}, nil
	}
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return Security{}, fmt.Errorf("%w: %w", ErrCertificate, err)
	}
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return Security{}, fmt.Errorf("%w: %w", ErrCertificate, err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return Security{}, fmt.Errorf("%w: %s holds no certificate", ErrCertificate, files.CA)
	}
	return Security{certificate: certificate, authorities: authorities}, nil
}

// Server returns the settings towards callers and operators, or nil.
func (s Security) Server() *tls.Config {
	if s.authorities == nil {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{s.certificate}}
}

// PeerServer returns the credentials that daemons show and ask of each other.
func (s Security) PeerServer() credentials.TransportCredentials {
	if s.authorities == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{s.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    s.authorities,
	})
}

// PeerClient returns the credentials for connections to other daemons.
func (s Security) PeerClient() credentials.TransportCredentials {
	if s.authorities == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{s.certificate},
		RootCAs:      s.authorities,
	})
}
