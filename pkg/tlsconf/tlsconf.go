// Package tlsconf provides mutual TLS configurations from PEM files and reloads the files
// when they change.
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

// checkInterval is the minimum time between checks of the files for changes. A check
// makes three stat calls during a handshake.
const checkInterval = time.Second

// Files holds the paths of PEM files: the certificate chain, its private key, and the
// certificate authorities that sign the peer's certificate.
type Files struct {
	Cert, Key, CA string
}

// Source provides the current certificates from a set of files. It is safe for
// concurrent use.
type Source struct {
	files Files

	mu          sync.Mutex
	lastCheck   time.Time
	fileStates  [3]fileState
	certificate *tls.Certificate
	authorities *x509.CertPool
	reloadErr   error
}

type fileState struct {
	modified time.Time
	size     int64
}

// New loads the files. If a file cannot be read or is invalid, the error has the code
// SettingsInvalid.
func New(files Files) (*Source, error) {
	s := &Source{files: files}
	states, err := s.stat()
	if err != nil {
		return nil, result.Errorf(result.SettingsInvalid, "load certificates: %v", err)
	}
	if err := s.load(); err != nil {
		return nil, result.Errorf(result.SettingsInvalid, "load certificates: %v", err)
	}
	s.fileStates, s.lastCheck = states, time.Now()
	return s, nil
}

func (s *Source) stat() (states [3]fileState, err error) {
	for i, name := range []string{s.files.Cert, s.files.Key, s.files.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return states, err
		}
		states[i] = fileState{info.ModTime(), info.Size()}
	}
	return states, nil
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
		return errors.Errorf("%s contains no certificate", s.files.CA)
	}
	s.certificate, s.authorities = &cert, pool
	return nil
}

// current returns the newest valid certificates. If the files cannot be read, or the
// certificate and the key do not match because only one has been replaced yet, it
// returns the previous ones and the next check tries again.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.lastCheck) >= checkInterval {
		s.lastCheck = now
		s.reload()
	}
	return s.certificate, s.authorities
}

func (s *Source) reload() {
	states, err := s.stat()
	if err == nil && states == s.fileStates && s.reloadErr == nil {
		return
	}
	if err == nil {
		err = s.load()
	}
	if s.reloadErr = err; err == nil {
		s.fileStates = states
	}
}

// Err returns the error of the last reload, or nil if it succeeded.
func (s *Source) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reloadErr
}

// ServerConfig returns a configuration that requires a client certificate signed by one of the
// authorities. Each handshake uses the current certificates.
func (s *Source) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := s.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    pool,
				// Resumed sessions would continue to use a replaced certificate.
				SessionTicketsDisabled: true,
			}, nil
		},
		// ServeTLS of net/http requires a certificate in the outer configuration.
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := s.current()
			return cert, nil
		},
	}
}

// ClientConfig returns a configuration with the current certificates for connections to a
// server whose certificate contains serverName.
func (s *Source) ClientConfig(serverName string) *tls.Config {
	cert, pool := s.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*cert},
		RootCAs:      pool,
		ServerName:   serverName,
	}
}

// HasDNSName reports whether the peer's certificate contains exactly this DNS name. Wildcards
// do not match, because one certificate must not identify several VMs.
func HasDNSName(state tls.ConnectionState, name string) bool {
	return len(state.PeerCertificates) > 0 && slices.Contains(state.PeerCertificates[0].DNSNames, name)
}
