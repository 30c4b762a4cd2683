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
	// ResumeHeader asks an engine to go on after that many body bytes; an engine that
	// does so says it back in its answer.
	ResumeHeader = "Resume-Offset"
	// RequestIDHeader carries the request id to the upstream.
	RequestIDHeader = "X-Request-Id"

	dialTimeout    = time.Second
	reportTimeout  = time.Second
	frameBytes     = 32 << 10
	maxHeaderBytes = 64 << 10
	streamType     = "text/event-stream"
	streamEnd      = "data: [DONE]"
	tailBytes      = 32
)

// frames holds the buffers of relays; a session copies what it sends.
var frames = sync.Pool{New: func() any { return new([frameBytes]byte) }}

// newTransport returns a transport that never sends a request twice where once is
// set: on a fresh connection the library does not try again.
func newTransport(conns int, once bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableKeepAlives:      once,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    conns,
		MaxResponseHeaderBytes: maxHeaderBytes,
		IdleConnTimeout:        time.Minute,
	}
}

// run carries out one attempt and reports how it went.
func (a *Agent) run(at *attempt) {
	defer a.done(at)
	resp, err := a.roundTrip(at)
	if err != nil {
		a.fail(at, verdict.FromError(err))
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if err := checkResume(at.d, resp); err != nil {
		a.fail(at, err)
		return
	}
	head := &wire.Head{Attempt: at.d.Attempt, Status: resp.StatusCode, Header: fields(resp.Header)}
	a.send(at, head)
	a.relay(at, resp)
}

// fail reports an attempt that gave no answer.
func (a *Agent) fail(at *attempt, e *verdict.Error) {
	if e.Verdict == verdict.NotRun && at.d.Claim != nil {
		a.mu.Lock()
		a.claims.remove(*at.d.Claim)
		a.mu.Unlock()
	}
	a.refuse(at.s, at.d.Attempt, e)
}

// roundTrip gives the request to the upstream. The error is NotRun only if no
// connection was got, so that no byte can have left.
func (a *Agent) roundTrip(at *attempt) (*http.Response, error) {
	if at.ctx.Err() != nil {
		return nil, notRun(verdict.CodeCancelled, "ended before it began")
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		connected.Store(true)
		if !i.Reused {
			a.presence.isBack()
		}
	}}
	req, err := a.newRequest(httptrace.WithClientTrace(at.ctx, trace), at.d)
	if err != nil {
		return nil, notRun(verdict.CodeBadRequest, "request is not usable")
	}
	transport := a.shared
	if at.d.Claim != nil {
		transport = a.once
	}
	resp, err := transport.RoundTrip(req)
	if err == nil {
		return resp, nil
	}
	e := &verdict.Error{Verdict: verdict.MayHaveRun, Code: failureCode(at.ctx), Text: "upstream gave no answer", Cause: err}
	if !connected.Load() {
		e.Verdict = verdict.NotRun
		e.Text = "upstream can't be reached"
		e.RetryAfter = a.cfg.RetryAfter
	} else if e.Code == verdict.CodeUpstreamFailed {
		if lost := a.findEnd(); lost != 0 {
			e.Cause = &answer.UpstreamEndedError{At: lost}
		}
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
	u, err := a.base.Parse(d.Path)
	if err != nil {
		return nil, err
	}
	if u.Host != a.base.Host {
		return nil, errors.New("agent: path leads to another host")
	}
	req, err := http.NewRequestWithContext(ctx, d.Method, u.String(), bytes.NewReader(d.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the library can't send the body a second time.
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

func checkResume(d *wire.Dispatch, resp *http.Response) *verdict.Error {
	if d.Offset == 0 || resp.Header.Get(ResumeHeader) == strconv.FormatUint(d.Offset, 10) {
		return nil
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "engine did not resume")
}

// relay sends the body in frames and then the end.
func (a *Agent) relay(at *attempt, resp *http.Response) {
	r := &relay{agent: a, at: at, end: wire.End{Attempt: at.d.Attempt}, digest: xxhash.New()}
	r.recording.isOn = at.d.Claim != nil && a.cfg.Recorder != nil
	err := r.copy(resp.Body)
	if err == nil {
		err = checkWhole(at.d, resp, r.tail)
	}
	if err != nil && at.ctx.Err() == nil && !isClosed(at.s.Done()) {
		r.end.UpstreamCrashedAt = a.findEnd()
	}
	r.end.Digest = r.digest.Sum64()
	if err != nil {
		a.counters.broken.Inc(1)
		r.end.Incomplete = true
		r.end.Text = err.Error()
	}
	a.send(at, &r.end)
	if err == nil {
		a.recordUnheard(at, resp, &r.recording)
	}
}

type relay struct {
	agent  *Agent
	at     *attempt
	end    wire.End
	digest *xxhash.Digest
	tail   []byte

	recording recording
}

func (r *relay) copy(body io.Reader) error {
	frame := frames.Get().(*[frameBytes]byte)
	defer frames.Put(frame)
	buf := frame[:]
	for {
		n, err := body.Read(buf)
		r.keepTail(buf[:n])
		r.recording.add(buf[:n])
		if sendErr := r.sendAll(buf[:n]); sendErr != nil {
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

func (r *relay) sendAll(data []byte) error {
	for len(data) > 0 {
		n, err := r.at.window.take(r.at.ctx, len(data), r.lost())
		if err != nil {
			if r.goOn() {
				return nil
			}
			return err
		}
		r.end.Frames++
		r.end.Bytes += uint64(n)
		_, _ = r.digest.Write(data[:n])
		frame := &wire.Frame{Attempt: r.at.d.Attempt, Seq: r.end.Frames, Data: data[:n]}
		if err := r.at.s.Send(r.at.ctx, frame); err != nil && !r.goOn() {
			return err
		}
		data = data[n:]
	}
	return nil
}

func (r *relay) lost() <-chan struct{} { return r.at.s.Done() }

// goOn tells that a non-idempotent call is read to its end though nobody hears it.
func (r *relay) goOn() bool {
	return r.at.d.Claim != nil && r.at.ctx.Err() == nil
}

// checkWhole tells whether a body that ended without an error was whole.
func checkWhole(d *wire.Dispatch, resp *http.Response, tail []byte) error {
	isStream := strings.HasPrefix(resp.Header.Get("Content-Type"), streamType)
	if isStream && isCompletion(d.Path) {
		if !bytes.HasSuffix(bytes.TrimSpace(tail), []byte(streamEnd)) {
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

// send queues m on the attempt's session, also where the attempt's own time is over.
// It waits only while the session's queue is full, and not for long.
func (a *Agent) send(at *attempt, m wire.Message) {
	err := at.s.Post(m)
	if errors.Is(err, peer.ErrBusy) {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		err = at.s.Send(ctx, m)
	}
	if err != nil {
		a.counters.unreported.Inc(1)
	}
}

func fields(h http.Header) []wire.Field {
	out := make([]wire.Field, 0, len(h))
	for name, values := range h {
		for _, v := range values {
			out = append(out, wire.Field{Name: name, Value: v})
		}
	}
	return out
}
