package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/settings"
)

const (
	// readHeaderTimeout bounds the time to read the head of a request and a TLS handshake.
	readHeaderTimeout = 10 * time.Second
	// readTimeout bounds the time to read a whole request of another host, an operator or a scraper of metrics,
	// idleTimeout that between two, and writeTimeout that for which a client may accept nothing of a response.
	readTimeout  = 30 * time.Second
	idleTimeout  = 2 * time.Minute
	writeTimeout = 30 * time.Second
	// maxHeaderBytes bounds the heads of their requests.
	maxHeaderBytes = 16 << 10
	// sessionReceiveBuffer is the receive buffer of a session with another host, in bytes.
	sessionReceiveBuffer = 256 << 10
)

// server is one HTTP server of the daemon with its listener.
type server struct {
	name     string
	listener net.Listener
	http     *http.Server
}

func newServer(name string, l net.Listener, h *http.Server, t settings.TLS) (*server, error) {
	s := &server{name: name, listener: l, http: h}
	if !t.Enabled() {
		return s, nil
	}
	certificate, err := tls.LoadX509KeyPair(t.CertificateFile, t.KeyFile)
	if err != nil {
		return nil, errors.Wrapf(err, "certificate for %s", name)
	}
	s.http.TLSConfig = &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}
	return s, nil
}

// run serves until shutdown or close is called, and then returns nil.
func (s *server) run() error {
	var err error
	if s.http.TLSConfig != nil {
		err = s.http.ServeTLS(s.listener, "", "")
	} else {
		err = s.http.Serve(s.listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve %s", s.name)
}

// shutdown closes the listener and waits until every request in progress has its complete response,
// or until ctx ends.
func (s *server) shutdown(ctx context.Context) error {
	return errors.Wrapf(s.http.Shutdown(ctx), "shut down %s", s.name)
}

func (s *server) close() {
	_ = s.http.Close()
	_ = s.listener.Close()
}

// peerTLS returns the TLS configuration for dialling other hosts, nil if TLS is off.
func peerTLS(p settings.Peer) (*tls.Config, error) {
	if !p.TLS.Enabled() {
		return nil, nil
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if p.CAFile == "" {
		return config, nil
	}
	pem, err := os.ReadFile(p.CAFile)
	if err != nil {
		return nil, errors.Wrap(err, "read CA file of peers")
	}
	config.RootCAs = x509.NewCertPool()
	if !config.RootCAs.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("no certificate in %s", p.CAFile)
	}
	return config, nil
}
