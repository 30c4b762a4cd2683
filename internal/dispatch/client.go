package dispatch

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// maxStaleResponses is how many responses to the connection's previous attempt are skipped
// before the connection is closed.
const maxStaleResponses = 2

// maxRefusalBytes is how much of a refusal's body is read so that its connection can be reused.
const maxRefusalBytes = 4 << 10

// refusalBodyTime limits the time for it. The request has not run, so another upstream can have it: it does not wait
// for the rest of a body, which usually comes with the header.
const refusalBodyTime = 100 * time.Millisecond

// Target is the upstream that an attempt is sent to.
type Target struct {
	// ID identifies the expected incarnation of the upstream, which is one start of its
	// process. StartedAt is its start time as announced, in Unix milliseconds, 0 if unknown.
	ID        string
	StartedAt int64
	Address   string
	// MaxConnections limits this host's connections to the upstream; 0 means no limit.
	MaxConnections int
}

// Request is the HTTP request of an attempt.
type Request struct {
	Method string
	// URI is the request target exactly as the caller sent it.
	URI  string
	Host string
	// Header is sent unchanged. It contains the attempt's id.
	Header http.Header
	Body   []byte
	// MaySend, if set, is called once the connection is there, just before the first byte. If it
	// returns an error, nothing is sent: what was known when the upstream was chosen no longer
	// holds. The error of Send then wraps it.
	MaySend func() error
	// Trail, if set, is that of the caller's request, shared by all its attempts.
	Trail *Trail
}

// Trail records the connections on which a caller's request was sent. It is not sent on one of them
// again: its attempts have the same id, so a late copy of the response to the first could not be told
// from the response to the second. The zero value is empty.
type Trail struct{ conns []*conn }

// contains reports whether the request was sent on a connection. t may be nil.
func (t *Trail) contains(c *conn) bool { return t != nil && slices.Contains(t.conns, c) }

func (t *Trail) add(c *conn) {
	if t != nil {
		t.conns = append(t.conns, c)
	}
}

// Response is an upstream's response to an attempt. Callers must close it.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if the upstream does not state it.
	Length int64
	// EndsByClose is set if nothing but the close of the connection marks the end of the body.
	EndsByClose bool

	client     *Client
	conn       *conn
	resp       *http.Response
	stopCancel func() bool
	// isComplete is set once the body was read to its end.
	isComplete bool
}

// Client sends attempts to upstreams.
type Client struct {
	headerNames HeaderNames
	pool        *pool
	now         func() time.Time
	// onResponse is called for each response of the expected upstream; nil if nobody listens.
	onResponse func(*Observation)
	// probes holds the probes in progress by address, so that concurrent callers share one.
	probes singleflight.Group
}

// Observation is what a response tells about its upstream, whatever its status.
type Observation struct {
	Target  Target
	Attempt string
	Status  int
	Header  http.Header
	// SentAt is when the request was sent, ReadAt when the response's header was read.
	SentAt, ReadAt time.Time
}

// OnResponse makes the Client call f for each response whose header it has read, unless the
// response comes from another upstream than the expected one. It must be called before the first
// Send.
func (c *Client) OnResponse(f func(*Observation)) { c.onResponse = f }

// Config holds the parameters of a Client.
type Config struct {
	HeaderNames HeaderNames
	// DialTimeout limits how long opening a connection may take.
	DialTimeout time.Duration
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// New returns a Client without open connections.
func New(cfg Config) *Client {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Client{headerNames: cfg.HeaderNames, pool: newPool(cfg.DialTimeout), now: cfg.Now}
}

// Sweep closes the connections whose idle timeout has passed. It is called periodically.
func (c *Client) Sweep() { c.pool.sweep(c.now()) }

// Send sends one attempt and returns its response, whose header has been read; the caller must
// close it. Cancelling ctx aborts the attempt, and later the reading of the body as well.
// Errors wrap a *verdict.Error, which is NotRun only if the upstream said so or no byte of the
// request was sent.
func (c *Client) Send(ctx context.Context, t Target, r *Request) (*Response, error) {
	if strings.ContainsFunc(t.ID, unicode.IsControl) {
		// The id is the value of a header field, which a line break would end.
		return nil, newError(verdict.NotRun, verdict.CodeNoUpstream, "the id of the upstream has control characters", nil)
	}
	conn, err := c.pool.get(ctx, t.Address, t.MaxConnections, c.now(), r.Trail)
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
	if err := c.refusalError(r, resp); err != nil {
		// Once the body was read to its end, the connection can be reused.
		resp.SetReadDeadline(time.Now().Add(refusalBodyTime))
		_, _ = resp.ReadAll(maxRefusalBytes)
		resp.Close()
		return nil, err
	}
	return resp, nil
}

// roundTrip writes the request and reads the header of its response.
func (c *Client) roundTrip(ctx context.Context, conn *conn, t Target, r *Request) (*Response, error) {
	if ctx.Err() != nil {
		return nil, newError(verdict.NotRun, contextCode(ctx), "ended before it was sent", ctx.Err())
	}
	if r.MaySend != nil {
		if err := r.MaySend(); err != nil {
			return nil, newError(verdict.NotRun, verdict.CodeNoUpstream, "not sent to this upstream", err)
		}
	}
	conn.requests++
	r.Trail.add(conn)
	sentAt := c.now()
	if n, err := writeRequest(conn, t, r, c.headerNames); err != nil {
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
	if c.onResponse != nil && resp.StatusCode != http.StatusMisdirectedRequest {
		c.onResponse(&Observation{
			Target: t, Attempt: attempt, Status: resp.StatusCode, Header: resp.Header, SentAt: sentAt, ReadAt: c.now(),
		})
	}
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		EndsByClose: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0,
		client:      c, conn: conn, resp: resp,
	}, nil
}

// readResponse reads responses until one carries the attempt's id. On a reused connection it
// skips late responses to the previous attempt.
func (c *Client) readResponse(conn *conn, r *Request, attempt string) (*http.Response, error) {
	conn.input.limit(maxHeadBytes, maxHeadLines)
	defer conn.input.unlimit()
	for range 1 + maxStaleResponses {
		resp, err := conn.readHead(r.Method)
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
			return nil, errors.New("response to another request")
		}
		conn.input.unlimit()
		if err := conn.skipBody(resp); err != nil {
			return nil, err
		}
		conn.input.limit(maxHeadBytes, maxHeadLines)
	}
	return nil, errors.New("too many responses to other requests")
}

