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
	// failureCooldown is how long this host avoids an upstream after a failed attempt there.
	failureCooldown = 3 * time.Second
	// maxSamples bounds the in-flight samples kept per upstream since its last load report.
	maxSamples = 4096
	// pruneInterval is the number of calls of Pick after which removed upstreams are pruned.
	pruneInterval = 4096
)

// Outcome tells how an attempt ended.
type Outcome struct {
	// HasFailed is set if the upstream or the connection to it failed.
	HasFailed bool
	// IsNeutral is set if the attempt ended for a reason that says nothing about the upstream, such
	// as a caller that disconnected.
	IsNeutral bool
}

// Config configures a Router.
type Config struct {
	Policy *Policy
	// Entries returns the upstreams that the directory currently knows.
	Entries func() []directory.Entry
	// Now is the monotonic clock of directory.Entry.LoadAt.
	Now              func() time.Duration
	Rand             *rand.Rand
	PrefixIndexLimit int
}

// Router chooses upstreams and keeps this host's own statistics about them: attempts in
// flight, recent failures and cached prefixes. It is safe for concurrent use.
type Router struct {
	cfg Config

	// mu guards the fields below and cfg.Rand.
	mu    sync.Mutex
	stats map[string]*upstreamStats
	// evacuations is the list of evacuated data centres with the highest index so far; nil if
	// there was none. It is not changed in place.
	evacuations *wire.Evacuations
	prefixes    *PrefixIndex
	pickCount   int
}

// upstreamStats is what this host has observed of one incarnation of an upstream.
type upstreamStats struct {
	incarnation uint64
	inFlight    int
	failedUntil time.Duration
	// samples record each change of inFlight. They tell how many of the requests in a load
	// report were this host's own when the report was made.
	samples []inFlightSample
}

// inFlightSample is the number of attempts in flight from a point in time on.
type inFlightSample struct {
	at       time.Duration
	inFlight int
}

// addInFlight changes the number of attempts in flight and records a sample.
func (x *upstreamStats) addInFlight(now time.Duration, delta int) {
	x.inFlight += delta
	x.samples = append(x.samples, inFlightSample{at: now, inFlight: x.inFlight})
	if len(x.samples) > maxSamples {
		x.samples = slices.Delete(x.samples, 0, maxSamples/2)
	}
}

// inFlightAt returns how many attempts were in flight when a report was made. It drops older
// samples, because reports arrive in the order in which they were made.
func (x *upstreamStats) inFlightAt(reportedAt time.Duration) int {
	n := 0
	for n < len(x.samples) && x.samples[n].at <= reportedAt {
		n++
	}
	if n == 0 {
		return 0
	}
	x.samples = slices.Delete(x.samples, 0, n-1)
	return x.samples[0].inFlight
}

// NewRouter returns a Router without statistics.
func NewRouter(cfg Config) *Router {
	return &Router{cfg: cfg, stats: make(map[string]*upstreamStats), prefixes: NewPrefixIndex(cfg.PrefixIndexLimit)}
}

// Choice is the upstream chosen for an attempt.
type Choice struct {
	Upstream wire.Upstream
	// HasAlternative is set if another upstream that was not tried yet is as suitable, apart from
	// its load.
	HasAlternative bool
	// Done must be called when the attempt ends. Only the first call counts.
	Done func(Outcome)
}

// Pick chooses the upstream for an attempt and counts the attempt as in flight until Choice.Done
// is called. The error is always ErrNoUpstream.
func (r *Router) Pick(req *Request) (Choice, error) {
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
	suitable := r.cfg.Policy.suitable(req, candidates)
	if len(suitable) == 0 {
		return Choice{}, ErrNoUpstream
	}
	up := candidates[r.cfg.Policy.best(req, candidates, suitable, r.cfg.Rand)].Upstream
	x := r.statsOf(up)
	x.addInFlight(now, 1)
	r.prefixes.RecordSent(up.Name, req.Prefixes)
	var once sync.Once
	done := func(o Outcome) { once.Do(func() { r.finish(x, o) }) }
	return Choice{Upstream: up, HasAlternative: len(suitable) > 1, Done: done}, nil
}

// prune drops the statistics of upstreams that are no longer in the directory, on every
// pruneInterval-th call. The caller holds mu.
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

// newCandidate combines the directory's entry with this host's statistics. The caller holds
// mu.
func (r *Router) newCandidate(e *directory.Entry, req *Request, now time.Duration) Candidate {
	stats := r.statsOf(e.Upstream)
	load := e.Upstream.Load
	age := now - e.LoadAt + time.Duration(load.AgeMS)*time.Millisecond
	return Candidate{
		Upstream:       e.Upstream,
		Suspect:        e.Suspect,
		Evacuated:      r.isEvacuated(e.Upstream.DataCentre),
		Failing:        now < stats.failedUntil,
		ReportAge:      age,
		InFlight:       stats.inFlight,
		OtherHostsLoad: max(0, int(load.Running+load.Queued)-stats.inFlightAt(now-age)),
		CachedFraction: r.prefixes.CachedFraction(e.Upstream.Name, req.Prefixes),
	}
}

// statsOf returns the statistics of an upstream. It resets them if the upstream's agent has
// restarted. The caller holds mu.
func (r *Router) statsOf(upstream wire.Upstream) *upstreamStats {
	stats := r.stats[upstream.Name]
	if stats == nil || stats.incarnation < upstream.Incarnation {
		if stats != nil {
			r.prefixes.Forget(upstream.Name)
		}
		stats = &upstreamStats{incarnation: upstream.Incarnation}
		r.stats[upstream.Name] = stats
	}
	return stats
}

func (r *Router) finish(stats *upstreamStats, outcome Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	stats.addInFlight(now, -1)
	switch {
	case outcome.HasFailed:
		stats.failedUntil = now + failureCooldown
	case !outcome.IsNeutral:
		stats.failedUntil = 0
	}
}

// ApplyCacheEvents applies an upstream's cache events to the prefix index.
func (r *Router) ApplyCacheEvents(upstream string, events []wire.CacheEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range events {
		r.prefixes.ApplyEvent(upstream, e)
	}
}
