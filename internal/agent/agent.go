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
	DefaultDedupSize   = 65536
	DefaultRetryAfter  = time.Second
)

// Config is what an Agent needs. Zero values mean the defaults.
type Config struct {
	// Identity holds Name, DataCentre, Address, Incarnation, Pool, Version, Role and
	// Group; the rest is filled in by the agent.
	Identity wire.Upstream
	// URL is the base of the upstream, such as "http://127.0.0.1:8000".
	URL string
	// IsEngine tells that the upstream is a model engine that reports load and cache events.
	IsEngine bool
	// Capacity is how many requests run at once; QueueLength how many wait.
	Capacity    int
	QueueLength int
	// DedupSize is how many attempts and how many claims are remembered, so that none
	// runs twice. Another start has another incarnation and refuses all before it.
	DedupSize int
	// RetryAfter is what a refused caller is told to wait.
	RetryAfter time.Duration
	// Recorder, if set, takes the outcomes of non-idempotent calls that no entry host
	// hears, so that a resend finds the answer.
	Recorder answer.Recorder
	Metrics  metrics.Registry
}

// Agent stands in front of one upstream.
type Agent struct {
	cfg       Config
	baseURL   *url.URL
	pooled    *http.Transport
	singleUse *http.Transport
	counters  counters
	monitor   upstreamMonitor
	// undelivered has room for the answers that are kept until they count as heard.
	undelivered chan struct{}

	// mu guards the rest.
	mu           sync.Mutex
	state        wire.UpstreamState
	seq          uint64
	attempts     map[wire.AttemptID]*attempt
	running      int
	waitQueue    attemptHeap
	arrivals     uint64
	seenAttempts *recentSet[wire.AttemptID]
	seenClaims   *recentSet[wire.Claim]
	idle         chan struct{}
	reports      engineReports
}

type counters struct {
	accepted, refused, duplicates, incomplete, cancelled, unreported, upstreamEnds metrics.Counter
}

