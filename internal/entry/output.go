package entry

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/answer"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// errTooLarge means that a response that must be buffered completely exceeds the buffer limit.
var errTooLarge = verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "answer is too large to be held until it is whole")

// output writes the response to the caller. It buffers the response as far as it can, so that the
// caller sees nothing of an attempt that breaks off.
type output struct {
	c *call
	// bufferLimit is how many body bytes may be buffered before the response begins. It is zero
	// for streams.
	bufferLimit int
	// mustBeComplete is set if the response must not begin before it is complete.
	mustBeComplete bool

	head     *wire.Head
	buffered []byte
	// hasBegun is set once the response header was written to the caller.
	hasBegun bool
	// isCallerGone is set once writing to the caller has failed.
	isCallerGone bool
	// delivered counts the body bytes written to the caller.
	delivered uint64
}

func newOutput(c *call) *output {
	o := &output{c: c, bufferLimit: c.s.cfg.MaxResponse, mustBeComplete: !c.plan.Idempotent}
	if c.plan.Idempotent && c.req.completion.Stream {
		o.bufferLimit = 0
	}
	return o
}

// canContinue reports whether another attempt could complete the response.
func (o *output) canContinue() bool {
	return !o.isCallerGone && (!o.hasBegun || o.c.plan.Resumable)
}

// offset is the body offset at which the next attempt has to start.
func (o *output) offset() uint64 { return o.delivered }

// acceptHead starts the response of an attempt and discards what was buffered of an earlier one.
// If the response to the caller has begun, the status of the resumed one must be the same.
func (o *output) acceptHead(h *wire.Head) error {
	if o.hasBegun && h.Status != o.head.Status {
		return verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "resumed answer has another status")
	}
	if !o.hasBegun {
		o.head = h
	}
	o.buffered = o.buffered[:0]
	return nil
}

// write buffers a part of the body, or writes it to the caller if no more may be buffered.
func (o *output) write(data []byte) error {
	if !o.hasBegun && len(o.buffered)+len(data) <= o.bufferLimit && o.mayBuffer(len(data)) {
		o.buffered = append(o.buffered, data...)
		return nil
	}
	if o.mustBeComplete {
		return errTooLarge
	}
	o.beginResponse()
	if err := o.flushBuffered(); err != nil {
		return err
	}
	return o.deliver(data)
}

// mayBuffer reports whether the memory budget allows buffering n more bytes. For a response that
// must be complete before it begins, the memory was reserved before the body was read.
func (o *output) mayBuffer(n int) bool {
	return o.mustBeComplete || o.c.takeResponse(int64(n))
}

func (o *output) flushBuffered() error {
	if len(o.buffered) == 0 {
		return nil
	}
	data := o.buffered
	o.buffered = nil
	return o.deliver(data)
}

// errTruncated means that a response ended without a transport error, but its JSON is incomplete.
var errTruncated = verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "answer is not a whole JSON text")

// isTruncated reports whether a buffered response to a completion call is incomplete, which means
// that it is empty or that its media type is JSON and it does not parse. The end of a stream is
// checked by the agent.
func (o *output) isTruncated() bool {
	if o.hasBegun || !o.c.req.isCompletion() || o.head.Status != http.StatusOK {
		return false
	}
	if len(o.buffered) == 0 {
		return true
	}
	isJSON := slices.ContainsFunc(o.head.Header, func(f wire.Field) bool {
		return f.Name == "Content-Type" && strings.HasPrefix(f.Value, "application/json")
	})
	return isJSON && !json.Valid(o.buffered)
}

// finish writes the rest of a response after its last byte has arrived. It returns errTruncated,
// without having written anything, or the error of writing to the caller.
func (o *output) finish() error {
	if o.isTruncated() {
		return errTruncated
	}
	if !o.hasBegun {
		o.c.w.Header().Set("Content-Length", strconv.Itoa(len(o.buffered)))
		if !bodyAllowed(o.c.req.method, o.head.Status) {
			o.c.w.Header().Del("Content-Length")
			o.buffered = nil
		}
	}
	o.beginResponse()
	return o.flushBuffered()
}

// bodyAllowed reports whether HTTP allows a body in the response.
func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// beginResponse writes the response header, once.
func (o *output) beginResponse() {
	if o.hasBegun {
		return
	}
	o.hasBegun = true
	addFields(o.c.w.Header(), o.head.Header)
	o.c.writeHead(o.head.Status, verdictOfStatus(o.head.Status))
}

// verdictOfStatus is the verdict on a request to which the upstream responded with the status. With
// a status of 5xx it is unknown how far the upstream ran the request.
func verdictOfStatus(status int) verdict.Verdict {
	if status >= http.StatusInternalServerError {
		return verdict.MayHaveRun
	}
	return verdict.Ran
}

// deliver writes data to the caller and flushes it. It fails if the caller does not read for
// Config.WriteTimeout.
func (o *output) deliver(data []byte) error {
	rc := http.NewResponseController(o.c.w)
	_ = rc.SetWriteDeadline(time.Now().Add(o.c.s.cfg.WriteTimeout))
	n, err := o.c.w.Write(data)
	o.delivered += uint64(n)
	if err == nil {
		err = rc.Flush()
	}
	if err != nil {
		o.isCallerGone = true
		return &verdict.Error{Verdict: verdict.Ran, Code: verdict.CodeCancelled, Text: "caller takes no more", Cause: err}
	}
	return nil
}

// recordedResponse returns a complete response in the form in which it is recorded under its
// idempotency key, or nil if it can't be recorded, as with a body of more than limit bytes.
func (o *output) recordedResponse(limit int) *wire.Response {
	if len(o.buffered) > limit {
		return nil
	}
	return answer.Recorded(o.head.Status, o.head.Header, slices.Clone(o.buffered))
}
