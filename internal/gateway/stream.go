package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/dispatch"
	"github.com/sassafraspost/sassafraspost/internal/sse"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// streamBuffer holds the events that come at once.
const streamBuffer = 4 << 10

// relay passes a stream's events on, over one upstream after the other.
type relay struct {
	c *call
	// hold is that of the attempt whose events are passed on.
	hold *ticket
	// last is the id of the last event that the caller has; 0 is none. Ids grow by 1.
	last uint64
	// hasID tells that last is known.
	hasID bool
	// isBegun tells that the answer's head is sent.
	isBegun bool
	buffer  []byte
	// first is when the first event went to the caller, gap the longest pause after it;
	// at is when the last one did.
	first, gap time.Duration
	at         time.Time
}

// errOutOfOrder tells that an upstream's events do not follow the last one.
var errOutOfOrder = errors.New("events out of order")

// stream passes a stream on. It reports whether the caller has its answer, or what there
// is of it; false only where nothing was sent and another attempt may be made.
func (c *call) stream(ctx context.Context, a *dispatch.Response, hold *ticket) bool {
	r := &relay{c: c, buffer: make([]byte, streamBuffer)}
	if id, err := strconv.ParseUint(c.r.Header.Get(c.g.cfg.Dialect.ResumeHeader), 10, 64); err == nil {
		r.last, r.hasID = id, true
	}
	for {
		r.hold = hold
		err := r.pass(a)
		a.Close()
		if err == nil {
			hold.end(outcomeGood)
			c.g.cfg.Quarantine.Answered(c.fingerprint)
			c.g.counts.answered(a.Status, time.Since(c.began))
			c.log("request answered", "status", a.Status, "sends", c.sends, "elapsed_ms", time.Since(c.began).Milliseconds(),
				"event", r.last, "first_ms", r.first.Milliseconds(), "gap_ms", r.gap.Milliseconds())
			return true
		}
		c.last = broken(ctx, err)
		var gone *callerError
		if errors.As(err, &gone) {
			c.leave(hold, r.last, err)
		}
		hold.end(judge(ctx, c.last))
		c.warn("stream broke off", "send", c.sends, "event", r.last, "error", err.Error())
		c.look(ctx, hold, c.last)
		if !r.isBegun {
			return false
		}
		var ok bool
		if a, hold, ok = r.resume(ctx); !ok {
			// The caller must not take what it has for the whole.
			c.g.counts.streamsCut.Inc(1)
			c.warn("stream cut", "send", c.sends, "event", r.last, "reason", c.last.Error())
			panic(http.ErrAbortHandler)
		}
		c.g.counts.streamsResumed.Inc(1)
		c.log("stream resumed", "send", c.sends, "event", r.last)
	}
}

// leave ends a stream whose caller takes nothing any more. That says nothing of the upstream.
func (c *call) leave(hold *ticket, event uint64, err error) {
	hold.end(outcomeNeutral)
	c.g.counts.callersGone.Inc(1)
	c.log("caller is gone", "send", c.sends, "event", event, "error", err.Error())
	panic(http.ErrAbortHandler)
}

// resume goes on at another upstream after the last event that the caller has.
func (r *relay) resume(ctx context.Context) (*dispatch.Response, *ticket, bool) {
	c := r.c
	for c.route.IsResumable && r.hasID && c.mayGoOn(ctx) {
		a, hold, ok := c.send(ctx, strconv.FormatUint(r.last, 10))
		if !ok {
			continue
		}
		if a.Status/100 == 2 {
			return a, hold, true
		}
		a.Close()
		hold.end(outcomeBad)
		c.last = verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "upstream answered "+strconv.Itoa(a.Status))
	}
	return nil, nil, false
}

// pass passes on the events of one upstream until its stream ends. It returns nil where
// the stream came to its own end.
func (r *relay) pass(a *dispatch.Response) error {
	var events sse.Splitter
	for {
		n, err := a.Read(r.buffer)
		events.Write(r.buffer[:n])
		if n > 0 {
			if werr := r.forward(a, &events); werr != nil {
				return werr
			}
		}
		switch {
		case err == io.EOF && len(events.Incomplete()) == 0:
			r.begin(a)
			return nil
		case err == io.EOF:
			return errors.New("the stream ended within an event")
		case err != nil:
			return err
		}
	}
}

// forward sends the whole events to the caller at once.
func (r *relay) forward(a *dispatch.Response, events *sse.Splitter) error {
	sent := false
	for event := events.Next(); event != nil; event = events.Next() {
		ok, err := r.accept(event)
		if err != nil {
			return err
		}
		if !ok {
			continue
		}
		r.begin(a)
		if _, err := r.c.w.Write(event); err != nil {
			return &callerError{err}
		}
		sent = true
	}
	if !sent {
		return nil
	}
	r.clock(time.Now())
	if err := http.NewResponseController(r.c.w).Flush(); err != nil {
		return &callerError{err}
	}
	return nil
}

// callerError tells that the caller takes nothing any more.
type callerError struct{ error }

// Unwrap returns the cause.
func (e *callerError) Unwrap() error { return e.error }

// clock measures the pauses between events.
func (r *relay) clock(now time.Time) {
	if r.at.IsZero() {
		r.first = now.Sub(r.c.began)
		r.hold.begun()
	} else {
		pause := now.Sub(r.at)
		r.gap = max(r.gap, pause)
		r.c.g.counts.gap.Add(pause)
		r.hold.paused(pause)
	}
	r.at = now
}

// accept reports whether an event is the next one. One that the caller has already is
// left out; a gap is an error.
func (r *relay) accept(event []byte) (bool, error) {
	text := sse.ID(event)
	if text == "" {
		return true, nil
	}
	id, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return true, nil
	}
	switch {
	case r.hasID && id <= r.last:
		return false, nil
	case r.hasID && id != r.last+1:
		return false, errOutOfOrder
	}
	r.last, r.hasID = id, true
	return true, nil
}

// begin sends the head of the first upstream's answer.
func (r *relay) begin(a *dispatch.Response) {
	if r.isBegun {
		return
	}
	r.isBegun = true
	r.c.copyHead(a)
	r.c.w.WriteHeader(a.Status)
	r.c.g.counts.firstEvent.AddSince(r.c.began)
}
