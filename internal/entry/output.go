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
	// hold is how many bytes are held back until the answer is whole; a stream has none.
	hold int
	// whole tells that nothing is ever written before the answer is whole.
	whole bool

	head  *wire.Head
	held  []byte
	begun bool
	// lost tells that the caller takes no more.
	lost bool
	// delivered counts the body bytes written to the caller.
	delivered uint64
}

func newOutput(c *call) *output {
	o := &output{c: c, hold: c.s.cfg.MaxResponse, whole: !c.plan.Idempotent}
	if c.plan.Idempotent && c.q.completion.Stream {
		o.hold = 0
	}
	return o
}

// canGoOn tells whether another attempt can make the answer whole.
func (o *output) canGoOn() bool {
	return !o.lost && (!o.begun || o.c.plan.Resumable)
}

// offset is where the next attempt has to begin.
func (o *output) offset() uint64 { return o.delivered }

// start takes the head of an attempt. After a resumed start the head has to be the
// same kind of answer.
func (o *output) start(h *wire.Head) error {
	if o.begun && h.Status != o.head.Status {
		return verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "resumed answer has another status")
	}
	if !o.begun {
		o.head = h
	}
	o.held = o.held[:0]
	return nil
}

// write adds a piece of the body.
func (o *output) write(data []byte) error {
	if !o.begun && len(o.held)+len(data) <= o.hold && o.mayHold(len(data)) {
		o.held = append(o.held, data...)
		return nil
	}
	if o.whole {
		return errTooLarge
	}
	o.begin()
	if err := o.flushHeld(); err != nil {
		return err
	}
	return o.deliver(data)
}

// mayHold tells whether n more bytes may be held back. An answer that has to be
// whole has its share from the start.
func (o *output) mayHold(n int) bool {
	return o.whole || o.c.held.grow(int64(n))
}

func (o *output) flushHeld() error {
	if len(o.held) == 0 {
		return nil
	}
	held := o.held
	o.held = nil
	return o.deliver(held)
}

// errCutShort tells that an answer ended in good form, but before its own end.
var errCutShort = verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "answer is not a whole JSON text")

// isCutShort tells whether a held answer to a completion call lacks its end: it is
// empty, or is called JSON and is not. The end of a stream is looked at by the agent.
func (o *output) isCutShort() bool {
	if o.begun || !o.c.q.isCompletion() || o.head.Status != http.StatusOK {
		return false
	}
	if len(o.held) == 0 {
		return true
	}
	isJSON := slices.ContainsFunc(o.head.Header, func(f wire.Field) bool {
		return f.Name == "Content-Type" && strings.HasPrefix(f.Value, "application/json")
	})
	return isJSON && !json.Valid(o.held)
}

// finish writes the rest of an answer that came to its end. Its error is errCutShort,
// with nothing written, or that the caller has gone.
func (o *output) finish() error {
	if o.isCutShort() {
		return errCutShort
	}
	if !o.begun {
		o.c.w.Header().Set("Content-Length", strconv.Itoa(len(o.held)))
		if !bodyAllowed(o.c.q.method, o.head.Status) {
			o.c.w.Header().Del("Content-Length")
			o.held = nil
		}
	}
	o.begin()
	return o.flushHeld()
}

func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

func (o *output) begin() {
	if o.begun {
		return
	}
	o.begun = true
	setFields(o.c.w.Header(), o.head.Header)
	o.c.writeHead(o.head.Status, answered(o.head.Status))
}

// answered is the verdict that goes with an upstream's own answer. How far a request
// ran whose upstream says that it failed itself is not known.
func answered(status int) verdict.Verdict {
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
		o.lost = true
		return &verdict.Error{Verdict: verdict.Ran, Code: verdict.CodeCancelled, Text: "caller takes no more", Cause: err}
	}
	return nil
}

// answer is what is recorded of a whole answer; the body is left out over limit bytes.
func (o *output) answer(limit int) *wire.Answer {
	if len(o.held) > limit {
		return nil
	}
	return &wire.Answer{Status: o.head.Status, Header: o.head.Header, Body: slices.Clone(o.held)}
}
