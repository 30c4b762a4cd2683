package routing

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/directory"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// failingSpan is how long an upstream is avoided after a failed attempt.
	failingSpan = 3 * time.Second
	// maxSent bounds what is remembered of the attempts that no report counts yet.
	maxSent = 1024
)

// Outcome is how an attempt ended.
type Outcome struct {
	// HasFailed tells that the upstream, or the way to it, failed.
	HasFailed bool
}

// Config is what a Router needs.
type Config struct {
	Policy *Policy
	// Entries returns the upstreams known now.
	Entries func() []directory.Entry
	// Now is the clock that directory.Entry.LoadAt counts on.
	Now          func() time.Duration
	Rand         *rand.Rand
	HistoryLimit int
}

// Router chooses upstreams and keeps this host's own experience with them. It is
// safe for concurrent use.
type Router struct {
	cfg Config

	// mu guards the fields below and cfg.Rand.
	mu      sync.Mutex
	own     map[string]*experience
	history *History
}

// experience is what this host knows of one upstream by itself.
type experience struct {
	incarnation uint64
	inFlight    int
	failedUntil time.Duration
	// sent holds when attempts were sent that no report may count yet.
	sent []time.Duration
}

// NewRouter returns a Router without experience.
func NewRouter(cfg Config) *Router {
	return &Router{cfg: cfg, own: make(map[string]*experience), history: NewHistory(cfg.HistoryLimit)}
}

// Pick chooses the upstream for an attempt and counts the attempt as in flight
// until done is called, once. The error is ErrNoUpstream.
func (r *Router) Pick(req *Request) (up wire.Upstream, done func(Outcome), err error) {
	entries := r.cfg.Entries()
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	candidates := make([]Candidate, 0, len(entries))
	for i := range entries {
		if entries[i].Upstream.Pool == req.Pool {
			candidates = append(candidates, r.candidate(&entries[i], req, now))
		}
	}
	i, err := r.cfg.Policy.Choose(req, candidates, r.cfg.Rand)
	if err != nil {
		return wire.Upstream{}, nil, err
	}
	up = candidates[i].Upstream
	x := r.experience(up)
	x.inFlight++
	x.sent = append(x.sent, now)
	x.sent = x.sent[max(0, len(x.sent)-maxSent):]
	r.history.Sent(up.Name, req.Prefixes)
	var once sync.Once
	return up, func(o Outcome) { once.Do(func() { r.finish(x, o) }) }, nil
}

// candidate joins what the directory and this host know. The caller holds mu.
func (r *Router) candidate(e *directory.Entry, req *Request, now time.Duration) Candidate {
	x := r.experience(e.Upstream)
	age := now - e.LoadAt + time.Duration(e.Upstream.Load.AgeMS)*time.Millisecond
	x.dropBefore(now - age)
	return Candidate{
		Upstream:  e.Upstream,
		Suspect:   e.Suspect,
		Failing:   now < x.failedUntil,
		ReportAge: age,
		InFlight:  x.inFlight,
		SentSince: len(x.sent),
		Cached:    r.history.Cached(e.Upstream.Name, req.Prefixes),
	}
}

// dropBefore forgets what was sent before a report was made.
func (x *experience) dropBefore(made time.Duration) {
	n := 0
	for n < len(x.sent) && x.sent[n] <= made {
		n++
	}
	x.sent = x.sent[n:]
}

// experience returns what is known of the upstream, anew after a restart of its
// agent. The caller holds mu.
func (r *Router) experience(up wire.Upstream) *experience {
	x := r.own[up.Name]
	if x == nil || x.incarnation < up.Incarnation {
		if x != nil {
			r.history.Forget(up.Name)
		}
		x = &experience{incarnation: up.Incarnation}
		r.own[up.Name] = x
	}
	return x
}

func (r *Router) finish(x *experience, o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x.inFlight--
	if o.HasFailed {
		x.failedUntil = r.cfg.Now() + failingSpan
		return
	}
	x.failedUntil = 0
}

// CacheEvents corrects what is known of an upstream's prefix cache.
func (r *Router) CacheEvents(upstream string, events []wire.CacheEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range events {
		r.history.Event(upstream, e)
	}
}
