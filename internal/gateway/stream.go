package gateway

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/dispatch"
	"github.com/sassafraspost/sassafraspost/internal/memory"
	"github.com/sassafraspost/sassafraspost/internal/sse"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// streamBufferBytes is enough for the events that usually arrive together.
const streamBufferBytes = 4 << 10

// relay forwards the events of a stream to the caller, from one upstream after the other if the
// stream is resumed.
//
// One goroutine reads from upstreams and produces the events. At first that is the caller's
// goroutine, which also writes them, so that nothing is passed on between goroutines. If a write to
// the caller takes too long, another goroutine takes over the producing while the first one is still
// writing. From then on events go through a backlog, and the caller's goroutine only writes. All
// fields belong to the producing goroutine, except where stated otherwise.
type relay struct {
	c *call
	// resp is the response whose events are forwarded, reserved the reservation of its attempt.
	resp     *dispatch.Response
	reserved *reservation
	// events splits the response into events. readErr is the reason for reading no further, nil
	// before the end of the response.
	events  sse.Splitter
	readErr error
	// held is how many bytes are counted for an event that is not complete.
	held int
	// last is the id of the last event that the caller has received or will receive from the
	// backlog; 0 means none. Ids increase by 1.
	last uint64
	// hasID reports that last is known.
	hasID bool
	// isHeaderSent is set once the response header was sent to the caller.
	isHeaderSent bool
	// buffer receives what is read, and batch the events that are delivered together.
	buffer, batch []byte
	// watched finds out if a write to the caller takes too long.
	watched *watchedWriter
	// backlog holds the events that wait for the caller; nil as long as the caller keeps up. It is
	// started once, by whichever goroutine needs it first.
	backlog   *backlog
	startOnce sync.Once
	// writeErr is the error of the write during which another goroutine took over. It belongs to
	// the caller's goroutine.
	writeErr error
	// firstEventDelay is the time from the start of the request to its first event, and eventGap
	// the longest gap between events after that. lastEventAt is when the last event was forwarded.
	firstEventDelay, eventGap time.Duration
	lastEventAt               time.Time
	// batches is the number of batches of new events that the present upstream has delivered.
	batches int
}

// minTimeForMove is the least time before the deadline in which a stream is moved away from a
// slow engine. The rest of an answer takes about as long.
const minTimeForMove = 2 * time.Second

// canMove reports whether the stream can be resumed at another engine after its first event.
func (r *relay) canMove() bool {
	c := r.c
	return c.route.IsResumable && r.hasID && c.mayResend()
}

// errOutOfOrder reports that the events of an upstream do not follow the caller's last event.
var errOutOfOrder = errors.New("event ids are out of order")

// errEventTooLong reports that an event of an upstream is longer than sse.MaxEventBytes.
var errEventTooLong = errors.New("an event is too long")

// streamEnd is how a stream has ended.
type streamEnd uint8

const (
	// streamUnanswered means that nothing was sent to the caller, so that another attempt may be made.
	streamUnanswered streamEnd = iota
	// streamComplete means that the caller gets the whole stream.
	streamComplete
	// streamBroken means that the stream has ended early. The caller's connection must be aborted, so
	// that the caller does not take the truncated stream for a complete one.
	streamBroken
	// streamTakenOver means that another goroutine produces the events now.
	streamTakenOver
)

// stream forwards a stream. It returns false if nothing was sent to the caller and another
// attempt may be made. Otherwise the caller has the whole response, or the connection is
// aborted.
func (c *call) stream(ctx context.Context, resp *dispatch.Response, reserved *reservation) bool {
	r := &relay{c: c, resp: resp, reserved: reserved, buffer: make([]byte, streamBufferBytes)}
	if id, err := strconv.ParseUint(c.r.Header.Get(c.g.cfg.Dialect.ResumeHeader), 10, 64); err == nil {
		r.last, r.hasID = id, true
	}
	r.watched = c.g.writes.add(func() { r.takeOver(ctx) })
	defer c.g.writes.remove(r.watched)
	end := r.produce(ctx)
	if end == streamTakenOver {
		end = r.drainBacklog()
	}
	if end == streamBroken {
		panic(http.ErrAbortHandler)
	}
	return end == streamComplete
}

// produce delivers the events of one upstream after the other until the stream has ended or another
// goroutine has taken over.
func (r *relay) produce(ctx context.Context) streamEnd {
	c := r.c
	for {
		err := r.copyEvents(ctx)
		if errors.Is(err, errTakenOver) {
			return streamTakenOver
		}
		r.resp.Close()
		if err == nil {
			r.recordComplete()
			return streamComplete
		}
		if r.backlog != nil {
			// If the caller has left, the reading was cancelled because of that.
			err = cmp.Or(r.backlog.callerFailure(), err)
		}
		c.last = incompleteResponse(ctx, err)
		var callerErr *callerError
		if errors.As(err, &callerErr) {
			// This says nothing about the upstream.
			r.reserved.release(outcomeNeutral)
			c.g.counts.callersGone.Inc(1)
			c.log("caller disconnected", "send", c.attempts, "event", r.last, "error", err.Error())
			return streamBroken
		}
		r.recordIncomplete(ctx, err)
		if !r.isHeaderSent {
			return streamUnanswered
		}
		if !r.resume(ctx) {
			c.g.counts.streamsInterrupted.Inc(1)
			c.warn("stream cut", "send", c.attempts, "event", r.last, "reason", c.last.Error())
			return streamBroken
		}
		c.g.counts.streamsResumed.Inc(1)
		c.log("stream resumed", "send", c.attempts, "event", r.last)
	}
}

