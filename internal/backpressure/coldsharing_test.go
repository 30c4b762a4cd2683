package backpressure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The simulation plays hosts that serve callers with one cold upstream, which tolerates 17 requests
// a second and may get 30.5 in any second. A request waits up to coldCallerWait for a token and
// then goes elsewhere.
const (
	coldTolerated   = 17.0
	coldPlayed      = 15 * time.Second
	coldStep        = 5 * time.Millisecond
	coldCallerWait  = 450 * time.Millisecond
	coldAskTimeout  = 400 * time.Millisecond
	coldElection    = 1200 * time.Millisecond
	coldFaultBegins = 5 * time.Second
	coldFaultEnds   = 10 * time.Second
	// coldTermBegun is when the first leader surely hands out tokens.
	coldTermBegun = time.Second
)

var coldBound = ColdBound{Factor: 1.5, Extra: 5}.Max(coldTolerated)

// coldScenario is a course of events with a cold upstream.
type coldScenario struct {
	// callers is the number of requests a second at all hosts together, of which half come to one
	// host if isSkewed is set.
	callers  float64
	isSkewed bool
	// burst is the number of requests that come to each host at coldFaultBegins at once.
	burst int
	// Between coldFaultBegins and coldFaultEnds, the given part of the hosts gets no answers.
	cutPart float64
	// killsLeader ends the leader at coldFaultBegins, and leaves none until coldElection is over.
	killsLeader bool
	// movesLeader moves the leadership to another control host every 200 ms for two seconds from
	// coldFaultBegins on.
	movesLeader bool
	// restartEvery makes a host restart so often; 0 for never.
	restartEvery time.Duration
	// turnsCold makes the upstream cold at coldFaultBegins, of which each host hears up to 100 ms
	// later. Only what a host sends after that counts.
	turnsCold bool
	// hasSlowLinks delays one of ten answers by up to coldAskTimeout.
	hasSlowLinks bool
}

// coldHost is one host of the simulation.
type coldHost struct {
	allowance *Allowance
	// coldFrom is when the host knows that the upstream is cold.
	coldFrom time.Duration
	// waiting holds until when each request waits for a token.
	waiting []time.Duration
	answer  *coldAnswer
}

// coldAnswer is an answer to a request for tokens and when it arrives.
type coldAnswer struct {
	at           time.Duration
	waits        []time.Duration
	again        time.Duration
	isUnanswered bool
}

// coldPlay is one run of a scenario.
type coldPlay struct {
	coldScenario
	hosts     []*coldHost
	dispenser *Dispenser
	term      uint64
	limit     Limit
	random    *rand.Rand
	sent      []time.Duration
}

func (s coldScenario) play(hosts int, seed uint64) *coldPlay {
	p := &coldPlay{coldScenario: s, dispenser: NewDispenser(), term: 1, limit: ColdLimit(coldTolerated, coldBound), random: rand.New(rand.NewPCG(seed, 7))}
	p.dispenser.BeginTerm(p.term, 0)
	for range hosts {
		h := &coldHost{allowance: NewLimitedAllowance(p.limit)}
		if s.turnsCold {
			h.coldFrom = coldFaultBegins + time.Duration(p.random.Int64N(int64(100*time.Millisecond)))
		}
		p.hosts = append(p.hosts, h)
	}
	for now := time.Duration(0); now < coldPlayed; now += coldStep {
		p.step(now)
	}
	return p
}

func (p *coldPlay) step(now time.Duration) {
	if p.killsLeader && now == coldFaultBegins+coldElection {
		p.dispenser, p.term = NewDispenser(), p.term+1
		p.dispenser.BeginTerm(p.term, now)
	}
	if after := now - coldFaultBegins; p.movesLeader && after >= 0 && after < 2*time.Second && after%(200*time.Millisecond) == 0 {
		p.dispenser, p.term = NewDispenser(), p.term+1
		p.dispenser.BeginTerm(p.term, now)
	}
	if p.restartEvery > 0 && now%p.restartEvery == 0 {
		h := p.hosts[p.random.IntN(len(p.hosts))]
		*h = coldHost{allowance: NewLimitedAllowance(p.limit), coldFrom: h.coldFrom}
	}
	for i, h := range p.hosts {
		if now < h.coldFrom {
			continue
		}
		p.receive(h, now)
		p.arrive(i, now)
		h.waiting = slices.DeleteFunc(h.waiting, func(until time.Duration) bool { return until < now })
		for len(h.waiting) > 0 {
			if _, ok := h.allowance.Take(now); !ok {
				break
			}
			h.waiting = h.waiting[1:]
			p.sent = append(p.sent, now)
		}
		p.ask(i, now)
	}
}

// arrive adds the requests that come to a host.
func (p *coldPlay) arrive(host int, now time.Duration) {
	share := 1 / float64(len(p.hosts))
	if p.isSkewed {
		share = 0.5 / float64(len(p.hosts)-1)
		if host == 0 {
			share = 0.5
		}
	}
	n := 0
	if p.random.Float64() < p.callers*share*coldStep.Seconds() {
		n++
	}
	if now == coldFaultBegins {
		n += p.burst
	}
	for range n {
		p.hosts[host].waiting = append(p.hosts[host].waiting, now+coldCallerWait)
	}
}

