// Package transport builds the TLS settings of the daemon's connections and
// renews them when the certificate files change.
package transport

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/hickoryfront/hickoryfront/hickoryd/internal/settings"
)

const reloadInterval = 30 * time.Second

// ErrCertificate marks certificate files that can't be used.
var ErrCertificate = errors.New("certificate")

type (
	// Security holds the daemon's certificate and authorities. Without files
	// all connections are plain text. It is safe for concurrent use.
	Security struct {
		files    settings.TLS
		logger   log.Interface
		failures *metrics.Counter

		mu     sync.RWMutex
		loaded material
	}

	material struct {
		certificate tls.Certificate
		authorities *x509.CertPool
		modified    time.Time
	}
)

// New reads the certificate files, if any are set.
func New(files settings.TLS, logger log.Interface, set *metrics.Set) (*Security, error) {
	s := &Security{files: files, logger: logger, failures: set.NewCounter(`hickoryfront_certificate_failures_total`)}
	if !files.Enabled() {
		return s, nil
	}
	loaded, err := load(files)
	if err != nil {
		return nil, err
	}
	s.loaded = loaded
	set.NewGauge(`hickoryfront_certificate_expires_seconds`, func() float64 { return float64(s.expires().Unix()) })
	return s, nil
}

// Run renews the certificate when its files change, until ctx ends.
func (s *Security) Run(ctx context.Context) {
	if !s.files.Enabled() {
		return
	}
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.Reload()
		}
	}
}

// Reload reads the files again if they have changed. Files that can't be used
// leave the certificate in force as it is.
func (s *Security) Reload() {
	modified, err := newestChange(s.files)
	if err == nil && !modified.After(s.current().modified) {
		return
	}
	loaded, err := load(s.files)
	if err != nil {
		s.failures.Inc()
		s.logger.WithError(err).Error("certificate not renewed")
		return
	}
	s.mu.Lock()
	s.loaded = loaded
	s.mu.Unlock()
	s.logger.WithField("expires", s.expires()).Info("certificate renewed")
}

// Server returns the settings towards callers and operators, or nil for plain
// text.
func (s *Security) Server() *tls.Config {
	if !s.files.Enabled() {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: s.serverCertificate}
}

// PeerServer returns the credentials that daemons show and ask of each other.
func (s *Security) PeerServer() credentials.TransportCredentials {
	if !s.files.Enabled() {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return &tls.Config{
				MinVersion:     tls.VersionTLS13,
				GetCertificate: s.serverCertificate,
				ClientAuth:     tls.RequireAndVerifyClientCert,
				ClientCAs:      s.current().authorities,
				NextProtos:     []string{"h2"},
			}, nil
		},
	})
}

// PeerClient returns the credentials for connections to other daemons. The
// authorities are those of the start; certificates are renewed.
func (s *Security) PeerClient() credentials.TransportCredentials {
	if !s.files.Enabled() {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetClientCertificate: s.clientCertificate,
		RootCAs:              s.current().authorities,
	})
}

func (s *Security) serverCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	loaded := s.current()
	return &loaded.certificate, nil
}

func (s *Security) clientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	loaded := s.current()
	return &loaded.certificate, nil
}

func (s *Security) current() material {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.loaded
}

func (s *Security) expires() time.Time {
	leaf := s.current().certificate.Leaf
	if leaf == nil {
		return time.Time{}
	}
	return leaf.NotAfter
}

func load(files settings.TLS) (material, error) {
	modified, err := newestChange(files)
	if err != nil {
		return material{}, err
	}
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return material{}, fmt.Errorf("%w: %w", ErrCertificate, err)
	}
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return material{}, fmt.Errorf("%w: %w", ErrCertificate, err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return material{}, fmt.Errorf("%w: %s holds no certificate", ErrCertificate, files.CA)
	}
	return material{certificate: certificate, authorities: authorities, modified: modified}, nil
}

func newestChange(files settings.TLS) (time.Time, error) {
	newest := time.Time{}
	for _, name := range []string{files.Certificate, files.Key, files.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return newest, fmt.Errorf("%w: %w", ErrCertificate, err)
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}
