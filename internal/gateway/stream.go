package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/dispatch"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/sse"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// streamBufferBytes is enough for the events that usually arrive together.
const streamBufferBytes = 4 << 10

// relay forwards the events of a stream to the caller, from one upstream after the other if the
// stream is resumed.
type relay struct {
	c *call
	// reserved is the reservation of the attempt whose events are forwarded.
	reserved *reservation
	// last is the id of the last event that the caller has received; 0 means none. Ids increase
	// by 1.
	last uint64
	// hasID reports that last is known.
	hasID bool
	// isHeaderSent is set once the response header was sent to the caller.
	isHeaderSent bool
	buffer       []byte
	// firstEventDelay is the time from the start of the request to its first event, and eventGap
	// the longest gap between events after that. lastEventAt is when the last event was forwarded.
	firstEventDelay, eventGap time.Duration
	lastEventAt               time.Time
}

// minTimeForMove is the least time before the deadline in which a stream is moved away from a
// slow engine. The rest of an answer takes about as long.
const minTimeForMove = 2 * time.Second

// canMove reports whether the stream can be resumed at another engine after its first event.
func (r *relay) canMove() bool {
	c := r.c
	return c.route.IsResumable && r.hasID && c.route.AllowsRetry() && c.attempts-c.misdirected < c.route.AttemptLimit &&
		c.quarantineVerdict != quarantine.Suspect
}

// errOutOfOrder reports that the events of an upstream do not follow the caller's last event.
var errOutOfOrder = errors.New("event ids are out of order")

// stream forwards a stream. It returns false if nothing was sent to the caller and another
// attempt may be made. Otherwise the caller has the whole response, or the connection is
// aborted.
func (c *call) stream(ctx context.Context, resp *dispatch.Response, reserved *reservation) bool {
	r := &relay{c: c, buffer: make([]byte, streamBufferBytes)}
	if id, err := strconv.ParseUint(c.r.Header.Get(c.g.cfg.Dialect.ResumeHeader), 10, 64); err == nil {
		r.last, r.hasID = id, true
	}
	for {
		r.reserved = reserved
		err := r.copyEvents(resp)
		resp.Close()
		if err == nil {
			reserved.release(outcomeGood)
			c.g.cfg.Quarantine.Answered(c.fingerprint)
			c.g.counts.recordResponse(resp.Status, time.Since(c.began))
			c.log("request answered", "status", resp.Status, "sends", c.attempts, "elapsed_ms", time.Since(c.began).Milliseconds(),
				"event", r.last, "first_ms", r.firstEventDelay.Milliseconds(), "gap_ms", r.eventGap.Milliseconds())
			return true
		}
		c.last = incompleteResponse(ctx, err)
		var callerErr *callerError
		if errors.As(err, &callerErr) {
			c.abandon(reserved, r.last, err)
		}
		if reserved.isMoved() {
			c.hasRetry = true
			reserved.release(outcomeNeutral)
			c.log("stream leaves a slow engine", "upstream", reserved.ID(), "event", r.last)
		} else {
			reserved.release(outcomeOfError(ctx, c.last))
			c.warn("stream broke off", "send", c.attempts, "event", r.last, "error", err.Error())
			c.probeAfterFailure(ctx, reserved, c.last)
		}
		if !r.isHeaderSent {
			return false
		}
		var ok bool
		if resp, reserved, ok = r.resume(ctx); !ok {
			// The connection is aborted so that the caller does not take a truncated stream for
			// a complete one.
			c.g.counts.streamsInterrupted.Inc(1)
			c.warn("stream cut", "send", c.attempts, "event", r.last, "reason", c.last.Error())
			panic(http.ErrAbortHandler)
		}
		c.g.counts.streamsResumed.Inc(1)
		c.log("stream resumed", "send", c.attempts, "event", r.last)
	}
}

// abandon ends a stream whose caller no longer reads it. This says nothing about the upstream.
func (c *call) abandon(reserved *reservation, event uint64, err error) {
	reserved.release(outcomeNeutral)
	c.g.counts.callersGone.Inc(1)
	c.log("caller disconnected", "send", c.attempts, "event", event, "error", err.Error())
	panic(http.ErrAbortHandler)
}

// resume continues the stream at another upstream after the last event that the caller has
// received.
func (r *relay) resume(ctx context.Context) (*dispatch.Response, *reservation, bool) {
	c := r.c
	for c.route.IsResumable && r.hasID && c.mayRetry(ctx) {
		resp, reserved, ok := c.send(ctx, strconv.FormatUint(r.last, 10))
		if !ok {
			continue
		}
		if resp.Status/100 == 2 {
			return resp, reserved, true
		}
		resp.Close()
		reserved.release(outcomeBad)
		c.last = verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "upstream answered "+strconv.Itoa(resp.Status))
	}
	return nil, nil, false
}

// copyEvents forwards the events of one upstream until its stream ends. It returns nil if the
// stream ended properly.
func (r *relay) copyEvents(resp *dispatch.Response) error {
	var events sse.Splitter
	for {
		n, err := resp.Read(r.buffer)
		events.Write(r.buffer[:n])
		if n > 0 {
			if writeErr := r.forward(resp, &events); writeErr != nil {
				return writeErr
			}
		}
		switch {
		case err == io.EOF && len(events.Incomplete()) == 0:
			r.sendHeader(resp)
			return nil
		case err == io.EOF:
			return errors.New("the stream ended within an event")
		case err != nil:
			return err
		}
	}
}

// forward sends the buffered complete events to the caller and flushes them together.
func (r *relay) forward(resp *dispatch.Response, events *sse.Splitter) error {
	sent := false
	for event := events.Next(); event != nil; event = events.Next() {
		ok, err := r.isNextEvent(event)
		if err != nil {
			return err
		}
		if !ok {
			continue
		}
		r.sendHeader(resp)
		if _, err := r.c.w.Write(event); err != nil {
			return &callerError{err}
		}
		sent = true
	}
	if !sent {
		return nil
	}
	r.recordTiming(time.Now())
	if err := http.NewResponseController(r.c.w).Flush(); err != nil {
		return &callerError{err}
	}
	return nil
}

// callerError reports that writing to the caller failed.
type callerError struct{ error }

// Unwrap returns the cause.
func (e *callerError) Unwrap() error { return e.error }

// recordTiming measures the delay of the first event and the gaps between events.
func (r *relay) recordTiming(now time.Time) {
	if r.lastEventAt.IsZero() {
		r.firstEventDelay = now.Sub(r.c.began)
		r.reserved.recordFirstEvent()
		if r.canMove() {
			r.c.g.allowMove(r.reserved, r.c.deadline.Add(-minTimeForMove))
		}
	} else {
		interval := now.Sub(r.lastEventAt)
		r.eventGap = max(r.eventGap, interval)
		r.c.g.counts.eventGap.Add(interval)
		r.reserved.recordEventGap(interval)
	}
	r.lastEventAt = now
}

// isNextEvent reports whether an event is to be forwarded. Events that the caller already has
// are skipped, and a gap in the ids is an error.
func (r *relay) isNextEvent(event []byte) (bool, error) {
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

// sendHeader sends the response header of the first upstream, once per stream.
func (r *relay) sendHeader(resp *dispatch.Response) {
	if r.isHeaderSent {
		return
	}
	r.isHeaderSent = true
	r.c.copyHeader(resp)
	r.c.w.WriteHeader(resp.Status)
	r.c.g.counts.firstEvent.AddSince(r.c.began)
}
