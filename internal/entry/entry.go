// Package entry is the reverse proxy of an entry host, which is a host that accepts requests from
// callers. It authorizes, admits and routes each request, sends it to the agent process in front
// of an upstream, and returns either the complete response or an error that says whether the
// request may have run.
//
// An idempotent call may be retried, within a retry budget. A non-idempotent call carries an
// idempotency key. The key is first claimed in the replicated state of the control hosts, and
// only the attempt that holds the claim is dispatched, once.
package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/memory"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// ServiceKind distinguishes model pools from plain services.
type ServiceKind uint8

const (
	// KindModel is a pool of model engines behind the completion API.
	KindModel ServiceKind = iota + 1
	// KindPlain is any other HTTP service; it defines its own paths.
	KindPlain
)

// Lookup holds the properties of a request that determine its Plan.
type Lookup struct {
	// TokenHash is the SHA-256 of the caller's bearer token.
	TokenHash [32]byte
	Method    string
	// Path is the path without the query.
	Path string
	// Model is the model named in the body of a completion call.
	Model string
}

// Plan says how to serve one request.
type Plan struct {
	Workspace string
	// Service is the name of the configuration document that the plan comes from.
	Service string
	Kind    ServiceKind
	Pool    string
	Version string
	Model   string
	// Idempotent is set for calls that may run more than once.
	Idempotent bool
	// Resumable is set if another upstream can continue a broken response at an offset.
	Resumable bool
	// Deadline is how long the complete response may take; zero means Config.MaxDeadline.
	Deadline time.Duration
	// Urgency (RFC 9218; lower is more urgent) is the default for requests without a priority,
	// and the most urgent value that a caller may set.
	Urgency uint8
}

// Catalog finds the Plan of a request. Its errors are of type *verdict.Error with
// CodeUnauthorized, CodeForbidden or CodeNotFound.
type Catalog interface {
	Resolve(l Lookup) (Plan, error)
}

// AdmitRequest describes a request to the admission control.
type AdmitRequest struct {
	Workspace string
	Service   string
	Pool      string
	Urgency   uint8
	// Cost is the expected work: the body bytes plus the requested output tokens.
	Cost     uint64
	Deadline time.Duration
}

// Admission limits the load from requests. Admit may queue a request, at most until ctx ends, and
// returns once the request may proceed. It refuses a request with a *verdict.Error that has the
// verdict NotRun and a RetryAfter. The Server calls release once, when the request ends.
type Admission interface {
	Admit(ctx context.Context, r AdmitRequest) (release func(), err error)
}

// PickRequest holds what a Router needs to choose an upstream.
type PickRequest struct {
	Pool    string
	Version string
	// Prefixes are the hashes of the prompt's prefixes, shortest first.
	Prefixes []uint64
	// Tried are the names of the upstreams of earlier attempts of this request.
	Tried []string
}

// Outcome is the result of an attempt.
type Outcome struct {
	Verdict verdict.Verdict
	// OK is set if the response was complete and its status is below 500.
	OK bool
	// Code is why the attempt failed; empty if the response was complete, whatever its status.
	Code verdict.Code
	// FirstByte is the time from dispatch to the first body byte, zero if none arrived.
	FirstByte time.Duration
	// Bytes is the number of body bytes received.
	Bytes uint64
}

// Pick is an upstream chosen for one attempt.
type Pick struct {
	Upstream wire.Upstream
	// HasAlternative is set if another upstream that was not tried yet is as suitable, apart from
	// its load.
	HasAlternative bool
	// MaySend reports whether the request may still be sent to the upstream. It is asked just
	// before that; nil means always.
	MaySend func() bool
	// Done is called once when the attempt ends.
	Done func(Outcome)
}

// Router chooses upstreams. Its errors are of type *verdict.Error with the verdict NotRun.
type Router interface {
	Pick(r PickRequest) (Pick, error)
}

// Claims commits claims of idempotency keys, so that at most one attempt runs the call of a key.
// Claim asks for the key on behalf of one attempt; Finish ends the attempt's claim and records
// its outcome. If Claim fails with a *verdict.Error with the verdict NotRun, the attempt certainly
// holds no claim.
type Claims interface {
	Claim(ctx context.Context, r *wire.ClaimRequest) (*wire.ClaimReply, error)
	Finish(ctx context.Context, r *wire.FinishRequest) error
}

// Quarantine keeps track of requests that were running on upstreams when these crashed.
// quarantine.Keeper implements it.
type Quarantine interface {
	Verdict(c quarantine.Content) quarantine.Verdict
	// The following methods report, in this order: a crash of an upstream during an attempt; a
	// request with a complete response; a request refused because it is in quarantine.
	UpstreamCrashed(r quarantine.Attempt)
	Answered(c quarantine.Content)
	CountRefusal()
}

