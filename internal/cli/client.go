package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/api/oas"
)

// client asks the control hosts in their order until one gives a final answer.
type client struct {
	servers []*oas.Client
	names   []string
	timeout time.Duration
}

// retryPolicy says what the loss of an answer allows.
type retryPolicy uint8

const (
	// retryRead marks a request that changes nothing.
	retryRead retryPolicy = iota
	// retryIdempotent marks a change with an id, which the servers make only once.
	retryIdempotent
	// retryIfNotRun marks a change that is sent again only where it has not run.
	retryIfNotRun
)

// bearer gives the token to the generated client.
type bearer string

// Bearer returns the token for every operation.
func (b bearer) Bearer(context.Context, oas.OperationName) (oas.Bearer, error) {
	return oas.Bearer{Token: string(b)}, nil
}

func newClient(o *options) (*client, error) {
	if len(o.servers) == 0 {
		return nil, errors.New("--server is required")
	}
	token, err := readToken(o.tokenFile)
	if err != nil {
		return nil, err
	}
	transport, err := newTransport(o.caFile)
	if err != nil {
		return nil, err
	}
	c := &client{timeout: o.timeout}
	for _, address := range o.servers {
		url := serverURL(address)
		server, err := oas.NewClient(url, bearer(token), oas.WithClient(&http.Client{
			Transport: transport,
			// A redirect could carry the token elsewhere.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}))
		if err != nil {
			return nil, errors.Wrapf(err, "--server %s", address)
		}
		c.servers = append(c.servers, server)
		c.names = append(c.names, url)
	}
	return c, nil
}

// serverURL turns ip:port into a URL.
func serverURL(address string) string {
	if strings.Contains(address, "://") {
		return strings.TrimSuffix(address, "/")
	}
	return "http://" + address
}

func readToken(path string) (string, error) {
	if path == "" {
		return "", errors.New("--token-file is required")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "--token-file")
	}
	token := strings.TrimSpace(string(text))
	if token == "" {
		return "", errors.New("--token-file: the file is empty")
	}
	return token, nil
}

func newTransport(caFile string) (*http.Transport, error) {
	transport := &http.Transport{Proxy: nil, DisableKeepAlives: true}
	if caFile == "" {
		return transport, nil
	}
	text, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.Wrap(err, "--ca-file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.New("--ca-file: no certificate in the file")
	}
	transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return transport, nil
}

// callServers sends a request to one server after the other. An answer that another
// server could not better ends the search. Where none does, the error says
// whether any attempt may have run.
func callServers[T any](ctx context.Context, c *client, r retryPolicy, send func(context.Context, *oas.Client) (T, error)) (T, error) {
	var zero T
	var last error
	code := ExitNotRun
	for i, server := range c.servers {
		attempt, cancel := context.WithTimeout(ctx, c.timeout)
		answer, err := send(attempt, server)
		cancel()
		if err == nil {
			return answer, nil
		}
		last = errors.Wrap(err, c.names[i])
		if isSameFromAnyServer(err) && (code != ExitUnknown || decidesEarlierAttempts(err)) {
			return zero, last
		}
		if r != retryRead && mayHaveRun(err) {
			code = ExitUnknown
		}
		if ctx.Err() != nil || (r == retryIfNotRun && code == ExitUnknown) {
			break
		}
	}
	return zero, &exitError{code: code, cause: last}
}

// isSameFromAnyServer reports whether an answer would be the same from any server.
func isSameFromAnyServer(err error) bool {
	var problem *oas.ProblemStatusCodeWithHeaders
	return errors.As(err, &problem) &&
		problem.StatusCode < http.StatusInternalServerError &&
		problem.StatusCode != http.StatusTooManyRequests
}

// decidesEarlierAttempts reports whether an answer also tells what became of an earlier attempt
// at the same change. A server that knows the change says so before anything else
// about it; a server that does not take the token says nothing about it.
func decidesEarlierAttempts(err error) bool {
	var problem *oas.ProblemStatusCodeWithHeaders
	return errors.As(err, &problem) &&
		(problem.StatusCode == http.StatusConflict || problem.StatusCode == http.StatusUnprocessableEntity)
}

// mayHaveRun reports whether a failed attempt may have reached a command. Only a
// server that says so, or a connection that never was, proves that it did not.
func mayHaveRun(err error) bool {
	var problem *oas.ProblemStatusCodeWithHeaders
	if errors.As(err, &problem) {
		return problem.Response.Verdict != oas.ProblemVerdictNotRun
	}
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return false
	}
	var certificate *tls.CertificateVerificationError
	return !errors.As(err, &certificate)
}
