package link

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/tlsconf"
)

// testCA is a certificate authority for tests.
type testCA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestCA(t *testing.T) *testCA {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &testCA{cert, key}
}

// writeCertificate replaces the content of files with a new certificate for a DNS name.
func (c *testCA) writeCertificate(t *testing.T, files tlsconf.Files, name string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: serial, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, c.cert, key.Public(), c.key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	for file, block := range map[string]*pem.Block{
		files.Cert: {Type: "CERTIFICATE", Bytes: der},
		files.Key:  {Type: "PRIVATE KEY", Bytes: keyDER},
		files.CA:   {Type: "CERTIFICATE", Bytes: c.cert.Raw},
	} {
		require.NoError(t, os.WriteFile(file, pem.EncodeToMemory(block), 0o600))
	}
}

// newCertificateFiles returns files with a new certificate for a DNS name.
func (c *testCA) newCertificateFiles(t *testing.T, name string) tlsconf.Files {
	dir := t.TempDir()
	files := tlsconf.Files{Cert: filepath.Join(dir, "crt"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "ca")}
	c.writeCertificate(t, files, name)
	return files
}

// newSource returns a source with a new certificate for a DNS name.
func (c *testCA) newSource(t *testing.T, name string) *tlsconf.Source {
	src, err := tlsconf.New(c.newCertificateFiles(t, name))
	require.NoError(t, err)
	return src
}
