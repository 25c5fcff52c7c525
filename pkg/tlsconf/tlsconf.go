// Package tlsconf makes mutual TLS configurations from PEM files and reads the
// files again when they change.
package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// checkInterval bounds how often the files are looked at. A look costs three stat
// calls and happens during a handshake.
const checkInterval = time.Second

// Files names the PEM files of one side: its chain, its key, and the authorities
// that sign the other side's certificate.
type Files struct {
	Cert, Key, CA string
}

// Source holds the current certificates of one set of files. It is safe for
// concurrent use.
type Source struct {
	files Files

	mu      sync.Mutex
	checked time.Time
	stamps  [3]stamp
	cert    *tls.Certificate
	pool    *x509.CertPool
	loadErr error
}

type stamp struct {
	modified time.Time
	size     int64
}

// New reads the files. An unreadable or wrong file gives an error with the code
// SettingsInvalid.
func New(files Files) (*Source, error) {
	s := &Source{files: files}
	stamps, err := s.stat()
	if err != nil {
		return nil, result.Errorf(result.SettingsInvalid, "certificates: %v", err)
	}
	if err := s.load(); err != nil {
		return nil, result.Errorf(result.SettingsInvalid, "certificates: %v", err)
	}
	s.stamps, s.checked = stamps, time.Now()
	return s, nil
}

func (s *Source) stat() (stamps [3]stamp, err error) {
	for i, name := range []string{s.files.Cert, s.files.Key, s.files.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return stamps, err
		}
		stamps[i] = stamp{info.ModTime(), info.Size()}
	}
	return stamps, nil
}

func (s *Source) load() error {
	cert, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
	if err != nil {
		return err
	}
	pem, err := os.ReadFile(s.files.CA)
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return errors.Errorf("%s holds no certificate", s.files.CA)
	}
	s.cert, s.pool = &cert, pool
	return nil
}

// current returns the newest usable certificates. While the files cannot be read,
// or certificate and key do not fit (they are replaced one after the other), the
// earlier ones stay in use and the next look tries again.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.checked) >= checkInterval {
		s.checked = now
		s.reload()
	}
	return s.cert, s.pool
}

func (s *Source) reload() {
	stamps, err := s.stat()
	if err == nil && stamps == s.stamps && s.loadErr == nil {
		return
	}
	if err == nil {
		err = s.load()
	}
	if s.loadErr = err; err == nil {
		s.stamps = stamps
	}
}

// Err returns why the last reload failed, or nil.
func (s *Source) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loadErr
}

// Server returns a configuration that requires a client certificate signed by one
// of the authorities. Each handshake uses the current files.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := s.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    pool,
				// A resumed session would keep a replaced certificate in use.
				SessionTicketsDisabled: true,
			}, nil
		},
		// ServeTLS of net/http wants a certificate source on the outer configuration.
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := s.current()
			return cert, nil
		},
	}
}

// Client returns a configuration for one connection to a server whose certificate
// names serverName.
func (s *Source) Client(serverName string) *tls.Config {
	cert, pool := s.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*cert},
		RootCAs:      pool,
		ServerName:   serverName,
	}
}

// Names reports whether the peer's certificate names exactly this name as a DNS
// name. Wildcards do not count: one certificate must not stand for many VMs.
func Names(state tls.ConnectionState, name string) bool {
	return len(state.PeerCertificates) > 0 && slices.Contains(state.PeerCertificates[0].DNSNames, name)
}
