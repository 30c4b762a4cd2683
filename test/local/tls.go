package local

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

// certificateValidity is how long the certificate of a local system stays valid.
const certificateValidity = time.Hour

func (s *System) certificateFile() string { return filepath.Join(s.Dir, "certificate.pem") }

func (s *System) keyFile() string { return filepath.Join(s.Dir, "key.pem") }

// makeCertificate writes a self-signed certificate for the loopback address, and its key.
func (s *System) makeCertificate() error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "make key")
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotBefore:             time.Now().Add(-certificateValidity),
		NotAfter:              time.Now().Add(certificateValidity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return errors.Wrap(err, "make certificate")
	}
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "encode key")
	}
	if err := writePEM(s.certificateFile(), "CERTIFICATE", cert); err != nil {
		return err
	}
	return writePEM(s.keyFile(), "PRIVATE KEY", der)
}

func writePEM(path, kind string, data []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600)
}

// TLSClient returns an HTTP client that trusts the system's certificate.
func (s *System) TLSClient() (*http.Client, error) {
	data, err := os.ReadFile(s.certificateFile())
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.New("no certificate")
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}, nil
}

// tlsSettings returns the lines of a settings section that name the certificate and its key. The
// names of both settings begin with prefix. Without TLS it returns nothing.
func (s *System) tlsSettings(prefix string) string {
	if !s.Layout.HasTLS {
		return ""
	}
	return prefix + "tls-certificate = " + s.certificateFile() + "\n" + prefix + "tls-key = " + s.keyFile() + "\n"
}

// peerTLSSettings returns the TLS lines of the settings section for sessions between hosts.
func (s *System) peerTLSSettings() string {
	if !s.Layout.HasTLS {
		return ""
	}
	return s.tlsSettings("") + "tls-ca = " + s.certificateFile() + "\n"
}
