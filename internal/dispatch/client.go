package dispatch

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// maxStaleResponses is how many answers of other attempts are read past before a connection is
// given up.
const maxStaleResponses = 2

// maxRefusalBytes is how much of a refusal's body is read to keep its connection.
const maxRefusalBytes = 4 << 10

// Target is the upstream that an attempt goes to.
type Target struct {
	// ID is the incarnation that is meant.
	ID      string
	Address string
	// MaxConnections bounds this host's connections to it; 0 is no bound.
	MaxConnections int
}

// Request is what an attempt sends.
type Request struct {
	Method string
	// URI is the request target as the caller sent it.
	URI  string
	Host string
	// Header goes out as it is; it holds the attempt's id.
	Header http.Header
	Body   []byte
}

// Response is an upstream's answer to the attempt. Close has to be called.
type Response struct {
	Status int
	Header http.Header
	// Length is that of the body, -1 where it is not stated.
	Length int64

	client     *Client
	conn       *conn
	resp       *http.Response
	stopCancel func() bool
	// isComplete is set once the body was read to its end.
	isComplete bool
}

// Client sends attempts.
type Client struct {
	headerNames HeaderNames
	pool        *pool
	now         func() time.Time
	// probes are those that are under way, by address.
	probes singleflight.Group
}

// Config is what a Client needs.
type Config struct {
	HeaderNames HeaderNames
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// Now is the clock; time.Now if nil.
	Now func() time.Time
}

// New returns a Client without connections.
func New(cfg Config) *Client {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Client{headerNames: cfg.HeaderNames, pool: newPool(cfg.DialTimeout), now: cfg.Now}
}

// Sweep closes connections that have idled for too long. It is called now and then.
func (c *Client) Sweep() { c.pool.sweep(c.now()) }

// Send sends one attempt and returns the answer's head, which has to be closed. It ends when ctx does, which
// also ends the reading of the answer's body. Errors are *verdict.Error: NotRun only
// where the upstream said so, or no byte of the request left.
func (c *Client) Send(ctx context.Context, t Target, r *Request) (*Response, error) {
	conn, err := c.pool.get(ctx, t.Address, t.MaxConnections, c.now())
	if err != nil {
		return nil, newError(verdict.NotRun, verdict.CodeNoUpstream, "no connection to the upstream", err)
	}
	stopCancel := context.AfterFunc(ctx, func() { _ = conn.Close() })
	resp, err := c.roundTrip(ctx, conn, t, r)
	if err != nil {
		stopCancel()
		c.pool.closeConn(conn)
		return nil, err
	}
	resp.stopCancel = stopCancel
	if err := c.refusalError(resp); err != nil {
		// Read to its end, the answer leaves the connection in use.
		_, _ = resp.ReadAll(maxRefusalBytes)
		resp.Close()
		return nil, err
	}
	return resp, nil
}

// roundTrip writes the request and reads the head of its answer.
func (c *Client) roundTrip(ctx context.Context, conn *conn, t Target, r *Request) (*Response, error) {
	if ctx.Err() != nil {
		return nil, newError(verdict.NotRun, contextCode(ctx), "ended before it was sent", ctx.Err())
	}
	conn.requests++
	if n, err := conn.Write(encodeRequest(t, r, c.headerNames)); err != nil {
		if n == 0 {
			return nil, newError(verdict.NotRun, verdict.CodeUpstreamFailed, "nothing was sent", err)
		}
		return nil, c.mayHaveRunError(ctx, "upstream took a part of the request", err)
	}
	attempt := r.Header.Get(c.headerNames.Attempt)
	resp, err := c.readResponse(conn, r, attempt)
	if err != nil {
		return nil, c.mayHaveRunError(ctx, "no answer", err)
	}
	conn.previousAttempt = attempt
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		client: c, conn: conn, resp: resp,
	}, nil
}

