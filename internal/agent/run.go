package agent

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/answer"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// ResumeHeader asks an engine to continue a response after this many body bytes. An engine
	// that does so returns the same value in its response.
	ResumeHeader = "Resume-Offset"
	// RequestIDHeader carries the request ID to the upstream.
	RequestIDHeader = "X-Request-Id"

	dialTimeout         = time.Second
	reportTimeout       = time.Second
	frameBytes          = 32 << 10
	maxHeaderBytes      = 64 << 10
	eventStreamType     = "text/event-stream"
	completionStreamEnd = "data: [DONE]"
	tailBytes           = 32
)

// frameBuffers pools the read buffers of relays. A buffer can be reused as soon as its data is
// sent, because a session copies the data.
var frameBuffers = sync.Pool{New: func() any { return new([frameBytes]byte) }}

// newTransport returns a transport that opens a new connection for each request. On a kept one, a late
// copy of a response would be taken for the response to the next request, since nothing in it names its
// request. Besides, a request is never sent twice: net/http retries only on reused connections.
func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// run executes one attempt and sends its response, or the error, to the entry host.
func (a *Agent) run(at *attempt) {
	defer a.finish(at)
	at.began = time.Now()
	resp, err := a.roundTrip(at)
	if err != nil {
		a.reportFailure(at, verdict.FromError(err))
		return
	}
	defer func() { _ = resp.Body.Close() }()
	a.noteRest(resp)
	if err := checkResume(at.dispatch, resp); err != nil {
		a.reportFailure(at, err)
		return
	}
	header := &wire.Head{Attempt: at.dispatch.Attempt, Status: resp.StatusCode, Header: headerFields(resp.Header)}
	a.send(at, header)
	a.relay(at, resp)
}

// reportFailure reports an attempt without a response. If the call has certainly not run, its claim
// is forgotten, so that the call can be dispatched again.
func (a *Agent) reportFailure(at *attempt, e *verdict.Error) {
	if e.Verdict == verdict.NotRun && at.dispatch.Claim != nil {
		a.mu.Lock()
		a.seenClaims.remove(*at.dispatch.Claim)
		a.mu.Unlock()
	}
	a.refuse(at.session, at.dispatch.Attempt, e)
	a.confirmCrashReport(at, upstreamEndedAt(e))
}

// roundTrip sends the request to the upstream. The verdict of the error is NotRun only if no
// connection was established, so that no byte can have been sent.
func (a *Agent) roundTrip(at *attempt) (*http.Response, error) {
	if a.cfg.Settle != nil {
		a.cfg.Settle(at.ctx)
	}
	if at.ctx.Err() != nil {
		return nil, notRun(verdict.CodeCancelled, "ended before it began")
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		connected.Store(true)
		a.monitor.markConnected()
	}}
	req, err := a.newRequest(httptrace.WithClientTrace(at.ctx, trace), at.dispatch)
	if err != nil {
		return nil, notRun(verdict.CodeBadRequest, "request is not usable")
	}
	resp, err := a.transport.RoundTrip(req)
	if err == nil {
		return resp, nil
	}
	e := &verdict.Error{Verdict: verdict.MayHaveRun, Code: failureCode(at.ctx), Text: "upstream gave no answer", Cause: err}
	if !connected.Load() {
		e.Verdict = verdict.NotRun
		e.Text = "upstream can't be reached"
		e.RetryAfter = a.cfg.RetryAfter
	} else if e.Code == verdict.CodeUpstreamFailed {
		if endedAt := a.probeEnd(); endedAt != 0 {
			e.Cause = &answer.UpstreamEndedError{At: endedAt}
		}
	}
	if connected.Load() {
		a.noteIfAbandoned(at)
	}
	return nil, e
}

func failureCode(ctx context.Context) verdict.Code {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.CodeDeadline
	case ctx.Err() != nil:
		return verdict.CodeCancelled
	}
	return verdict.CodeUpstreamFailed
}

