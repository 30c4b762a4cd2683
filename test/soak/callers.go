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
	// streamTokens is how long the streams of callers are.
	streamTokens = 30
	// requestTimeout is for how long a caller waits for an answer.
	requestTimeout = 15 * time.Second
	// aftermathTime is for how long after an unplanned fault requests may be lost by it: leases
	// and calls that were on their way have ended by then.
	aftermathTime = 5 * time.Second
	// maxBookingAttempts is how often a caller asks again for the outcome of a booking.
	maxBookingAttempts = 20
	// retryPause is the pause after a request that was not served.
	retryPause = 50 * time.Millisecond
)

// callerPool ask until they are stopped. Each keeps its connection to one entry host open for as
// long as that host answers, also while it shuts down.
type callerPool struct {
	s    *local.System
	r    *record
	stop chan struct{}
	wg   sync.WaitGroup

	mu sync.Mutex
	// notRun are the ids and keys that were told not to have run; lost are the requests that
	// were cut in a calm time; booked are the keys with an answer.
	notRun, confirmed map[string]bool
	interrupted       map[string]string
}

func newCallerPool(s *local.System, r *record) *callerPool {
	return &callerPool{s: s, r: r, stop: make(chan struct{}), notRun: map[string]bool{}, confirmed: map[string]bool{}, interrupted: map[string]string{}}
}

// startCallers starts size times the callers of each kind.
func startCallers(ctx context.Context, size int, s *local.System, r *record) *callerPool {
	c := newCallerPool(s, r)
	for n := range size * (streamCallers + bookingCallers + racingCallers) {
		ask := c.stream
		switch {
		case n >= size*(streamCallers+bookingCallers):
			ask = c.bookTwice
		case n >= size*streamCallers:
			ask = c.book
		}
		c.wg.Go(func() { c.run(ctx, n, ask) })
	}
	return c
}

// stopAndWait stops the callers and waits for their last answers.
func (c *callerPool) stopAndWait() {
	close(c.stop)
	c.wg.Wait()
}

// caller is one of them, at an entry host.
type caller struct {
	name       string
	client     *http.Client
	entryIndex int
	// isRacing tells that another caller asks for the same: what was not run by this one may
	// have been by that one.
	isRacing bool
}

// run asks one request after the other. A caller whose host does not answer goes to the next.
func (c *callerPool) run(ctx context.Context, n int, ask func(context.Context, *caller, string) bool) {
	me := &caller{name: fmt.Sprintf("caller-%d", n), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}, entryIndex: n}
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		case <-ctx.Done():
			return
		default:
		}
		if !ask(ctx, me, fmt.Sprintf("%s-request-%d", me.name, i)) {
			me.entryIndex++
			<-time.After(retryPause)
		}
	}
}

// send sends a request to the caller's entry host.
func (c *callerPool) send(ctx context.Context, me *caller, q local.Request) local.Answer {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	e := c.s.Entries[me.entryIndex%len(c.s.Entries)]
	return local.DoBy(ctx, me.client, e.Listen, q)
}

// stream asks for a streamed completion. It returns whether it was answered whole.
func (c *callerPool) stream(ctx context.Context, me *caller, id string) bool {
	q := local.Completion(id, streamTokens, true)
	q.ID = id
	sent := time.Now()
	a := c.send(ctx, me, q)
	switch {
	case a.Err != nil:
		c.r.count("connections broken")
		c.noteInterrupted(id, sent, a)
	case a.Status == http.StatusOK && a.Body == strings.Join(standin.Stream(id, streamTokens), ""):
		c.r.count("streams whole")
		return true
	case a.Status == http.StatusOK:
		c.r.addViolation(CompleteResponse, "stream %s: status 200 with %d bytes that are not its answer: %.200q", id, len(a.Body), a.Body)
	default:
		c.noteFailure("streams", id, sent, a)
	}
	return false
}

// bookTwice makes one booking through two entry hosts at once.
func (c *callerPool) bookTwice(ctx context.Context, me *caller, key string) bool {
	one := &caller{client: me.client, entryIndex: me.entryIndex, isRacing: true}
	other := &caller{client: me.client, entryIndex: me.entryIndex + 1, isRacing: true}
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { c.book(ctx, other, key) })
	return c.book(ctx, one, key)
}

// book makes a booking, and asks for its outcome until that is known.
func (c *callerPool) book(ctx context.Context, me *caller, key string) bool {
	q := local.Booking(key, "rider of "+key)
	began := time.Now()
	for try := range maxBookingAttempts {
		a := c.send(ctx, me, q)
		switch {
		case a.Err != nil:
			c.r.count("connections broken")
		case a.Status == http.StatusCreated && strings.Contains(a.Body, `"rider of `+key+`"`):
			c.r.count("bookings made")
			c.addID(c.confirmed, key)
			return true
		case a.Status == http.StatusCreated:
			c.r.addViolation(CompleteResponse, "booking %s: the answer to another one: %.200q", key, a.Body)
		case a.Verdict == verdict.NotRun && try == 0 && !me.isRacing:
			c.noteFailure("bookings", key, began, a)
			return false
		case strings.Contains(a.Body, `"conflict"`):
			c.r.count("bookings unknown for good")
			c.noteInterrupted(key, began, a)
			return false
		}
		select {
		case <-c.stop:
			return false
		case <-time.After(retryPause):
		}
		me.entryIndex++
	}
	c.r.count("bookings given up")
	return false
}

// noteFailure notes a failure that the system told of. What may have run is as good as cut.
func (c *callerPool) noteFailure(what, id string, sent time.Time, a local.Answer) {
	c.checkNotQuarantined(id, a)
	if a.Verdict != verdict.NotRun {
		c.r.count(what + " failed")
		c.noteInterrupted(id, sent, a)
		return
	}
	c.r.count(what + " refused")
	c.addID(c.notRun, id)
}

// noteInterrupted notes a request whose answer broke off, never came or never will, if that was in a calm
// time.
func (c *callerPool) noteInterrupted(id string, sent time.Time, a local.Answer) {
	if !c.r.isCalm(sent, time.Now(), aftermathTime) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted[id] = fmt.Sprintf("after %s, status %d, %.200s: %v", time.Since(sent).Round(time.Millisecond), a.Status, a.Body, a.Err)
}

func (c *callerPool) addID(in map[string]bool, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	in[id] = true
}
