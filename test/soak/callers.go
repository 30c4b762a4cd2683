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
	// tokens is how long the streams of callers are.
	tokens = 30
	// patience is for how long a caller waits for an answer.
	patience = 15 * time.Second
	// aftermath is for how long after an unplanned fault requests may be lost by it: leases
	// and calls that were on their way have ended by then.
	aftermath = 5 * time.Second
	// resends is how often a caller asks again for the outcome of a booking.
	resends = 20
	// breath is the pause after a request that was not served.
	breath = 50 * time.Millisecond
)

// callers ask until they are stopped. Each keeps its connection to one entry host open for as
// long as that host answers, also while it shuts down.
type callers struct {
	s    *local.System
	r    *record
	stop chan struct{}
	wg   sync.WaitGroup

	mu sync.Mutex
	// refused are the ids and keys that were told not to have run; lost are the requests that
	// were cut in a calm time; booked are the keys with an answer.
	refused, booked map[string]bool
	lost            map[string]string
}

func newCallers(s *local.System, r *record) *callers {
	return &callers{s: s, r: r, stop: make(chan struct{}), refused: map[string]bool{}, booked: map[string]bool{}, lost: map[string]string{}}
}

// startCallers starts size times the callers of each kind.
func startCallers(ctx context.Context, size int, s *local.System, r *record) *callers {
	c := newCallers(s, r)
	for n := range size * (streamCallers + bookCallers + racers) {
		ask := c.stream
		switch {
		case n >= size*(streamCallers+bookCallers):
			ask = c.race
		case n >= size*streamCallers:
			ask = c.book
		}
		c.wg.Go(func() { c.run(ctx, n, ask) })
	}
	return c
}

// end stops the callers and waits for their last answers.
func (c *callers) end() {
	close(c.stop)
	c.wg.Wait()
}

// caller is one of them, at an entry host.
type caller struct {
	name   string
	client *http.Client
	at     int
	// isRacing tells that another caller asks for the same: what was not run by this one may
	// have been by that one.
	isRacing bool
}

// run asks one request after the other. A caller whose host does not answer goes to the next.
func (c *callers) run(ctx context.Context, n int, ask func(context.Context, *caller, string) bool) {
	me := &caller{name: fmt.Sprintf("caller-%d", n), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}, at: n}
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		case <-ctx.Done():
			return
		default:
		}
		if !ask(ctx, me, fmt.Sprintf("%s-request-%d", me.name, i)) {
			me.at++
			<-time.After(breath)
		}
	}
}

// do sends a request to the caller's entry host.
func (c *callers) do(ctx context.Context, me *caller, q local.Request) local.Response {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	e := c.s.Entries[me.at%len(c.s.Entries)]
	return local.DoWithClient(ctx, me.client, e.ListenAddress, q)
}

// stream asks for a streamed completion. It returns whether it was answered whole.
func (c *callers) stream(ctx context.Context, me *caller, id string) bool {
	q := local.CompletionRequest(id, tokens, true)
	q.ID = id
	sent := time.Now()
	a := c.do(ctx, me, q)
	switch {
	case a.Err != nil:
		c.r.count("connections broken")
		c.lose(id, sent, a)
	case a.Status == http.StatusOK && a.Body == strings.Join(standin.Stream(id, tokens), ""):
		c.r.count("streams whole")
		return true
	case a.Status == http.StatusOK:
		c.r.fail(Whole, "stream %s: status 200 with %d bytes that are not its answer: %.200q", id, len(a.Body), a.Body)
	default:
		c.failed("streams", id, sent, a)
	}
	return false
}

// race makes one booking through two entry hosts at once.
func (c *callers) race(ctx context.Context, me *caller, key string) bool {
	one := &caller{client: me.client, at: me.at, isRacing: true}
	other := &caller{client: me.client, at: me.at + 1, isRacing: true}
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { c.book(ctx, other, key) })
	return c.book(ctx, one, key)
}

// book makes a booking, and asks for its outcome until that is known.
func (c *callers) book(ctx context.Context, me *caller, key string) bool {
	q := local.BookingRequest(key, "rider of "+key)
	began := time.Now()
	for try := range resends {
		a := c.do(ctx, me, q)
		switch {
		case a.Err != nil:
			c.r.count("connections broken")
		case a.Status == http.StatusCreated && strings.Contains(a.Body, `"rider of `+key+`"`):
			c.r.count("bookings made")
			c.note(c.booked, key)
			return true
		case a.Status == http.StatusCreated:
			c.r.fail(Whole, "booking %s: the answer to another one: %.200q", key, a.Body)
		case a.Verdict == verdict.NotRun && try == 0 && !me.isRacing:
			c.failed("bookings", key, began, a)
			return false
		case strings.Contains(a.Body, `"conflict"`):
			c.r.count("bookings unknown for good")
			c.lose(key, began, a)
			return false
		}
		select {
		case <-c.stop:
			return false
		case <-time.After(breath):
		}
		me.at++
	}
	c.r.count("bookings given up")
	return false
}

// failed notes a failure that the system told of. What may have run is as good as cut.
func (c *callers) failed(what, id string, sent time.Time, a local.Response) {
	c.noteHeld(id, a)
	if a.Verdict != verdict.NotRun {
		c.r.count(what + " failed")
		c.lose(id, sent, a)
		return
	}
	c.r.count(what + " refused")
	c.note(c.refused, id)
}

// lose notes a request whose answer broke off, never came or never will, if that was in a calm
// time.
func (c *callers) lose(id string, sent time.Time, a local.Response) {
	if !c.r.isCalm(sent, time.Now(), aftermath) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost[id] = fmt.Sprintf("after %s, status %d, %.200s: %v", time.Since(sent).Round(time.Millisecond), a.Status, a.Body, a.Err)
}

func (c *callers) note(in map[string]bool, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	in[id] = true
}