// readResponse reads answers until one carries the attempt's id. Late answers of the
// attempt before, on a connection that is used again, are read past.
func (c *Client) readResponse(conn *conn, r *Request, attempt string) (*http.Response, error) {
	for range 1 + maxStaleResponses {
		resp, err := http.ReadResponse(conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		switch received := resp.Header.Get(c.headerNames.Attempt); {
		case received == attempt:
			return resp, nil
		case received == "" && conn.requests == 1:
			return resp, nil
		case received == "" || received != conn.previousAttempt:
			return nil, errors.New("answer to another request")
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("too many answers to other requests")
}

// refusalError turns an answer that says that the request did not run into an error.
func (c *Client) refusalError(resp *Response) error {
	isMisdirected := resp.Status == http.StatusMisdirectedRequest
	if !isMisdirected && resp.Header.Get(c.headerNames.NotRun) == "" {
		return nil
	}
	code, text := verdict.CodeOverloaded, "upstream refused with status "+strconv.Itoa(resp.Status)
	if isMisdirected {
		code, text = verdict.CodeConflict, "another upstream has the address"
	}
	return &RefusedError{
		Misdirected: isMisdirected, FaultyUpstream: resp.Header.Get(c.headerNames.FaultyUpstream),
		Err: verdict.New(verdict.NotRun, code, text),
	}
}

// RefusedError is an upstream's answer that the request did not run.
type RefusedError struct {
	// Misdirected tells that the address belongs to another incarnation.
	Misdirected bool
	// FaultyUpstream names the upstream at fault, if another one is.
	FaultyUpstream string
	Err            *verdict.Error
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.FaultyUpstream == "" {
		return e.Err.Error()
	}
	return e.Err.Error() + ", at fault is " + e.FaultyUpstream
}

// Unwrap returns the verdict.
func (e *RefusedError) Unwrap() error { return e.Err }

// mayHaveRunError is the error of an attempt that may have run.
func (c *Client) mayHaveRunError(ctx context.Context, text string, err error) error {
	if ctx.Err() != nil {
		return newError(verdict.MayHaveRun, contextCode(ctx), text, ctx.Err())
	}
	return newError(verdict.MayHaveRun, verdict.CodeUpstreamFailed, text, err)
}

func contextCode(ctx context.Context) verdict.Code {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.CodeDeadline
	}
	return verdict.CodeCancelled
}

func newError(v verdict.Verdict, code verdict.Code, text string, cause error) *verdict.Error {
	e := verdict.New(v, code, text)
	e.Cause = cause
	return e
}

// encodeRequest returns the bytes of the request.
func encodeRequest(t Target, r *Request, names HeaderNames) []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	_ = r.Header.Write(&b)
	if names.Instance != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", names.Instance, t.ID)
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// Read reads the body. An error other than io.EOF means that the answer is not whole.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.resp.Body.Read(p)
	if err == io.EOF {
		a.isComplete = true
	}
	return n, err
}

// SetReadDeadline bounds the wait for the next bytes of the body.
func (a *Response) SetReadDeadline(t time.Time) { _ = a.conn.SetReadDeadline(t) }

// IsTimeout reports whether a read failed since its deadline passed.
func IsTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// Close ends the answer. The connection is kept only where the body was read whole;
// otherwise its end tells the upstream to stop.
func (a *Response) Close() {
	cancelled := !a.stopCancel()
	if !cancelled && a.isComplete && a.conn.allowReuse(a.resp, a.client.now()) && a.conn.SetDeadline(time.Time{}) == nil {
		a.client.pool.put(a.conn)
		return
	}
	a.client.pool.closeConn(a.conn)
}

// ReadAll reads the body to its end, up to limit bytes.
func (a *Response) ReadAll(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(bodyReader{a}, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errors.New("answer is too large")
	}
	return body, nil
}

type bodyReader struct{ a *Response }

// Read implements io.Reader.
func (r bodyReader) Read(p []byte) (int, error) { return r.a.Read(p) }
