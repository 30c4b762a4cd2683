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
	// failureCooldown is how long an upstream is avoided after a failed attempt.
	failureCooldown = 3 * time.Second
	// maxSamples bounds what is remembered of the own load before the last report.
	maxSamples = 4096
	// pruneInterval is after how many picks upstreams that are gone are forgotten.
	pruneInterval = 4096
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
	mu        sync.Mutex
	stats     map[string]*upstreamStats
	prefixes  *PrefixIndex
	pickCount int
}

// upstreamStats is what this host knows of one upstream by itself.
type upstreamStats struct {
	incarnation uint64
	inFlight    int
	failedUntil time.Duration
	// samples hold how many attempts were in flight from each moment on, so that a
	// report can be told apart from what this host itself had there when it was made.
	samples []inFlightSample
}

type inFlightSample struct {
	at       time.Duration
	inFlight int
}

// addInFlight remembers that the number in flight changed.
func (x *upstreamStats) addInFlight(now time.Duration, by int) {
	x.inFlight += by
	x.samples = append(x.samples, inFlightSample{at: now, inFlight: x.inFlight})
	if len(x.samples) > maxSamples {
		x.samples = slices.Delete(x.samples, 0, maxSamples/2)
	}
}

// inFlightAt is how many attempts were in flight when a report was made. It forgets
// all before that: reports come in the order in which they were made.
func (x *upstreamStats) inFlightAt(made time.Duration) int {
	n := 0
	for n < len(x.samples) && x.samples[n].at <= made {
		n++
	}
	if n == 0 {
		return 0
	}
	x.samples = slices.Delete(x.samples, 0, n-1)
	return x.samples[0].inFlight
}

// NewRouter returns a Router without experience.
func NewRouter(cfg Config) *Router {
	return &Router{cfg: cfg, stats: make(map[string]*upstreamStats), prefixes: NewPrefixIndex(cfg.PrefixIndexLimit)}
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
			candidates = append(candidates, r.newCandidate(&entries[i], req, now))
		}
	}
	i, err := r.cfg.Policy.Choose(req, candidates, r.cfg.Rand)
	if err != nil {
		return wire.Upstream{}, nil, err
	}
	up = candidates[i].Upstream
	x := r.statsOf(up)
	x.addInFlight(now, 1)
	r.prefixes.RecordSent(up.Name, req.Prefixes)
	var once sync.Once
	return up, func(o Outcome) { once.Do(func() { r.finish(x, o) }) }, nil
}

// prune forgets, now and then, the upstreams that the directory has forgotten. The
// caller holds mu.
func (r *Router) prune(entries []directory.Entry) {
	r.pickCount++
	if r.pickCount%pruneInterval != 0 {
		return
	}
	known := make(map[string]bool, len(entries))
	for i := range entries {
		known[entries[i].Upstream.Name] = true
	}
	for name := range r.stats {
		if !known[name] {
			delete(r.stats, name)
			r.prefixes.Forget(name)
		}
	}
}

// newCandidate joins what the directory and this host know. The caller holds mu.
func (r *Router) newCandidate(e *directory.Entry, req *Request, now time.Duration) Candidate {
	x := r.statsOf(e.Upstream)
	load := e.Upstream.Load
	age := now - e.LoadAt + time.Duration(load.AgeMS)*time.Millisecond
	return Candidate{
		Upstream:       e.Upstream,
		Suspect:        e.Suspect,
		Failing:        now < x.failedUntil,
		ReportAge:      age,
		InFlight:       x.inFlight,
		OtherHostsLoad: max(0, int(load.Running+load.Queued)-x.inFlightAt(now-age)),
		CachedFraction: r.prefixes.CachedFraction(e.Upstream.Name, req.Prefixes),
	}
}

// statsOf returns what is known of the upstream, anew after a restart of its
// agent. The caller holds mu.
func (r *Router) statsOf(up wire.Upstream) *upstreamStats {
	x := r.stats[up.Name]
	if x == nil || x.incarnation < up.Incarnation {
		if x != nil {
			r.prefixes.Forget(up.Name)
		}
		x = &upstreamStats{incarnation: up.Incarnation}
		r.stats[up.Name] = x
	}
	return x
}

func (r *Router) finish(x *upstreamStats, o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	x.addInFlight(now, -1)
	if o.HasFailed {
		x.failedUntil = now + failureCooldown
		return
	}
	x.failedUntil = 0
}

// ApplyCacheEvents corrects what is known of an upstream's prefix cache.
func (r *Router) ApplyCacheEvents(upstream string, events []wire.CacheEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range events {
		r.prefixes.ApplyEvent(upstream, e)
	}
}
