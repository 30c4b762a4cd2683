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

// client calls the control hosts in order until one gives a final response.
type client struct {
	servers []*oas.Client
	names   []string
	timeout time.Duration
}

// retryPolicy says whether a request may be sent to another server after its response was lost.
type retryPolicy uint8

const (
	// retryRead is for requests that change nothing, which are always retried.
	retryRead retryPolicy = iota
	// retryIdempotent is for changes that have no further effect when sent twice, such as those
	// with a change id. They are always retried.
	retryIdempotent
	// retryIfNotRun is for changes that are retried only if the earlier attempt has certainly
	// not run.
	retryIfNotRun
)

// bearer provides the token to the generated client.
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
			Transport: limitedTransport{transport},
			// A followed redirect could send the token to another host.
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

const (
	// maxHeaderBytes limits the header of an answer, and maxAnswerBytes its body, which is at most a
	// history of large documents.
	maxHeaderBytes = 64 << 10
	maxAnswerBytes = 256 << 20
)

// limitedTransport limits the bodies of answers.
type limitedTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t limitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r)
	if err == nil {
		resp.Body = http.MaxBytesReader(nil, resp.Body, maxAnswerBytes)
	}
	return resp, err
}

// metricsClient is the client of metrics listeners.
var metricsClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes}}

func newTransport(caFile string) (*http.Transport, error) {
	transport := &http.Transport{Proxy: nil, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes}
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

// callServers sends a request to one server after the other until a response is final. If none
// is, the error's exit code says whether any attempt may have run.
func callServers[T any](ctx context.Context, c *client, policy retryPolicy, send func(context.Context, *oas.Client) (T, error)) (T, error) {
	var zero T
	var lastErr error
	code := ExitNotRun
	for i, server := range c.servers {
		attemptCtx, cancel := context.WithTimeout(ctx, c.timeout)
		response, err := send(attemptCtx, server)
		cancel()
		if err == nil {
			return response, nil
		}
		lastErr = errors.Wrap(err, c.names[i])
		if isSameFromAnyServer(err) && (code != ExitUnknown || decidesEarlierAttempts(err)) {
			return zero, lastErr
		}
		if policy != retryRead && mayHaveRun(err) {
			code = ExitUnknown
		}
		if ctx.Err() != nil || (policy == retryIfNotRun && code == ExitUnknown) {
			break
		}
	}
	return zero, &exitError{code: code, cause: lastErr}
}

// isSameFromAnyServer reports whether every server would return this error.
func isSameFromAnyServer(err error) bool {
	var problem *oas.ProblemStatusCodeWithHeaders
	return errors.As(err, &problem) &&
		problem.StatusCode < http.StatusInternalServerError &&
		problem.StatusCode != http.StatusTooManyRequests
}

// decidesEarlierAttempts reports whether an error also says what became of earlier attempts at
// the same change. A server that knows the change id reports that change's outcome before any
// other error about it. A server that refuses the token has not looked at the change at all.
func decidesEarlierAttempts(err error) bool {
	var problem *oas.ProblemStatusCodeWithHeaders
	return errors.As(err, &problem) &&
		(problem.StatusCode == http.StatusConflict || problem.StatusCode == http.StatusUnprocessableEntity)
}

// mayHaveRun reports whether a failed attempt may have run on the server. Only a response that
// says so, a failed dial or a rejected certificate proves that it did not.
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
