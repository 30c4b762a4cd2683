package gateway

import (
	"context"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/balance"
	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

const (
	// longestWait is how long a request waits for a place at most. Callers leave a stream
	// that is silent for two seconds.
	longestWait = 1400 * time.Millisecond
	// outageRetryAfter is what callers are told while a group does not serve: it forms
	// anew within seconds, and a caller that comes back sooner would only be refused
	// again.
	outageRetryAfter = 2500 * time.Millisecond
	// fullRetryAfter is what callers are told that have waited for a place in vain.
	fullRetryAfter = 1500 * time.Millisecond
	// priorityStep is by how much a request goes before those of the next lower priority.
	// It is a part of a usual wait, so that none waits for ever behind more urgent ones.
	priorityStep = 100 * time.Millisecond
	// mayReturn is the part of a route's timeout that a caller must have left to be sent
	// away during an outage; one with less time waits here.
	mayReturn = 0.8
)

// waiter is a request that waits for a place at an engine.
type waiter struct {
	tried []string
	// onTime is until when it can begin to be on time.
	onTime time.Duration
	// turn orders those that wait: it is when the request began to wait, later by
	// priorityStep for each rank of its priority.
	turn time.Duration
	// granted gets the place; it has room for one.
	granted chan grant
}

type grant struct {
	upstream registry.Upstream
	hold     *ticket
}

// share returns how many of a service's free places this host may take at once: all
// hosts see the same ones. The caller holds mu.
func (g *Gateway) share(name string, s *service) int {
	part := g.free(name, s) / float64(g.hosts.Load())
	n := int(part)
	if draw() < part-float64(n) {
		n++
	}
	return n
}

// which tells which waiters may take a place.
type which bool

const (
	// onTimeOnly leaves a place that has just become free to the requests of other hosts
	// rather than to one that is late anyway.
	onTimeOnly which = false
	anyWaiter  which = true
)

// pump gives up to n places to requests that wait: first to those that can still be on
// time, in their order. The caller holds mu.
func (g *Gateway) pump(name string, s *service, n int, who which) {
	for ; n > 0 && len(s.waiters) > 0 && !g.isClosed(name); n-- {
		i, isOnTime := s.first(g.now())
		if !isOnTime && who == onTimeOnly {
			return
		}
		w := s.waiters[i]
		u, hold, ok := g.place(name, s, w.tried)
		if !ok {
			return
		}
		s.waiters = append(s.waiters[:i], s.waiters[i+1:]...)
		w.granted <- grant{u, hold}
	}
}

// first returns the waiter that is served next, and whether it can be on time. There has
// to be one.
func (s *service) first(now time.Duration) (int, bool) {
	next := 0
	for i, w := range s.waiters {
		if w.isBefore(s.waiters[next], now) {
			next = i
		}
	}
	return next, now < s.waiters[next].onTime
}

// isBefore reports whether w is served before o: those that can be on time go first, then
// it is their turns that count.
func (w *waiter) isBefore(o *waiter, now time.Duration) bool {
	if isOnTime := now < w.onTime; isOnTime != (now < o.onTime) {
		return isOnTime
	}
	return w.turn < o.turn
}

// place takes a place at the engine with the fewest requests, if it has one free. The
// caller holds mu.
func (g *Gateway) place(name string, s *service, tried []string) (registry.Upstream, *ticket, bool) {
	now := g.now()
	u, ok := g.pick(name, tried)
	if !ok || g.taken(&u, now) >= float64(g.placesAt(s, &u, g.leastPace(name, now), now)) {
		return registry.Upstream{}, nil, false
	}
	return u, g.hold(&u), true
}

// await takes a place at an engine, and waits for one where there is none. Errors are
// *verdict.Error, always NotRun.
func (c *call) await(ctx context.Context, e *routetable.Engine) (registry.Upstream, *ticket, error) {
	g, name := c.g, c.service.Name
	g.mu.Lock()
	s := g.service(name)
	s.places, s.engine = balance.Places(e, c.route.Gap), e
	isClosed := g.isClosed(name)
	if len(g.serving[name]) == 0 || isClosed && c.mayReturn() {
		c.logRefusal(s)
		g.mu.Unlock()
		return registry.Upstream{}, nil, refuse("the group does not serve", outageRetryAfter)
	}
	if !isClosed && len(s.waiters) == 0 {
		if u, hold, ok := g.place(name, s, c.tried); ok {
			g.mu.Unlock()
			return u, hold, nil
		}
	}
	w := &waiter{tried: c.tried, granted: make(chan grant, 1), turn: g.now() + priorityStep*time.Duration(c.priority)}
	w.onTime = c.began.Add(c.route.Target - balance.FirstEvent(e, s.places)).Sub(g.started)
	s.waiters = append(s.waiters, w)
	g.mu.Unlock()
	return c.wait(ctx, s, w)
}

// mayReturn reports whether the caller has time to come back.
func (c *call) mayReturn() bool {
	return !c.mayHaveRun() && time.Until(c.deadline) > time.Duration(mayReturn*float64(c.route.Timeout))
}

func refuse(text string, after time.Duration) error {
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, text).After(after)
}

// wait waits for the place.
func (c *call) wait(ctx context.Context, s *service, w *waiter) (registry.Upstream, *ticket, error) {
	c.g.counts.queued.Inc(1)
	began := time.Now()
	defer c.g.counts.queue.AddSince(began)
	timer := time.NewTimer(longestWait)
	defer timer.Stop()
	select {
	case got := <-w.granted:
		return got.upstream, got.hold, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	select {
	case got := <-w.granted:
		// It was granted just now.
		return got.upstream, got.hold, nil
	default:
	}
	s.remove(w)
	c.logRefusal(s)
	return registry.Upstream{}, nil, refuse("no place became free in time", fullRetryAfter)
}

// logRefusal says by what a request got no place. The caller holds Gateway.mu; writing a
// line does not wait.
func (c *call) logRefusal(s *service) {
	g := c.g
	now := g.now()
	upstreams, heard, open, taken := 0, 0, 0, 0.0
	oldest := time.Duration(0)
	for i := range g.serving[c.service.Name] {
		u := &g.serving[c.service.Name][i]
		upstreams++
		taken += g.taken(u, now)
		l, ok := g.loads[u.Address]
		if !ok || now-l.at > freshLoad {
			continue
		}
		heard++
		oldest = max(oldest, now-l.at)
		if l.isOpen {
			open++
		}
	}
	c.warn("no place", "upstreams", upstreams, "loads_heard", heard, "groups_open", open,
		"load_age_ms", oldest.Milliseconds(), "places", s.places*upstreams, "taken", taken, "waiting", len(s.waiters),
		"hosts", g.hosts.Load(), "waited_ms", time.Since(c.began).Milliseconds())
}

// remove takes a waiter out. The caller holds Gateway.mu.
func (s *service) remove(w *waiter) {
	for i := range s.waiters {
		if s.waiters[i] == w {
			s.waiters = append(s.waiters[:i], s.waiters[i+1:]...)
			return
		}
	}
}
