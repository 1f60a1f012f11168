// Package transport builds the TLS configuration of the daemon's connections and
// reloads the certificate when its files change.
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

// ErrCertificate means that the certificate files can't be used.
var ErrCertificate = errors.New("certificate")

type (
	// Security holds the daemon's certificate and the certificate authorities that
	// it trusts. If no files are set, connections don't use TLS. Security is safe for
	// concurrent use.
	Security struct {
		files    settings.TLS
		logger   log.Interface
		failures *metrics.Counter

		mu     sync.RWMutex
		loaded credentialFiles
	}

	// credentialFiles is the content of the certificate files.
	credentialFiles struct {
		certificate tls.Certificate
		authorities *x509.CertPool
		modified    time.Time // latest modification of any of the files
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

// Run reloads the certificate when its files change, until ctx ends.
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

// Reload reads the files again if they have changed. If the files can't be used,
// the current certificate stays in use.
func (s *Security) Reload() {
	modified, err := lastModified(s.files)
	if err == nil && !modified.After(s.current().modified) {
		return
	}
	loaded, err := load(s.files)
	if err != nil {
		s.failures.Inc()
		s.logger.WithError(err).Error("can't reload the certificate; keeping the current one")
		return
	}
	s.mu.Lock()
	s.loaded = loaded
	s.mu.Unlock()
	s.logger.WithField("expires", s.expires()).Info("certificate reloaded")
}

// Server returns the TLS configuration for the listeners of callers and operators,
// or nil if connections don't use TLS.
func (s *Security) Server() *tls.Config {
	if !s.files.Enabled() {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: s.serverCertificate}
}

// PeerServer returns the credentials for the listener of the other daemons, which
// requires a client certificate of a trusted authority.
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

// PeerClient returns the credentials for connections to other daemons. New
// connections use the reloaded certificate, but the trusted authorities stay those
// that were read when PeerClient was called.
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

func (s *Security) current() credentialFiles {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.loaded
}

// expires returns the end of the certificate's validity, or the zero time if no
// certificate is loaded.
func (s *Security) expires() time.Time {
	leaf := s.current().certificate.Leaf
	if leaf == nil {
		return time.Time{}
	}
	return leaf.NotAfter
}

func load(files settings.TLS) (credentialFiles, error) {
	modified, err := lastModified(files)
	if err != nil {
		return credentialFiles{}, err
	}
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return credentialFiles{}, fmt.Errorf("%w: %w", ErrCertificate, err)
	}
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return credentialFiles{}, fmt.Errorf("%w: %w", ErrCertificate, err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return credentialFiles{}, fmt.Errorf("%w: %s holds no certificate", ErrCertificate, files.CA)
	}
	return credentialFiles{certificate: certificate, authorities: authorities, modified: modified}, nil
}

// lastModified returns the latest modification time of the files.
func lastModified(files settings.TLS) (time.Time, error) {
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
