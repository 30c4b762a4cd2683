package routing

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/directory"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// failingSpan is how long an upstream is avoided after a failed attempt.
	failingSpan = 3 * time.Second
	// maxMarks bounds what is remembered of the own load before the last report.
	maxMarks = 4096
	// pruneEvery is after how many picks upstreams that are gone are forgotten.
	pruneEvery = 4096
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
	Now              func() time.Duration
	Rand             *rand.Rand
	PrefixIndexLimit int
}

// Router chooses upstreams and keeps this host's own experience with them. It is
// safe for concurrent use.
type Router struct {
	cfg Config

	// mu guards the fields below and cfg.Rand.
	mu      sync.Mutex
	own     map[string]*experience
	history *PrefixIndex
	picks   int
}

// experience is what this host knows of one upstream by itself.
type experience struct {
	incarnation uint64
	inFlight    int
	failedUntil time.Duration
	// marks hold how many attempts were in flight from each moment on, so that a
	// report can be told apart from what this host itself had there when it was made.
	marks []mark
}

type mark struct {
	at       time.Duration
	inFlight int
}

// note remembers that the number in flight changed.
func (x *experience) note(now time.Duration, by int) {
	x.inFlight += by
	x.marks = append(x.marks, mark{at: now, inFlight: x.inFlight})
	if len(x.marks) > maxMarks {
		x.marks = slices.Delete(x.marks, 0, maxMarks/2)
	}
}

// inFlightAt is how many attempts were in flight when a report was made. It forgets
// all before that: reports come in the order in which they were made.
func (x *experience) inFlightAt(made time.Duration) int {
	n := 0
	for n < len(x.marks) && x.marks[n].at <= made {
		n++
	}
	if n == 0 {
		return 0
	}
	x.marks = slices.Delete(x.marks, 0, n-1)
	return x.marks[0].inFlight
}

// NewRouter returns a Router without experience.
func NewRouter(cfg Config) *Router {
	return &Router{cfg: cfg, own: make(map[string]*experience), history: NewPrefixIndex(cfg.PrefixIndexLimit)}
}

// Pick chooses the upstream for an attempt and counts the attempt as in flight
// until done is called, once. The error is ErrNoUpstream.
func (r *Router) Pick(req *Request) (up wire.Upstream, done func(Outcome), err error) {
	entries := r.cfg.Entries()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	r.prune(entries)
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
	x.note(now, 1)
	r.history.RecordSent(up.Name, req.Prefixes)
	var once sync.Once
	return up, func(o Outcome) { once.Do(func() { r.finish(x, o) }) }, nil
}

// prune forgets, now and then, the upstreams that the directory has forgotten. The
// caller holds mu.
func (r *Router) prune(entries []directory.Entry) {
	r.picks++
	if r.picks%pruneEvery != 0 {
		return
	}
	known := make(map[string]bool, len(entries))
	for i := range entries {
		known[entries[i].Upstream.Name] = true
	}
	for name := range r.own {
		if !known[name] {
			delete(r.own, name)
			r.history.Forget(name)
		}
	}
}

// candidate joins what the directory and this host know. The caller holds mu.
func (r *Router) candidate(e *directory.Entry, req *Request, now time.Duration) Candidate {
	x := r.experience(e.Upstream)
	load := e.Upstream.Load
	age := now - e.LoadAt + time.Duration(load.AgeMS)*time.Millisecond
	return Candidate{
		Upstream:       e.Upstream,
		Suspect:        e.Suspect,
		Failing:        now < x.failedUntil,
		ReportAge:      age,
		InFlight:       x.inFlight,
		OtherHostsLoad: max(0, int(load.Running+load.Queued)-x.inFlightAt(now-age)),
		CachedFraction: r.history.CachedFraction(e.Upstream.Name, req.Prefixes),
	}
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
	now := r.cfg.Now()
	x.note(now, -1)
	if o.HasFailed {
		x.failedUntil = now + failingSpan
		return
	}
	x.failedUntil = 0
}

// ApplyCacheEvents corrects what is known of an upstream's prefix cache.
func (r *Router) ApplyCacheEvents(upstream string, events []wire.CacheEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range events {
		r.history.ApplyEvent(upstream, e)
	}
}