// noQuarantine suspects no request.
type noQuarantine struct{}

func (noQuarantine) Verdict(quarantine.Content) quarantine.Verdict { return quarantine.Free }
func (noQuarantine) UpstreamCrashed(quarantine.Attempt)            {}
func (noQuarantine) Answered(quarantine.Content)                   {}
func (noQuarantine) CountRefusal()                                 {}

// Sessions returns the peer session with the agent at an address and connects if there is none.
// peer.Pool implements it.
type Sessions interface {
	Get(ctx context.Context, address string) (*peer.Session, error)
}

// Defaults of Config.
const (
	DefaultMaxInFlight   = 2048
	DefaultMaxBody       = 1 << 20
	DefaultMaxResponse   = 1 << 20
	DefaultMaxRecorded   = 64 << 10
	DefaultMaxDeadline   = 2 * time.Minute
	DefaultWindow        = 64 << 10
	DefaultMaxBuffered   = 256 << 20
	DefaultMaxAttempts   = 3
	DefaultRetryAfter    = time.Second
	DefaultRetryRatio    = 0.2
	DefaultFinishTimeout = time.Second
	DefaultSendTimeout   = time.Second
	DefaultWriteTimeout  = 30 * time.Second
)

// maxDispatchBody is the largest body that fits into a message to an agent with the largest header.
const maxDispatchBody = wire.MaxMessageBytes - 2<<20

// Config holds the dependencies and limits of a Server. Zero limits mean the defaults.
type Config struct {
	Catalog   Catalog
	Admission Admission
	Router    Router
	Claims    Claims
	Sessions  Sessions
	// Quarantine refuses requests that crashed upstreams. Fingerprints identifies a request by
	// its content. Without a Quarantine no request is refused for crashes.
	Quarantine   Quarantine
	Fingerprints quarantine.Hasher
	Metrics      metrics.Registry
	// Settle, if set, blocks after a standstill of the process until it has had the time to read which
	// callers have left; see [standstill.Watch].
	Settle func(context.Context)

	// MaxInFlight bounds the requests served at once.
	MaxInFlight int
	// Memory counts the request and response bodies that all requests together keep in memory. A request that does not
	// fit is refused. Default: a budget of DefaultMaxBuffered.
	Memory *memory.Budget
	// Now returns the time since some start, as the other users of Memory have it. Default: the start of the Server.
	Now func() time.Duration
	// MaxBody bounds a request's body, in bytes. Values above maxDispatchBody are reduced to it.
	MaxBody int64
	// MaxResponse bounds the body of a response that is buffered until it is complete, in bytes.
	MaxResponse int
	// MaxRecorded bounds the body of a response that is recorded under its idempotency key, to
	// be replayed if the caller sends the request again, in bytes.
	MaxRecorded int
	// MaxDeadline bounds the time that one request may take.
	MaxDeadline time.Duration
	// FlowWindow is the flow control window of a response: how many bytes its agent may send that
	// the caller has not taken yet.
	FlowWindow uint64
	// MaxAttempts bounds the attempts of one idempotent request.
	MaxAttempts int
	// RetryAfter is the Retry-After time of errors that have no better estimate.
	RetryAfter time.Duration
	// RetryRatio limits retries of attempts that may have run, as a ratio of recent requests.
	RetryRatio float64
	// FirstByteTimeout, if set, ends an idempotent attempt that has no response header by then,
	// so that another upstream can be tried.
	FirstByteTimeout time.Duration
	// FinishTimeout is the longest time that the response of a non-idempotent call waits for
	// its outcome to be recorded.
	FinishTimeout time.Duration
	// WriteTimeout ends the request of a caller that reads nothing for that long.
	WriteTimeout time.Duration
}

// Server is the http.Handler for the requests of callers.
type Server struct {
	cfg            Config
	counters       counters
	activeAttempts activeAttempts
	memory         *memory.Budget
	drain          drainStages
	// backgroundFinishes is a semaphore for the outcomes that are recorded in the background.
	backgroundFinishes chan struct{}

	// mu guards retryBudget, draining, notReady and running.
	mu          sync.Mutex
	retryBudget RetryBudget
	draining    bool
	notReady    bool
	running     int
	// idle receives a value when the last running request ends.
	idle chan struct{}
}