// receive applies the answer of a host if it has arrived.
func (p *coldPlay) receive(h *coldHost, now time.Duration) {
	if h.answer == nil || h.answer.at > now {
		return
	}
	if h.answer.isUnanswered {
		h.allowance.Unanswered(len(p.hosts), p.random.Float64(), now)
	} else {
		h.allowance.Granted(h.answer.waits, h.answer.again, now)
	}
	h.answer = nil
}

// ask sends a host's request for tokens, one for each request that waits.
func (p *coldPlay) ask(host int, now time.Duration) {
	h := p.hosts[host]
	n := min(len(h.waiting)-h.allowance.Outstanding(now), maxTokens)
	if n <= 0 || !h.allowance.MayAsk(now) {
		return
	}
	h.allowance.AskFor(n, now)
	isFault := now >= coldFaultBegins && now < coldFaultEnds
	isCut := isFault && float64(host) < p.cutPart*float64(len(p.hosts))
	hasNoLeader := p.killsLeader && now >= coldFaultBegins && now < coldFaultBegins+coldElection
	if isCut || hasNoLeader {
		// Some hosts notice at once, others when the time is over.
		h.answer = &coldAnswer{at: now + time.Duration(p.random.Int64N(int64(coldAskTimeout))), isUnanswered: true}
		return
	}
	waits, again := p.dispenser.HandCold(upstreamA, fmt.Sprint(host), p.limit.Rate, n, p.random.Float64(), p.term, now)
	transit := time.Millisecond + time.Duration(p.random.Int64N(int64(3*time.Millisecond)))
	if p.hasSlowLinks && p.random.IntN(10) == 0 {
		transit = time.Duration(p.random.Int64N(int64(coldAskTimeout)))
	}
	h.answer = &coldAnswer{at: now + transit, waits: waits, again: again}
}

// most returns the largest number of requests in any second.
func (p *coldPlay) most() int {
	most, first := 0, 0
	for i, at := range p.sent {
		for at-p.sent[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// used returns which part of the tolerated rate was used between two times.
func (p *coldPlay) used(from, to time.Duration) float64 {
	n := 0
	for _, at := range p.sent {
		if at >= from && at < to {
			n++
		}
	}
	return float64(n) / (coldTolerated * (to - from).Seconds())
}

var coldScenarios = map[string]coldScenario{
	"more callers than it tolerates": {callers: 60},
	"many more callers":              {callers: 600},
	"as many callers":                {callers: 17},
	"one busy host":                  {callers: 60, isSkewed: true},
	"slow links":                     {callers: 60, hasSlowLinks: true},
	"burst at all hosts at once":     {callers: 20, burst: 20},
	"first burst":                    {burst: 20},
	"a third is cut off":             {callers: 120, cutPart: 1.0 / 3},
	"burst while a third is cut off": {callers: 120, burst: 20, cutPart: 1.0 / 3},
	"all are cut off":                {callers: 120, cutPart: 1},
	"the leader is killed":           {callers: 120, killsLeader: true},
	"leader killed in a burst":       {callers: 60, burst: 20, killsLeader: true},
	"killed, a third cut off, slow":  {callers: 120, burst: 5, cutPart: 1.0 / 3, killsLeader: true, hasSlowLinks: true},
	"leadership moves in a burst":    {callers: 300, burst: 5, movesLeader: true},
	"hosts restart":                  {callers: 120, restartEvery: 300 * time.Millisecond},
	"hosts restart while cut off":    {callers: 120, restartEvery: 300 * time.Millisecond, cutPart: 1},
	"it turns cold under load":       {callers: 300, turnsCold: true},
}

// Guards against more requests at a cold upstream than the bound allows in any second, summed over
// all hosts, whatever happens to them, and against a tolerated rate that nobody uses.
func TestColdUpstreamGetsNoMoreThanItsBound(t *testing.T) {
	for name, s := range coldScenarios {
		for _, hosts := range []int{31, 52, 150} {
			most, before, during, after := 0, 0.0, 0.0, 0.0
			const seeds = 1
			for seed := range uint64(seeds) {
				p := s.play(hosts, seed)
				most = max(most, p.most())
				before += p.used(coldTermBegun, coldFaultBegins) / seeds
				during += p.used(coldFaultBegins, coldFaultEnds) / seeds
				after += p.used(coldFaultEnds, coldPlayed) / seeds
			}
			t.Logf("%-30s %3d hosts: at most %2d in a second; used of the tolerated rate: %.2f before the fault, %.2f during, %.2f after",
				name, hosts, most, before, during, after)
			require.LessOrEqual(t, float64(most), math.Floor(coldBound), "%s, %d hosts", name, hosts)
			if s.callers > 2*coldTolerated && !s.turnsCold && s.restartEvery == 0 {
				require.Greater(t, before, 0.6, "%s, %d hosts", name, hosts)
				require.Greater(t, after, 0.6, "%s, %d hosts", name, hosts)
			}
		}
	}
}