// recordComplete ends the attempt of a stream that was read to its end.
func (r *relay) recordComplete() {
	c := r.c
	r.reserved.release(outcomeGood)
	c.recordAnswered(r.resp.Status)
	c.g.drain.recordServiceTime(c.route.Name, time.Since(c.sentAt))
	c.g.counts.recordResponse(r.resp.Status, time.Since(c.began))
	c.log("request answered", "status", r.resp.Status, "sends", c.attempts, "elapsed_ms", time.Since(c.began).Milliseconds(),
		"event", r.last, "first_ms", r.firstEventDelay.Milliseconds(), "gap_ms", r.eventGap.Milliseconds())
}

// recordIncomplete ends the attempt of a stream that broke off with the given error, or that is moved
// to another engine. The caller of the request is still there.
func (r *relay) recordIncomplete(ctx context.Context, err error) {
	c := r.c
	if r.reserved.isMoved() {
		c.takeLeaveRetry(r.reserved)
		r.reserved.release(outcomeNeutral)
		c.log("stream leaves its engine", "upstream", r.reserved.ID(), "event", r.last, "reason", r.reserved.cause().Error())
		return
	}
	r.reserved.release(outcomeOfError(ctx, c.last))
	c.warn("stream broke off", "send", c.attempts, "event", r.last, "error", err.Error())
	c.probeAfterFailure(ctx, r.reserved, c.last)
}

// resume continues the stream at another upstream after the last event that was delivered. It
// returns false if that is not possible.
func (r *relay) resume(ctx context.Context) bool {
	c := r.c
	for c.route.IsResumable && r.hasID && c.mayRetry(ctx) {
		resp, reserved, ok := c.send(ctx, strconv.FormatUint(r.last, 10))
		if !ok {
			continue
		}
		if resp.Status/100 == 2 {
			r.releaseIncomplete()
			r.resp, r.reserved, r.events, r.readErr, r.batches = resp, reserved, sse.Splitter{}, nil, 0
			return true
		}
		resp.Close()
		reserved.release(outcomeBad)
		c.last = verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "upstream answered "+strconv.Itoa(resp.Status))
	}
	return false
}

// copyEvents delivers the events of one upstream until its stream ends. It returns nil if the
// stream ended properly, and errTakenOver if another goroutine continues.
func (r *relay) copyEvents(ctx context.Context) error {
	for {
		if r.readErr == nil {
			var n int
			n, r.readErr = r.resp.Read(r.buffer)
			r.events.Write(r.buffer[:n])
		}
		r.nextBatch()
		if err := r.holdIncomplete(ctx); err != nil {
			return err
		}
		if len(r.batch) > 0 {
			if err := r.deliver(ctx); err != nil {
				return err
			}
		}
		switch {
		case r.readErr == nil:
		case r.readErr != io.EOF:
			return r.readErr
		case len(r.events.Incomplete()) > 0:
			return errors.New("the stream ended within an event")
		case r.resp.EndsByClose && r.batches == 0:
			// The connection of an upstream that crashes before it writes anything ends in the same way.
			return errors.New("the stream ended without an event")
		default:
			r.sendHeader()
			return nil
		}
	}
}

// nextBatch collects the complete events that have been read and are to be delivered. If their
// order is wrong, it sets readErr.
func (r *relay) nextBatch() {
	r.batch = r.batch[:0]
	for event := r.events.Next(); event != nil; event = r.events.Next() {
		ok, err := r.isNextEvent(event)
		if err != nil {
			r.readErr = err
			return
		}
		if ok {
			r.batch = append(r.batch, event...)
		}
	}
}

// holdIncomplete counts the memory of an event that is not complete. An event that is too long is the
// upstream's fault.
func (r *relay) holdIncomplete(ctx context.Context) error {
	n := len(r.events.Incomplete())
	switch {
	case r.events.IsTooLong() && r.readErr == nil:
		r.readErr = errEventTooLong
	case n > max(r.held, streamBufferBytes):
		// The buffer of the event grows to up to twice its length.
		more := 2*n - r.held
		if err := r.hold(ctx, more); err != nil {
			return err
		}
		r.held += more
	case n <= streamBufferBytes:
		r.releaseIncomplete()
	}
	return nil
}

// releaseIncomplete gives back the memory that holdIncomplete has counted.
func (r *relay) releaseIncomplete() {
	if r.held == 0 {
		return
	}
	r.c.memory.Release(memory.Response, int64(r.held))
	r.held = 0
}

// deliver writes the batch to the caller and flushes it, or adds it to the backlog.
func (r *relay) deliver(ctx context.Context) error {
	r.recordTiming(time.Now())
	r.countBatch()
	if r.backlog != nil {
		return r.addToBacklog(ctx)
	}
	r.sendHeader()
	batch := r.batch
	r.watched.begin()
	err := r.write(batch)
	if !r.watched.end() {
		r.writeErr = err
		return errTakenOver
	}
	if err != nil {
		return &callerError{err}
	}
	return nil
}

// write writes events to the caller and flushes them.
func (r *relay) write(events []byte) error {
	if _, err := r.c.w.Write(events); err != nil {
		return err
	}
	return r.c.control.Flush()
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

// countBatch counts a batch of the present upstream. The second one shows that the upstream has begun to
// write on the prompt and has gone on with it.
func (r *relay) countBatch() {
	if r.batches++; r.batches == 2 {
		r.c.g.cfg.Quarantine.AnswerBegan(r.c.content.Parts)
	}
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
func (r *relay) sendHeader() {
	if r.isHeaderSent {
		return
	}
	r.isHeaderSent = true
	_ = r.c.g.drain.enter(r.c, stageAnswered)
	r.c.copyHeader(r.resp)
	r.c.w.WriteHeader(r.resp.Status)
	r.c.g.counts.firstEvent.AddSince(r.c.began)
}