// New returns a Server that reports that it is ready.
func New(cfg Config) *Server {
	cfg = cfg.withDefaults()
	return &Server{
		cfg:            cfg,
		counters:       newCounters(cfg.Metrics),
		activeAttempts: activeAttempts{byID: make(map[wire.AttemptID]*activeAttempt)},
		retryBudget:    NewRetryBudget(cfg.RetryRatio),
		idle:           make(chan struct{}, 1),
		memory:         cfg.Memory,
		drain:          newDrainStages(),

		backgroundFinishes: make(chan struct{}, maxBackgroundFinishes),
	}
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxInFlight, DefaultMaxInFlight)
	if c.Memory == nil {
		c.Memory = memory.NewBudget(memory.Limits{Total: DefaultMaxBuffered, Connection: DefaultMaxBuffered})
	}
	if started := time.Now(); c.Now == nil {
		c.Now = func() time.Duration { return time.Since(started) }
	}
	setDefault(&c.MaxBody, DefaultMaxBody)
	c.MaxBody = min(c.MaxBody, maxDispatchBody)
	setDefault(&c.MaxResponse, DefaultMaxResponse)
	setDefault(&c.MaxRecorded, DefaultMaxRecorded)
	setDefault(&c.MaxDeadline, DefaultMaxDeadline)
	setDefault(&c.FlowWindow, DefaultWindow)
	setDefault(&c.MaxAttempts, DefaultMaxAttempts)
	setDefault(&c.RetryAfter, DefaultRetryAfter)
	setDefault(&c.RetryRatio, DefaultRetryRatio)
	setDefault(&c.FinishTimeout, DefaultFinishTimeout)
	setDefault(&c.WriteTimeout, DefaultWriteTimeout)
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Quarantine == nil {
		c.Quarantine = noQuarantine{}
	}
	return c
}

func setDefault[T int | int64 | uint64 | float64 | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

// counters are the metrics of a Server.
type counters struct {
	requests, retries, resumed, replayed, dropped, cancelled metrics.Counter
	aborted, unrecorded, granted                             metrics.Counter
	byVerdict                                                [verdict.Ran + 1]metrics.Counter
	firstByte                                                metrics.Histogram
}

// histogramSampleSize is the number of values that a histogram keeps.
const histogramSampleSize = 1028

func newCounters(r metrics.Registry) counters {
	c := counters{
		requests:   metrics.GetOrRegisterCounter("entry.requests", r),
		retries:    metrics.GetOrRegisterCounter("entry.retries", r),
		resumed:    metrics.GetOrRegisterCounter("entry.resumed", r),
		replayed:   metrics.GetOrRegisterCounter("entry.replayed", r),
		dropped:    metrics.GetOrRegisterCounter("entry.messages.dropped", r),
		cancelled:  metrics.GetOrRegisterCounter("entry.cancelled", r),
		aborted:    metrics.GetOrRegisterCounter("entry.answers.aborted", r),
		granted:    metrics.GetOrRegisterCounter("entry.claims.granted", r),
		unrecorded: metrics.GetOrRegisterCounter("entry.outcomes.unrecorded", r),
		firstByte:  metrics.GetOrRegisterHistogram("entry.first-byte-us", r, metrics.NewUniformSample(histogramSampleSize)),
	}
	for v := range c.byVerdict {
		c.byVerdict[v] = metrics.GetOrRegisterCounter("entry.verdict."+verdict.Verdict(v).String(), r)
	}
	return c
}

// ReadyPath is the path of the readiness check of the platform's load balancer.
const ReadyPath = "/readyz"

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == ReadyPath {
		s.serveReady(w)
		return
	}
	s.counters.requests.Inc(1)
	c := newCall(s, w, r)
	err := s.beginRequest()
	if err != nil && s.ShedStalled() {
		err = s.beginRequest()
	}
	if err != nil {
		w.Header().Set("Connection", "close")
		c.fail(err)
		return
	}
	defer s.endRequest()
	c.serve()
}

func (s *Server) serveReady(w http.ResponseWriter) {
	s.mu.Lock()
	ready := !s.notReady && !s.draining
	s.mu.Unlock()
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ShedStalled ends the request whose caller has made the host wait for the longest. It returns false if there is
// none.
func (s *Server) ShedStalled() bool {
	victim := s.memory.ShedStalled(s.cfg.Now())
	if victim == nil {
		return false
	}
	victim.Abort()
	return true
}

// beginRequest counts a running request, or refuses it if the server drains or runs MaxInFlight
// requests.
func (s *Server) beginRequest() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return s.drainingError()
	}
	if s.running >= s.cfg.MaxInFlight {
		return notRun(verdict.CodeOverloaded, "entry host is full").WithRetryAfter(s.cfg.RetryAfter)
	}
	s.running++
	s.retryBudget.Deposit()
	return nil
}

func (s *Server) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if s.running == 0 {
		select {
		case s.idle <- struct{}{}:
		default:
		}
	}
}

// mayRetry takes one retry from the budget, if there is one left.
func (s *Server) mayRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryBudget.Withdraw()
}

// SetReady sets what ReadyPath reports. A shutdown should set it to false some time before it
// calls Drain, so that the platform's load balancer first stops sending requests here.
func (s *Server) SetReady(ready bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notReady = !ready
}

func notRun(code verdict.Code, text string) *verdict.Error {
	return verdict.New(verdict.NotRun, code, text)
}
