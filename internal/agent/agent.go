// Package agent is the process at an upstream host: it takes dispatches from the
// entry hosts, runs them against its upstream and sends the answers back.
//
// It refuses work with the verdict NotRun only where the upstream has certainly
// not been given a byte of it, and marks an answer as whole only where the
// upstream's answer had its own end.
package agent

import (
	"container/heap"
	"context"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/answer"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Defaults of Config.
const (
	DefaultCapacity    = 32
	DefaultQueueLength = 64
	DefaultRemember    = 65536
	DefaultRetryAfter  = time.Second
)

// Config is what an Agent needs. Zero values mean the defaults.
type Config struct {
	// Identity holds Name, DataCentre, Address, Incarnation, Pool, Version, Role and
	// Group; the rest is filled in by the agent.
	Identity wire.Upstream
	// URL is the base of the upstream, such as "http://127.0.0.1:8000".
	URL string
	// Engine tells that the upstream is a model engine that reports load and cache events.
	Engine bool
	// Capacity is how many requests run at once; QueueLength how many wait.
	Capacity    int
	QueueLength int
	// Remember is how many attempts and how many claims are remembered, so that none
	// runs twice. Another start has another incarnation and refuses all before it.
	Remember int
	// RetryAfter is what a refused caller is told to wait.
	RetryAfter time.Duration
	// Recorder, if set, takes the outcomes of non-idempotent calls that no entry host
	// hears, so that a resend finds the answer.
	Recorder answer.Recorder
	Metrics  metrics.Registry
}

// Agent stands in front of one upstream.
type Agent struct {
	cfg      Config
	base     *url.URL
	shared   *http.Transport
	once     *http.Transport
	counters counters
	presence presence
	// unheard has room for the answers that are kept until they count as heard.
	unheard chan struct{}

	// mu guards the rest.
	mu       sync.Mutex
	state    wire.UpstreamState
	seq      uint64
	attempts map[wire.AttemptID]*attempt
	running  int
	queue    waiting
	arrivals uint64
	seen     *memory[wire.AttemptID]
	claims   *memory[wire.Claim]
	idle     chan struct{}
	facts    facts
}

type counters struct {
	accepted, refused, repeated, broken, cancelled, unreported, ended metrics.Counter
}

// New returns an Agent in the state UpstreamStarting.
func New(cfg Config) (*Agent, error) {
	base, err := url.Parse(cfg.URL)
	if err != nil || base.Host == "" {
		return nil, errors.Errorf("agent: upstream URL %q is not usable", cfg.URL)
	}
	cfg = cfg.withDefaults()
	return &Agent{
		cfg:      cfg,
		base:     base,
		shared:   newTransport(cfg.Capacity, false),
		once:     newTransport(cfg.Capacity, true),
		counters: newCounters(cfg.Metrics),
		attempts: make(map[wire.AttemptID]*attempt),
		seen:     newMemory[wire.AttemptID](cfg.Remember),
		claims:   newMemory[wire.Claim](cfg.Remember),
		idle:     make(chan struct{}, 1),
		unheard:  make(chan struct{}, maxUnheard),
	}, nil
}

func (c Config) withDefaults() Config {
	if c.Capacity <= 0 {
		c.Capacity = DefaultCapacity
	}
	if c.QueueLength < 0 {
		c.QueueLength = 0
	} else if c.QueueLength == 0 {
		c.QueueLength = DefaultQueueLength
	}
	if c.Remember <= 0 {
		c.Remember = DefaultRemember
	}
	if c.RetryAfter <= 0 {
		c.RetryAfter = DefaultRetryAfter
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return c
}

func newCounters(r metrics.Registry) counters {
	return counters{
		accepted:   metrics.GetOrRegisterCounter("agent.accepted", r),
		refused:    metrics.GetOrRegisterCounter("agent.refused", r),
		repeated:   metrics.GetOrRegisterCounter("agent.repeated", r),
		broken:     metrics.GetOrRegisterCounter("agent.broken", r),
		cancelled:  metrics.GetOrRegisterCounter("agent.cancelled", r),
		unreported: metrics.GetOrRegisterCounter("agent.unreported", r),
		ended:      metrics.GetOrRegisterCounter("agent.ended", r),
	}
}

// HandlePeer takes Dispatch, Cancel and Credit; it reports whether m was one of
// them. It never blocks.
func (a *Agent) HandlePeer(s *peer.Session, _ uint64, m wire.Message) bool {
	switch m := m.(type) {
	case *wire.Dispatch:
		a.dispatch(s, m)
	case *wire.Cancel:
		a.cancel(s, m.Attempt)
	case *wire.Credit:
		a.credit(s, m)
	default:
		return false
	}
	return true
}

func (a *Agent) dispatch(s *peer.Session, d *wire.Dispatch) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.seen.add(d.Attempt) {
		// The first dispatch of the attempt answers for it: a refusal here could call
		// an attempt not run that runs.
		a.counters.repeated.Inc(1)
		return
	}
	if err := a.refusal(d); err != nil {
		a.refuse(s, d.Attempt, err)
		return
	}
	if d.Claim != nil {
		a.claims.add(*d.Claim)
	}
	a.counters.accepted.Inc(1)
	at := newAttempt(s, d)
	s.StartProbing()
	a.attempts[d.Attempt] = at
	if a.running < a.cfg.Capacity {
		a.start(at)
		return
	}
	a.enqueue(at)
}

// refusal returns why d is not taken, or nil. It requires mu.
func (a *Agent) refusal(d *wire.Dispatch) *verdict.Error {
	id := a.cfg.Identity
	switch {
	case d.Claim != nil && a.claims.has(*d.Claim):
		// The call of this key has been taken before, so it may have run.
		return verdict.New(verdict.MayHaveRun, verdict.CodeConflict, "claim was dispatched before")
	case d.Upstream != id.Name:
		return notRun(verdict.CodeNoUpstream, "another upstream is meant")
	case d.Incarnation != id.Incarnation:
		return notRun(verdict.CodeNoUpstream, "another start of the agent is meant")
	case a.state == wire.UpstreamDraining:
		return notRun(verdict.CodeLeaving, "upstream is leaving").WithRetryAfter(a.cfg.RetryAfter)
	case a.state != wire.UpstreamReady:
		return notRun(verdict.CodeNoUpstream, "upstream is not ready").WithRetryAfter(a.cfg.RetryAfter)
	case a.running >= a.cfg.Capacity && len(a.queue) >= a.cfg.QueueLength:
		return notRun(verdict.CodeOverloaded, "upstream's queue is full").WithRetryAfter(a.cfg.RetryAfter)
	}
	return nil
}

func notRun(code verdict.Code, text string) *verdict.Error {
	return verdict.New(verdict.NotRun, code, text)
}

func (a *Agent) refuse(s *peer.Session, id wire.AttemptID, e *verdict.Error) {
	a.counters.refused.Inc(1)
	m := &wire.Refused{
		Attempt:           id,
		Verdict:           uint8(e.Verdict),
		Code:              string(e.Code),
		Text:              e.Text,
		RetryAfterMS:      uint64(e.RetryAfter / time.Millisecond),
		UpstreamCrashedAt: endedAt(e),
	}
	if s.Post(m) != nil {
		a.counters.unreported.Inc(1)
	}
}

// start requires mu.
func (a *Agent) start(at *attempt) {
	a.running++
	at.started = true
	go a.run(at)
}

// enqueue requires mu.
func (a *Agent) enqueue(at *attempt) {
	a.arrivals++
	at.arrival = a.arrivals
	heap.Push(&a.queue, at)
	at.stopWait = context.AfterFunc(at.ctx, func() { a.dropWaiting(at) })
}

// dropWaiting refuses an attempt whose time ended, whose caller left or whose
// session was lost while it waited.
func (a *Agent) dropWaiting(at *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at.started {
		return
	}
	heap.Remove(&a.queue, at.index)
	a.forget(at)
	if at.d.Claim != nil {
		a.claims.remove(*at.d.Claim)
	}
	code := verdict.CodeCancelled
	if errors.Is(at.ctx.Err(), context.DeadlineExceeded) {
		code = verdict.CodeDeadline
	}
	a.refuse(at.s, at.d.Attempt, notRun(code, "ended while it waited").WithRetryAfter(a.cfg.RetryAfter))
}

// forget requires mu.
func (a *Agent) forget(at *attempt) {
	delete(a.attempts, at.d.Attempt)
	at.s.StopProbing()
	at.cancel()
	if len(a.attempts) == 0 {
		select {
		case a.idle <- struct{}{}:
		default:
		}
	}
}

// done ends a running attempt and starts the most urgent one that waits.
func (a *Agent) done(at *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forget(at)
	a.running--
	if len(a.queue) == 0 {
		return
	}
	next := heap.Pop(&a.queue).(*attempt)
	next.stopWait()
	a.start(next)
}

func (a *Agent) cancel(s *peer.Session, id wire.AttemptID) {
	if at := a.find(s, id); at != nil {
		a.counters.cancelled.Inc(1)
		at.cancel()
	}
}

func (a *Agent) credit(s *peer.Session, c *wire.Credit) {
	if at := a.find(s, c.Attempt); at != nil {
		at.window.add(c.Bytes)
	}
}

// find returns the attempt if it came by s.
func (a *Agent) find(s *peer.Session, id wire.AttemptID) *attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := a.attempts[id]
	if at == nil || at.s != s {
		return nil
	}
	return at
}

// Ready lets the agent take work, unless it is leaving.
func (a *Agent) Ready() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state == wire.UpstreamStarting {
		a.state = wire.UpstreamReady
	}
}

// Raise takes a start number above the one known, which belongs to a later start of
// the same name: the clock that the number came from was set back. Dispatches to
// the former number are refused.
func (a *Agent) Raise(known uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cfg.Identity.Incarnation = max(a.cfg.Identity.Incarnation, known+1)
}

// Leave refuses all new work from now on. What was taken goes on.
func (a *Agent) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state = wire.UpstreamDraining
}

// Drained waits until nothing runs or waits. The error is that of ctx.
func (a *Agent) Drained(ctx context.Context) error {
	for {
		a.mu.Lock()
		n := len(a.attempts)
		a.mu.Unlock()
		if n == 0 {
			return nil
		}
		select {
		case <-a.idle:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "agent: "+strconv.Itoa(n)+" attempts still run")
		}
	}
}
