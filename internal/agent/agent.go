// Package agent implements the process on an upstream host that receives dispatched requests
// from the entry hosts, sends them to its upstream and returns the responses.
//
// It refuses a request with the verdict NotRun only if no byte of the request can have reached
// the upstream. It marks a response as complete only if the upstream itself marked its end.
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

// Default values of Config.
const (
	DefaultCapacity    = 32
	DefaultQueueLength = 64
	DefaultDedupSize   = 65536
	DefaultRetryAfter  = time.Second
)

// Config holds the parameters of an Agent. A zero value selects the default.
type Config struct {
	// Identity must have Name, DataCentre, Address, Incarnation, Pool, Version, Role and
	// Group set. The agent fills in the other fields.
	Identity wire.Upstream
	// URL is the base URL of the upstream, such as "http://127.0.0.1:8000".
	URL string
	// IsEngine is set if the upstream is a model engine, which reports load and cache events.
	IsEngine bool
	// Capacity is the maximum number of requests that run at once. QueueLength is the maximum
	// number of requests that wait; a negative value means that none may wait.
	Capacity    int
	QueueLength int
	// DedupSize is the number of attempts and the number of claims that are remembered, so
	// that none of them runs twice. They need not be remembered across restarts: a restarted
	// agent has a new incarnation and refuses dispatches for the previous one.
	DedupSize int
	// RetryAfter is how long a refused caller is asked to wait before it retries.
	RetryAfter time.Duration
	// Recorder, if set, stores the outcomes of non-idempotent calls that could not be
	// delivered to an entry host, so that a caller that resends the call gets the response.
	Recorder answer.Recorder
	// OnAbandoned, if set, is called when an attempt that the upstream may still be executing ends
	// because its session was lost, its caller left or its deadline passed. If the upstream
	// crashes under it, the entry host is not told. ran is how long the attempt had been running.
	OnAbandoned func(d *wire.Dispatch, ran time.Duration)
	// OnUpstreamEnded, if set, is called when the upstream was found to have ended, unless the
	// agent is draining. at is the time that responses report as UpstreamCrashedAt. It can be
	// called repeatedly for one end.
	OnUpstreamEnded func(at int64)
	// Settle, if set, blocks after a standstill of the process until it has had the time to read which
	// attempts are cancelled; see [standstill.Watch].
	Settle  func(context.Context)
	Metrics metrics.Registry
}

// Agent forwards requests to one upstream.
type Agent struct {
	cfg       Config
	baseURL   *url.URL
	transport *http.Transport
	counters  counters
	monitor   upstreamMonitor
	// undelivered is a semaphore for the responses that are kept until they count as
	// delivered.
	undelivered chan struct{}

	// mu guards the fields below.
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
	// restUntil is when the rest ends that the upstream has asked for.
	restUntil time.Time
}

type counters struct {
	accepted, refused, duplicates, incomplete, cancelled, unreported, upstreamEnds, rests metrics.Counter
}

// New returns an Agent in the state UpstreamStarting.
func New(cfg Config) (*Agent, error) {
	base, err := url.Parse(cfg.URL)
	if err != nil || base.Host == "" {
		return nil, errors.Errorf("agent: invalid upstream URL %q", cfg.URL)
	}
	cfg = cfg.withDefaults()
	return &Agent{
		cfg:          cfg,
		baseURL:      base,
		transport:    newTransport(),
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
		rests:        metrics.GetOrRegisterCounter("agent.rests", r),
	}
}

// HandlePeer handles Dispatch, Cancel and Credit messages and reports whether m was one of
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
		// The first dispatch of the attempt gets the response. Refusing the duplicate could
		// report an attempt as not run while it is running.
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
	accepted := newAttempt(s, d)
	s.StartProbing()
	a.attempts[d.Attempt] = accepted
	if a.running < a.cfg.Capacity {
		a.start(accepted)
		return
	}
	a.enqueue(accepted)
}

