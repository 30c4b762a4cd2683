package gateway

import (
	"context"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/balance"
	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/retrybudget"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
)

const (
	// suspectAfter is how many attempts in a row have to fail at an upstream before
	// others are preferred: a single one fails by chance too often.
	suspectAfter = 2
	// suspectFor is how long others are preferred then. It is about the time between
	// two announcements, which show that an upstream is back.
	suspectFor = 1500 * time.Millisecond
)

// upstream is this host's own experience of an upstream. Gateway.mu guards it.
type upstream struct {
	// born is the incarnation's.
	born     int64
	inflight int
	// failures counts the attempts that failed in a row.
	failures     int
	suspectUntil time.Duration
}

// service is this host's own experience of a service. Gateway.mu guards it.
type service struct {
	budget retrybudget.Budget
	// places is how many requests an engine should work on at once, by the figures of
	// engine, which is nil for plain services; waiters are the
	// requests that wait for one, in the order in which they came.
	places  int
	engine  *routetable.Engine
	waiters []*waiter
	// unheard are the attempts at engines that have no head of an answer yet and may be
	// taken back.
	unheard map[*ticket]unheard
}

// ticket is an attempt's hold on an upstream; it ends once.
type ticket struct {
	g       *Gateway
	id      string
	born    int64
	service string
	// taken is how many requests the upstream was thought to have, by a report of its
	// load of that age; a negative age is none.
	taken    float64
	loadAge  time.Duration
	isClosed bool
	// cancel frees what the attempt's context holds; nil if it has none of its own.
	cancel context.CancelCauseFunc
}

// choose picks an upstream of the service that was not tried, and counts the attempt
// there. It returns false where there is none.
func (g *Gateway) choose(name string, tried []string) (registry.Upstream, *ticket, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u, ok := g.pick(name, tried)
	if !ok {
		return u, nil, false
	}
	return u, g.hold(&u), true
}

// pick picks an upstream of the service that was not tried. The caller holds mu.
func (g *Gateway) pick(name string, tried []string) (registry.Upstream, bool) {
	list := g.serving[name]
	now := g.now()
	darkest := g.darkest(name, now)
	s, least := g.services[name], g.leastPace(name, now)
	all := make([]balance.Candidate, 0, len(list))
	for i := range list {
		c := g.candidate(&list[i], now)
		if s != nil && s.engine != nil {
			if c.Slots = g.placesAt(s, &list[i], least, now); c.Slots == 0 {
				continue
			}
		}
		if l, ok := g.loads[list[i].Address]; ok && now-l.at >= darkest {
			c.IsSuspect = true
		}
		all = append(all, c)
	}
	picker := balance.Picker{Filters: []balance.Filter{balance.Trusted}, Score: balance.LeastLoaded}
	left := balance.Untried(all, tried)
	i := picker.Pick(left, draw())
	if i < 0 {
		return registry.Upstream{}, false
	}
	for _, u := range list {
		if u.ID == left[i].ID {
			return u, true
		}
	}
	return registry.Upstream{}, false
}

// hold counts an attempt at an upstream. The caller holds mu.
func (g *Gateway) hold(u *registry.Upstream) *ticket {
	taken := g.taken(u, g.now())
	own := g.upstreams[u.ID]
	own.inflight++
	t := &ticket{g: g, id: u.ID, born: u.Born, service: u.Service, taken: taken, loadAge: -1}
	if l, ok := g.loads[u.Address]; ok {
		t.loadAge = g.now() - l.at
	}
	return t
}

// candidate is the snapshot of one upstream. The caller holds mu.
func (g *Gateway) candidate(u *registry.Upstream, now time.Duration) balance.Candidate {
	own := g.upstreams[u.ID]
	return balance.Candidate{
		ID: u.ID, Address: u.Address, Slots: u.Slots, Inflight: own.inflight,
		Elsewhere: g.taken(u, now) - float64(own.inflight),
		IsLocal:   u.DataCentre == g.cfg.DataCentre,
		IsSuspect: u.IsSilent || now < own.suspectUntil,
	}
}

// outcome is how an attempt went, as far as it says something of the upstream.
type outcome uint8

const (
	// outcomeNeutral: the attempt was ended for a reason of the caller's.
	outcomeNeutral outcome = iota
	outcomeGood
	// outcomeBad: the upstream broke off, refused or failed.
	outcomeBad
	// outcomeMisdirected: another incarnation has the address.
	outcomeMisdirected
)

// end gives the hold back.
func (t *ticket) end(o outcome) {
	g := t.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.isClosed {
		return
	}
	t.isClosed = true
	if t.cancel != nil {
		t.cancel(nil)
	}
	u := g.upstreams[t.id]
	if u == nil {
		return
	}
	u.inflight--
	if s := g.services[t.service]; s != nil {
		// The place that this attempt gives back is this host's to take.
		defer g.pump(t.service, s, 1, onTimeOnly)
	}
	switch o {
	case outcomeGood:
		u.failures = 0
		u.suspectUntil = 0
	case outcomeBad:
		if u.failures++; u.failures >= suspectAfter {
			u.suspectUntil = g.now() + suspectFor
			g.cfg.Log.Info("upstream suspected", "upstream", t.id, "failures", u.failures)
		}
	case outcomeMisdirected:
		if g.view.Revoke(t.id, t.born) {
			g.cfg.Log.Info("upstream revoked: another one has its address", "upstream", t.id)
			g.publish()
		}
	}
}

// request counts a caller's request to a service.
func (g *Gateway) request(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.service(name).budget.Request(g.cfg.Budget, g.now())
}

// mayRepeat takes one repeat from the service's budget.
func (g *Gateway) mayRepeat(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.service(name).budget.Take(g.cfg.Budget, int(g.hosts.Load()), g.now())
}

// connections returns this host's part of the bound on connections to an upstream.
func (g *Gateway) connections(s *routetable.Service) int {
	if s == nil || s.Connections == 0 {
		return 0
	}
	return max(s.Connections/int(g.hosts.Load()), 1)
}