func (a *Agent) newRequest(ctx context.Context, d *wire.Dispatch) (*http.Request, error) {
	u, err := a.baseURL.Parse(d.Path)
	if err != nil {
		return nil, err
	}
	if u.Host != a.baseURL.Host {
		return nil, errors.New("agent: request path selects another host")
	}
	req, err := http.NewRequestWithContext(ctx, d.Method, u.String(), bytes.NewReader(d.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody net/http can't send the body a second time.
	req.GetBody = nil
	for _, f := range d.Header {
		req.Header.Add(f.Name, f.Value)
	}
	req.Header.Set(RequestIDHeader, d.RequestID)
	if d.Offset > 0 {
		req.Header.Set(ResumeHeader, strconv.FormatUint(d.Offset, 10))
	}
	return req, nil
}

// checkResume returns an error if the request asked the engine to resume a response and the engine did
// not.
func checkResume(d *wire.Dispatch, resp *http.Response) *verdict.Error {
	if d.Offset == 0 || resp.Header.Get(ResumeHeader) == strconv.FormatUint(d.Offset, 10) {
		return nil
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "engine did not resume")
}

// relay sends the response body in frames and then an End message.
func (a *Agent) relay(at *attempt, resp *http.Response) {
	r := &relay{agent: a, at: at, end: wire.End{Attempt: at.dispatch.Attempt}, digest: xxhash.New()}
	r.recording.isEnabled = at.dispatch.Claim != nil && a.cfg.Recorder != nil
	err := r.relayBody(resp.Body)
	if err == nil {
		err = checkComplete(at.dispatch, resp, r.tail)
	}
	if err != nil {
		if at.ctx.Err() == nil {
			r.end.UpstreamCrashedAt = a.probeEnd()
		}
		a.noteIfAbandoned(at)
	}
	r.end.Digest = r.digest.Sum64()
	if err != nil {
		a.counters.incomplete.Inc(1)
		r.end.Incomplete = true
		r.end.Text = err.Error()
	}
	a.send(at, &r.end)
	a.confirmCrashReport(at, r.end.UpstreamCrashedAt)
	if err == nil {
		a.recordIfUndelivered(at, resp, &r.recording)
	}
}

// relay is the transfer of one response body to the entry host.
type relay struct {
	agent  *Agent
	at     *attempt
	end    wire.End
	digest *xxhash.Digest
	tail   []byte

	recording recording
}

func (r *relay) relayBody(body io.Reader) error {
	frame := frameBuffers.Get().(*[frameBytes]byte)
	defer frameBuffers.Put(frame)
	buf := frame[:]
	for {
		n, err := body.Read(buf)
		r.keepTail(buf[:n])
		r.recording.add(buf[:n])
		if sendErr := r.sendFrames(buf[:n]); sendErr != nil {
			return sendErr
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (r *relay) keepTail(data []byte) {
	r.tail = append(r.tail, data[max(0, len(data)-tailBytes):]...)
	r.tail = r.tail[max(0, len(r.tail)-tailBytes):]
}

// sendFrames sends data as far as the flow control window allows, and waits for credit for the rest.
func (r *relay) sendFrames(data []byte) error {
	for len(data) > 0 {
		n, err := r.at.window.take(r.at.ctx, len(data), r.sessionDone())
		if err != nil {
			if r.mustFinish() {
				return nil
			}
			return err
		}
		r.end.Frames++
		r.end.Bytes += uint64(n)
		_, _ = r.digest.Write(data[:n])
		frame := &wire.Frame{Attempt: r.at.dispatch.Attempt, Seq: r.end.Frames, Data: data[:n]}
		if err := r.at.session.Send(r.at.ctx, frame); err != nil && !r.mustFinish() {
			return err
		}
		data = data[n:]
	}
	return nil
}

func (r *relay) sessionDone() <-chan struct{} { return r.at.session.Done() }

// mustFinish reports whether the response is read to its end although it can't be delivered,
// which is the case for a non-idempotent call whose deadline has not passed.
func (r *relay) mustFinish() bool {
	return r.at.dispatch.Claim != nil && r.at.ctx.Err() == nil
}

// checkComplete returns an error if a body that was read without an error may be truncated: a
// completion stream without its final event, or a body whose end is marked by nothing but the
// close of the connection.
func checkComplete(d *wire.Dispatch, resp *http.Response, tail []byte) error {
	isStream := strings.HasPrefix(resp.Header.Get("Content-Type"), eventStreamType)
	if isStream && isCompletion(d.Path) {
		if !bytes.HasSuffix(bytes.TrimSpace(tail), []byte(completionStreamEnd)) {
			return errors.New("stream without its end")
		}
		return nil
	}
	endsByClose := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
	if endsByClose && d.Method != http.MethodHead {
		return errors.New("body of unknown length")
	}
	return nil
}

func isCompletion(target string) bool {
	path, _, _ := strings.Cut(target, "?")
	return path == "/v1/completions" || path == "/v1/chat/completions"
}

// send queues m on the attempt's session, even if the attempt's deadline has passed. It waits
// only while the session's queue is full, at most for reportTimeout.
func (a *Agent) send(at *attempt, m wire.Message) {
	err := at.session.Post(m)
	if errors.Is(err, peer.ErrBusy) {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		err = at.session.Send(ctx, m)
	}
	if err != nil {
		a.counters.unreported.Inc(1)
	}
}

func headerFields(h http.Header) []wire.Field {
	out := make([]wire.Field, 0, len(h))
	for name, values := range h {
		for _, v := range values {
			out = append(out, wire.Field{Name: name, Value: v})
		}
	}
	return out
}