// checkDispatch returns the reason to refuse d, or nil if d is accepted. The caller must hold mu.
func (a *Agent) checkDispatch(d *wire.Dispatch) *verdict.Error {
	id := a.cfg.Identity
	switch {
	case d.Claim != nil && a.seenClaims.has(*d.Claim):
		// A call with this idempotency key was accepted before, so it may have run.
		return verdict.New(verdict.MayHaveRun, verdict.CodeConflict, "claim was dispatched before")
	case d.Upstream != id.Name:
		return notRun(verdict.CodeNoUpstream, "another upstream is meant")
	case d.Incarnation != id.Incarnation:
		return notRun(verdict.CodeNoUpstream, "another start of the agent is meant")
	case a.state == wire.UpstreamDraining:
		return notRun(verdict.CodeDraining, "upstream is leaving").WithRetryAfter(a.cfg.RetryAfter)
	case a.state != wire.UpstreamReady:
		return notRun(verdict.CodeNoUpstream, "upstream is not ready").WithRetryAfter(a.cfg.RetryAfter)
	case a.running >= a.cfg.Capacity && d.MayTurnAway:
		return notRun(verdict.CodeOverloaded, "upstream is busy").WithRetryAfter(a.cfg.RetryAfter)
	case a.running >= a.cfg.Capacity && len(a.waitQueue) >= a.cfg.QueueLength:
		return notRun(verdict.CodeOverloaded, "upstream's queue is full").WithRetryAfter(a.cfg.RetryAfter)
	}
	return a.checkRest()
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
		UpstreamCrashedAt: upstreamEndedAt(e),
	}
	if s.Post(m) != nil {
		a.counters.unreported.Inc(1)
	}
}

// start runs an attempt in a new goroutine. The caller must hold mu.
func (a *Agent) start(at *attempt) {
	a.running++
	at.started = true
	go a.run(at)
}

// enqueue adds an attempt to the wait queue. The caller must hold mu.
func (a *Agent) enqueue(at *attempt) {
	a.arrivals++
	at.arrivalNumber = a.arrivals
	heap.Push(&a.waitQueue, at)
	at.stopWatchingContext = context.AfterFunc(at.ctx, func() { a.dropWaiting(at) })
}

// dropWaiting refuses an attempt whose deadline passed, whose caller disconnected or whose
// session was lost while it waited.
func (a *Agent) dropWaiting(at *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at.started {
		return
	}
	heap.Remove(&a.waitQueue, at.heapIndex)
	code := verdict.CodeCancelled
	if errors.Is(at.ctx.Err(), context.DeadlineExceeded) {
		code = verdict.CodeDeadline
	}
	a.refuseAccepted(at, notRun(code, "ended while it waited").WithRetryAfter(a.cfg.RetryAfter))
}

// removeAttempt releases what an attempt holds and signals idle after the last attempt. The
// caller must hold mu.
func (a *Agent) removeAttempt(at *attempt) {
	delete(a.attempts, at.dispatch.Attempt)
	at.session.StopProbing()
	at.cancel()
	if len(a.attempts) == 0 {
		select {
		case a.idle <- struct{}{}:
		default:
		}
	}
}

// finish removes a running attempt and starts the most urgent waiting one.
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

// attemptOf returns the attempt with this ID if it was received over s, nil otherwise.
func (a *Agent) attemptOf(s *peer.Session, id wire.AttemptID) *attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := a.attempts[id]
	if at == nil || at.session != s {
		return nil
	}
	return at
}

// MarkReady makes the agent accept work, unless it is draining.
func (a *Agent) MarkReady() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state == wire.UpstreamStarting {
		a.state = wire.UpstreamReady
	}
}

// RaiseIncarnation sets the agent's incarnation above known, the highest one that the directory
// has seen for an upstream of this name. Incarnations are taken from the clock, so an agent that
// starts after the clock was set back has a lower one than its predecessor. Dispatches that name
// the lower incarnation are refused from now on.
func (a *Agent) RaiseIncarnation(known uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cfg.Identity.Incarnation = max(a.cfg.Identity.Incarnation, known+1)
}

// StartDraining makes the agent refuse all new work. Accepted attempts continue.
func (a *Agent) StartDraining() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state = wire.UpstreamDraining
}

// AwaitDrained waits until no attempt is running or waiting. It returns an error only if ctx
// ends first.
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
			return errors.Wrap(ctx.Err(), "agent: "+strconv.Itoa(n)+" attempts are still running")
		}
	}
}
