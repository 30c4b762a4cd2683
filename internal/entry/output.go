package entry

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// errTooLarge tells that an answer is larger than what may be held back.
var errTooLarge = verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "answer is too large to be held until it is whole")

// output is the answer on its way to the caller. It holds the answer back while it
// may, so that a broken attempt leaves no trace.
type output struct {
	c *call
	// bufferLimit is how many bytes are held back until the answer is whole; a stream has none.
	bufferLimit int
	// mustBeWhole tells that nothing is ever written before the answer is whole.
	mustBeWhole bool

	head     *wire.Head
	buffered []byte
	hasBegun bool
	// isCallerGone tells that the caller takes no more.
	isCallerGone bool
	// delivered counts the body bytes written to the caller.
	delivered uint64
}

func newOutput(c *call) *output {
	o := &output{c: c, bufferLimit: c.s.cfg.MaxResponse, mustBeWhole: !c.plan.Idempotent}
	if c.plan.Idempotent && c.req.completion.Stream {
		o.bufferLimit = 0
	}
	return o
}

// canContinue tells whether another attempt can make the answer whole.
func (o *output) canContinue() bool {
	return !o.isCallerGone && (!o.hasBegun || o.c.plan.Resumable)
}

// offset is where the next attempt has to begin.
func (o *output) offset() uint64 { return o.delivered }

// acceptHead takes the head of an attempt. After a resumed start the head has to be the
// same kind of answer.
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

// write adds a piece of the body.
func (o *output) write(data []byte) error {
	if !o.hasBegun && len(o.buffered)+len(data) <= o.bufferLimit && o.mayBuffer(len(data)) {
		o.buffered = append(o.buffered, data...)
		return nil
	}
	if o.mustBeWhole {
		return errTooLarge
	}
	o.beginResponse()
	if err := o.flushBuffered(); err != nil {
		return err
	}
	return o.deliver(data)
}

// mayBuffer tells whether n more bytes may be held back. An answer that has to be
// whole has its share from the start.
func (o *output) mayBuffer(n int) bool {
	return o.mustBeWhole || o.c.reservation.grow(int64(n))
}

func (o *output) flushBuffered() error {
	if len(o.buffered) == 0 {
		return nil
	}
	held := o.buffered
	o.buffered = nil
	return o.deliver(held)
}

// errTruncated tells that an answer ended in good form, but before its own end.
var errTruncated = verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "answer is not a whole JSON text")

// isTruncated tells whether a held answer to a completion call lacks its end: it is
// empty, or is called JSON and is not. The end of a stream is looked at by the agent.
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

// finish writes the rest of an answer that came to its end. Its error is errCutShort,
// with nothing written, or that the caller has gone.
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

func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

func (o *output) beginResponse() {
	if o.hasBegun {
		return
	}
	o.hasBegun = true
	addFields(o.c.w.Header(), o.head.Header)
	o.c.writeHead(o.head.Status, verdictOfStatus(o.head.Status))
}

// verdictOfStatus is the verdict that goes with an upstream's own answer. How far a request
// ran whose upstream says that it failed itself is not known.
func verdictOfStatus(status int) verdict.Verdict {
	if status >= http.StatusInternalServerError {
		return verdict.MayHaveRun
	}
	return verdict.Ran
}

// deliver gives data to the caller at once. A caller that takes nothing for
// Config.WriteTimeout is given up.
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

// recordedAnswer is what is recorded of a whole answer; the body is left out over limit bytes.
func (o *output) recordedAnswer(limit int) *wire.Answer {
	if len(o.buffered) > limit {
		return nil
	}
	return &wire.Answer{Status: o.head.Status, Header: o.head.Header, Body: slices.Clone(o.buffered)}
}
