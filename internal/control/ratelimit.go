package control

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/backpressure"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// entryHostMemory is how long part of each rate is kept back for an entry host that is not
	// attached any more. It may be cut off and use its share, see backpressure.Allowance.
	entryHostMemory = time.Minute
	// minReachable is the smallest part of a rate that is handed out, however many entry hosts
	// were lost.
	minReachable = 0.1
)

// Notices returns notices of all upstreams that accept fewer requests than others, as entry hosts
// have reported.
func (h *Host) Notices() []backpressure.Notice {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	return h.fleet.statements.Notices(h.fleet.now())
}

// mergeNotices records what an entry host reports about upstreams, and forwards what has changed
// to the other entry hosts.
func (f *fleet) mergeNotices(from *peer.Session, m *wire.Notices) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var changed []backpressure.Notice
	for _, n := range m.All {
		before := f.statements.Rate(n.Incarnation)
		change := f.statements.Add(n, now)
		if change.IsAny() {
			changed = append(changed, f.statements.Notice(n.Incarnation, now))
		}
		if change.Rate {
			f.h.cfg.Log.Info("rate limit of an upstream has changed", "upstream", n.Incarnation.Upstream,
				"per_second", n.Rate, "before", before, "from", from.Remote().Host, "age_ms", n.ReadAgeMS)
		}
	}
	if len(changed) == 0 {
		return
	}
	p, err := peer.Prepare(&wire.Notices{All: changed})
	if err != nil {
		f.h.cfg.Log.Error("notices can't be encoded", "error", err.Error())
		return
	}
	for s, role := range f.attached {
		if role == roleEntry && s != from && s.Alive() {
			s.PostPreparedOrClose(p)
		}
	}
}

// handleTokenRequest hands out tokens of an upstream that has a rate limit. Only the leader does,
// so that tokens come from one place.
func (h *Host) handleTokenRequest(s *peer.Session, m *wire.TokenRequest) (wire.Message, error) {
	if err := h.requireLeader(); err != nil {
		return nil, err
	}
	if m.ColdRate > 0 {
		return h.handleColdTokenRequest(s, m)
	}
	return h.fleet.handOut(s, m), nil
}

// handleColdTokenRequest hands out tokens of a cold upstream. The rate comes with the request, since control
// hosts know neither the configuration's services nor which upstreams are cold. All hosts compute
// it from the same configuration and settings.
func (h *Host) handleColdTokenRequest(s *peer.Session, m *wire.TokenRequest) (wire.Message, error) {
	if math.IsInf(m.ColdRate, 0) {
		return nil, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the rate of a cold upstream is not finite")
	}
	term, isLeader := h.replica.LeaderTerm()
	if !isLeader {
		return nil, h.requireLeader()
	}
	return h.fleet.handOutCold(s, m, term), nil
}

// handOutCold hands out tokens of a cold upstream in the given term. If the upstream also states a
// rate limit, the lower one holds.
func (f *fleet) handOutCold(s *peer.Session, m *wire.TokenRequest, term uint64) *wire.Tokens {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, i := f.now(), m.Notice.Incarnation
	f.statements.Add(m.Notice, now)
	rate := m.ColdRate
	if stated := f.statements.Rate(i); stated > 0 {
		rate = min(rate, stated*f.reachable)
	}
	waits, again := f.dispenser.HandCold(i, s.Remote().Host, rate, m.Count, rand.Float64(), term, now)
	metrics.GetOrRegisterCounter("control.cold.tokens.asked", f.h.cfg.Metrics).Inc(int64(max(m.Count, 0)))
	metrics.GetOrRegisterCounter("control.cold.tokens.granted", f.h.cfg.Metrics).Inc(int64(len(waits)))
	return newTokens(waits, again)
}

// newTokens returns the message that hands out tokens.
func newTokens(waits []time.Duration, again time.Duration) *wire.Tokens {
	reply := &wire.Tokens{AgainMS: again.Milliseconds() + 1}
	for _, wait := range waits {
		reply.WaitsMS = append(reply.WaitsMS, wait.Milliseconds())
	}
	return reply
}

func (f *fleet) handOut(s *peer.Session, m *wire.TokenRequest) *wire.Tokens {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, i := f.now(), m.Notice.Incarnation
	f.statements.Add(m.Notice, now)
	perSecond := f.statements.Rate(i)
	if perSecond == 0 {
		// The sender has not heard yet that the limit was lifted.
		_ = s.Post(&wire.Notices{All: []backpressure.Notice{f.statements.Notice(i, now)}})
		return &wire.Tokens{WaitsMS: make([]int64, min(max(m.Count, 0), maxTokensWithoutLimit))}
	}
	waits, again := f.dispenser.Hand(i, s.Remote().Host, perSecond*f.reachable, m.Count, rand.Float64(), now)
	return newTokens(waits, again)
}

// maxTokensWithoutLimit bounds the tokens handed out for an upstream that has no limit any more.
const maxTokensWithoutLimit = 32

// countReachable returns the part of the entry hosts known lately that is attached now. The caller
// holds mu.
func (f *fleet) countReachable(now time.Duration) float64 {
	attached := make(map[string]bool)
	for s, role := range f.attached {
		if role == roleEntry && s.Alive() && s.SilentFor() < quietTimeout {
			attached[s.Remote().Host] = true
			f.entryHosts[s.Remote().Host] = now
		}
	}
	known := 0
	for _, seen := range f.entryHosts {
		if now-seen <= entryHostMemory {
			known++
		}
	}
	return max(float64(len(attached))/float64(max(known, 1)), minReachable)
}

// sweepRateLimits updates reachable, and forgets entry hosts that are gone and upstreams that nobody
// asks for. The caller holds mu.
func (f *fleet) sweepRateLimits() {
	now := f.now()
	f.reachable = f.countReachable(now)
	for host, seen := range f.entryHosts {
		if now-seen > entryHostMemory {
			delete(f.entryHosts, host)
		}
	}
	f.statements.Sweep(now)
	f.dispenser.Sweep(now)
}
