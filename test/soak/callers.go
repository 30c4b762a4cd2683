package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/test/local"
	"github.com/sassafraspost/sassafraspost/test/standin"
)

const (
	// streamTokens is the number of tokens of each streamed completion.
	streamTokens = 30
	// requestTimeout is how long a caller waits for a response.
	requestTimeout = 15 * time.Second
	// faultEffectTime is how long after its end an unplanned fault may still interrupt requests.
	// Leases and calls that were in progress during the fault have ended by then.
	faultEffectTime = 5 * time.Second
	// maxBookingAttempts is how often a caller sends a booking until it knows the outcome.
	maxBookingAttempts = 20
	// retryPause is the pause after a request that failed.
	retryPause = 50 * time.Millisecond
)

// callerPool runs callers, which send requests until they are stopped. Each caller keeps its
// connection to one entry host open as long as its requests succeed, also while that host shuts
// down.
type callerPool struct {
	s    *local.System
	r    *record
	stop chan struct{}
	wg   sync.WaitGroup

	mu sync.Mutex
	// notRun holds the request IDs and keys that failed with the verdict not-run. confirmed
	// holds the keys of confirmed bookings. interrupted holds requests that were interrupted
	// while no unplanned fault could be the cause, each with a description for the report.
	notRun, confirmed map[string]bool
	interrupted       map[string]string
}

func newCallerPool(s *local.System, r *record) *callerPool {
	return &callerPool{s: s, r: r, stop: make(chan struct{}), notRun: map[string]bool{}, confirmed: map[string]bool{}, interrupted: map[string]string{}}
}

// startCallers starts the callers of a system of this size: size times as many of each kind as at
// size 1.
func startCallers(ctx context.Context, size int, s *local.System, r *record) *callerPool {
	c := newCallerPool(s, r)
	for n := range size * (streamCallers + bookingCallers + racingCallers) {
		request := c.stream
		switch {
		case n >= size*(streamCallers+bookingCallers):
			request = c.bookTwice
		case n >= size*streamCallers:
			request = c.book
		}
		c.wg.Go(func() { c.run(ctx, n, request) })
	}
	return c
}

// stopAndWait stops the callers and waits for the responses to their last requests.
func (c *callerPool) stopAndWait() {
	close(c.stop)
	c.wg.Wait()
}

// caller sends requests to one entry host at a time, that with index entryIndex modulo the number
// of entry hosts.
type caller struct {
	name       string
	client     *http.Client
	entryIndex int
	// isRacing tells that another caller sends the same booking. If the booking did not run for
	// this caller, it may still have run for the other one.
	isRacing bool
}

// run sends one request after the other. After a failed request the caller goes on with the next
// entry host.
func (c *callerPool) run(ctx context.Context, number int, request func(context.Context, *caller, string) bool) {
	cl := &caller{name: fmt.Sprintf("caller-%d", number), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}, entryIndex: number}
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		case <-ctx.Done():
			return
		default:
		}
		if !request(ctx, cl, fmt.Sprintf("%s-request-%d", cl.name, i)) {
			cl.entryIndex++
			<-time.After(retryPause)
		}
	}
}

// send sends a request to the caller's entry host.
func (c *callerPool) send(ctx context.Context, cl *caller, q local.Request) local.Response {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	entry := c.s.Entries[cl.entryIndex%len(c.s.Entries)]
	return local.DoWithClient(ctx, cl.client, entry.ListenAddress, q)
}

// stream requests a streamed completion. It returns whether the response was complete.
func (c *callerPool) stream(ctx context.Context, cl *caller, id string) bool {
	q := local.CompletionRequest(id, streamTokens, true)
	q.ID = id
	sent := time.Now()
	answer := c.send(ctx, cl, q)
	switch {
	case answer.Err != nil:
		c.r.count("connections broken")
		c.noteInterrupted(id, sent, answer)
	case answer.Status == http.StatusOK && answer.Body == strings.Join(standin.Stream(id, streamTokens), ""):
		c.r.count("streams whole")
		return true
	case answer.Status == http.StatusOK:
		c.r.addViolation(CompleteResponse, "stream %s: status 200 with %d bytes that are not its answer: %.200q", id, len(answer.Body), answer.Body)
	default:
		c.noteFailure("streams", id, sent, answer)
	}
	return false
}

// bookTwice sends the same booking to two entry hosts at once.
func (c *callerPool) bookTwice(ctx context.Context, cl *caller, key string) bool {
	first := &caller{client: cl.client, entryIndex: cl.entryIndex, isRacing: true}
	second := &caller{client: cl.client, entryIndex: cl.entryIndex + 1, isRacing: true}
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { c.book(ctx, second, key) })
	return c.book(ctx, first, key)
}

// book sends a booking, and repeats the request with the same key until the outcome is known.
func (c *callerPool) book(ctx context.Context, cl *caller, key string) bool {
	q := local.BookingRequest(key, "rider of "+key)
	start := time.Now()
	for attempt := range maxBookingAttempts {
		answer := c.send(ctx, cl, q)
		switch {
		case answer.Err != nil:
			c.r.count("connections broken")
		case answer.Status == http.StatusCreated && strings.Contains(answer.Body, `"rider of `+key+`"`):
			c.r.count("bookings made")
			c.addID(c.confirmed, key)
			return true
		case answer.Status == http.StatusCreated:
			c.r.addViolation(CompleteResponse, "booking %s: the answer to another one: %.200q", key, answer.Body)
		case answer.Verdict == verdict.NotRun && attempt == 0 && !cl.isRacing:
			c.noteFailure("bookings", key, start, answer)
			return false
		case strings.Contains(answer.Body, `"conflict"`):
			c.r.count("bookings unknown for good")
			c.noteInterrupted(key, start, answer)
			return false
		}
		select {
		case <-c.stop:
			return false
		case <-time.After(retryPause):
		}
		cl.entryIndex++
	}
	c.r.count("bookings given up")
	return false
}

// noteFailure records an error response. A request that may have run counts as interrupted.
func (c *callerPool) noteFailure(what, id string, sent time.Time, answer local.Response) {
	c.checkNotQuarantined(id, answer)
	if answer.Verdict != verdict.NotRun {
		c.r.count(what + " failed")
		c.noteInterrupted(id, sent, answer)
		return
	}
	c.r.count(what + " refused")
	c.addID(c.notRun, id)
}

// noteInterrupted records a request whose response broke off or did not arrive, or whose outcome can
// never be known, unless an unplanned fault may be the cause.
func (c *callerPool) noteInterrupted(id string, sent time.Time, answer local.Response) {
	if !c.r.isUndisturbed(sent, time.Now(), faultEffectTime) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted[id] = fmt.Sprintf("after %s, status %d, %.200s: %v", time.Since(sent).Round(time.Millisecond), answer.Status, answer.Body, answer.Err)
}

func (c *callerPool) addID(ids map[string]bool, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids[id] = true
}