// refusalError returns an error if the response says that the request did not run, else nil.
func (c *Client) refusalError(r *Request, resp *Response) error {
	isMisdirected := resp.Status == http.StatusMisdirectedRequest
	if !isMisdirected && resp.Header.Get(c.headerNames.NotRun) == "" {
		return nil
	}
	code, text := verdict.CodeOverloaded, "upstream refused with status "+strconv.Itoa(resp.Status)
	mayBeVersion := isMisdirected && r.Header.Get(c.headerNames.Version) != ""
	switch {
	case mayBeVersion:
		code, text = verdict.CodeConflict, "the upstream has other weights, or another upstream has the address"
	case isMisdirected:
		code, text = verdict.CodeConflict, "another upstream has the address"
	}
	return &RefusedError{
		Misdirected: isMisdirected && !mayBeVersion, MayBeVersion: mayBeVersion, FaultyUpstream: resp.Header.Get(c.headerNames.FaultyUpstream),
		Err: verdict.New(verdict.NotRun, code, text),
	}
}

// RefusedError reports that an upstream has refused the request without running it.
type RefusedError struct {
	// Misdirected reports that the address now belongs to another incarnation, MayBeVersion that this is
	// so or that the upstream has not the version that the request asks for.
	Misdirected, MayBeVersion bool
	// FaultyUpstream names the upstream that caused the refusal, if it is another one than the
	// upstream that refused.
	FaultyUpstream string
	Err            *verdict.Error
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.FaultyUpstream == "" {
		return e.Err.Error()
	}
	return e.Err.Error() + ", upstream at fault: " + e.FaultyUpstream
}

// Unwrap returns the verdict error.
func (e *RefusedError) Unwrap() error { return e.Err }

// mayHaveRunError returns the error for an attempt that failed after it may have run.
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

// maxCopiedBody is the size up to which a body is copied behind its header, to be sent with it in one
// call. Larger ones are not copied, since memory is scarce.
const maxCopiedBody = 16 << 10

// writeRequest writes the request in HTTP/1.1 wire format and returns how many bytes were sent.
func writeRequest(conn *conn, t Target, r *Request, names HeaderNames) (int64, error) {
	header := encodeHeader(t, r, names)
	if len(r.Body) > maxCopiedBody {
		parts := net.Buffers{header.Bytes(), r.Body}
		return parts.WriteTo(conn.Conn)
	}
	header.Write(r.Body)
	n, err := conn.Write(header.Bytes())
	return int64(n), err
}

// encodeHeader returns the request line and the header in HTTP/1.1 wire format.
func encodeHeader(t Target, r *Request, names HeaderNames) *bytes.Buffer {
	var b bytes.Buffer
	b.Grow(1024 + min(len(r.Body), maxCopiedBody))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	_ = r.Header.Write(&b)
	if names.Instance != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", names.Instance, t.ID)
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	return &b
}

// Read reads the body. An error other than io.EOF means that the response is incomplete.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.resp.Body.Read(p)
	if err == io.EOF {
		r.isComplete = true
	}
	return n, err
}

// SetReadDeadline sets the deadline for reading from the body.
func (r *Response) SetReadDeadline(t time.Time) { _ = r.conn.SetReadDeadline(t) }

// IsTimeout reports whether a read failed because its deadline has passed.
func IsTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// Close ends the response. The connection is kept for reuse only if the body was read to its
// end. Otherwise it is closed, which tells the upstream to stop.
func (r *Response) Close() {
	cancelled := !r.stopCancel()
	if !cancelled && r.isComplete && r.conn.allowReuse(r.resp, r.client.now()) && r.conn.SetDeadline(time.Time{}) == nil {
		r.client.pool.put(r.conn)
		return
	}
	r.client.pool.closeConn(r.conn)
}

// ReadAll reads the body to its end and fails if it is longer than limit bytes.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(bodyReader{r}, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errors.New("response is too large")
	}
	return body, nil
}

type bodyReader struct{ resp *Response }

// Read implements io.Reader.
func (r bodyReader) Read(p []byte) (int, error) { return r.resp.Read(p) }