// New returns an Agent in the state UpstreamStarting.
func New(cfg Config) (*Agent, error) {
	base, err := url.Parse(cfg.URL)
	if err != nil || base.Host == "" {
		return nil, errors.Errorf("agent: upstream URL %q is not usable", cfg.URL)
	}
	cfg = cfg.withDefaults()
	return &Agent{
		cfg:          cfg,
		baseURL:      base,
		pooled:       newTransport(cfg.Capacity, false),
		singleUse:    newTransport(cfg.Capacity, true),
		counters:     newCounters(cfg.Metrics),
		attempts:     make(map[wire.AttemptID]*attempt),
		seenAttempts: newRecentSet[wire.AttemptID](cfg.DedupSize),
		seenClaims:   newRecentSet[wire.Claim](cfg.DedupSize),
		idle:         make(chan struct{}, 1),
		undelivered:  make(chan struct{}, maxUndelivered),
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
	if c.DedupSize <= 0 {
		c.DedupSize = DefaultDedupSize
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
		accepted:     metrics.GetOrRegisterCounter("agent.accepted", r),
		refused:      metrics.GetOrRegisterCounter("agent.refused", r),
		duplicates:   metrics.GetOrRegisterCounter("agent.repeated", r),
		incomplete:   metrics.GetOrRegisterCounter("agent.broken", r),
		cancelled:    metrics.GetOrRegisterCounter("agent.cancelled", r),
		unreported:   metrics.GetOrRegisterCounter("agent.unreported", r),
		upstreamEnds: metrics.GetOrRegisterCounter("agent.ended", r),
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
	if !a.seenAttempts.add(d.Attempt) {
		// The first dispatch of the attempt answers for it: a refusal here could call
		// an attempt not run that runs.
		a.counters.duplicates.Inc(1)
		return
	}
	if err := a.checkDispatch(d); err != nil {
		a.refuse(s, d.Attempt, err)
		return
	}
	if d.Claim != nil {
		a.seenClaims.add(*d.Claim)
	}
	a.counters.accepted.Inc(1)
	at := newAttempt(s, d)
	s.Hold()
	a.attempts[d.Attempt] = at
	if a.running < a.cfg.Capacity {
		a.start(at)
		return
	}
	a.enqueue(at)
}

// checkDispatch returns why d is not taken, or nil. It requires mu.
func (a *Agent) checkDispatch(d *wire.Dispatch) *verdict.Error {
	id := a.cfg.Identity
	switch {
	case d.Claim != nil && a.seenClaims.has(*d.Claim):
		// The call of this key has been taken before, so it may have run.
		return verdict.New(verdict.MayHaveRun, verdict.CodeConflict, "claim was dispatched before")
	case d.Upstream != id.Name:
		return notRun(verdict.CodeNoUpstream, "another upstream is meant")
	case d.Incarnation != id.Incarnation:
		return notRun(verdict.CodeNoUpstream, "another start of the agent is meant")
	case a.state == wire.UpstreamLeaving:
		return notRun(verdict.CodeLeaving, "upstream is leaving").After(a.cfg.RetryAfter)
	case a.state != wire.UpstreamReady:
		return notRun(verdict.CodeNoUpstream, "upstream is not ready").After(a.cfg.RetryAfter)
	case a.running >= a.cfg.Capacity && len(a.waitQueue) >= a.cfg.QueueLength:
		return notRun(verdict.CodeOverloaded, "upstream's queue is full").After(a.cfg.RetryAfter)
	}
	return nil
}

func notRun(code verdict.Code, text string) *verdict.Error {
	return verdict.New(verdict.NotRun, code, text)
}

func (a *Agent) refuse(s *peer.Session, id wire.AttemptID, e *verdict.Error) {
	a.counters.refused.Inc(1)
	m := &wire.Refused{
		Attempt:       id,
		Verdict:       uint8(e.Verdict),
		Code:          string(e.Code),
		Text:          e.Text,
		RetryAfterMS:  uint64(e.RetryAfter / time.Millisecond),
		UpstreamEnded: upstreamEndedAt(e),
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
	at.arrivalNumber = a.arrivals
	heap.Push(&a.waitQueue, at)
	at.stopWatchingContext = context.AfterFunc(at.ctx, func() { a.dropWaiting(at) })
}

// dropWaiting refuses an attempt whose time ended, whose caller left or whose
// session was lost while it waited.
func (a *Agent) dropWaiting(at *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at.started {
		return
	}
	heap.Remove(&a.waitQueue, at.heapIndex)
	a.removeAttempt(at)
	if at.dispatch.Claim != nil {
		a.seenClaims.remove(*at.dispatch.Claim)
	}
	code := verdict.CodeCancelled
	if errors.Is(at.ctx.Err(), context.DeadlineExceeded) {
		code = verdict.CodeDeadline
	}
	a.refuse(at.session, at.dispatch.Attempt, notRun(code, "ended while it waited").After(a.cfg.RetryAfter))
}

// removeAttempt requires mu.
func (a *Agent) removeAttempt(at *attempt) {
	delete(a.attempts, at.dispatch.Attempt)
	at.session.Release()
	at.cancel()
	if len(a.attempts) == 0 {
		select {
		case a.idle <- struct{}{}:
		default:
		}
	}
}

// finish ends a running attempt and starts the most urgent one that waits.
func (a *Agent) finish(at *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.removeAttempt(at)
	a.running--
	if len(a.waitQueue) == 0 {
		return
	}
	next := heap.Pop(&a.waitQueue).(*attempt)
	next.stopWatchingContext()
	a.start(next)
}

func (a *Agent) cancel(s *peer.Session, id wire.AttemptID) {
	if at := a.attemptOf(s, id); at != nil {
		a.counters.cancelled.Inc(1)
		at.cancel()
	}
}

func (a *Agent) credit(s *peer.Session, c *wire.Credit) {
	if at := a.attemptOf(s, c.Attempt); at != nil {
		at.window.add(c.Bytes)
	}
}

// attemptOf returns the attempt if it came by s.
func (a *Agent) attemptOf(s *peer.Session, id wire.AttemptID) *attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := a.attempts[id]
	if at == nil || at.session != s {
		return nil
	}
	return at
}

// MarkReady lets the agent take work, unless it is leaving.
func (a *Agent) MarkReady() {
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

// StartDraining refuses all new work from now on. What was taken goes on.
func (a *Agent) StartDraining() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state = wire.UpstreamLeaving
}

// AwaitDrained waits until nothing runs or waits. The error is that of ctx.
func (a *Agent) AwaitDrained(ctx context.Context) error {
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
