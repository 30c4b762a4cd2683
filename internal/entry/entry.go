// Package entry serves callers on an entry host: it authorizes, admits and routes
// each request, runs it at an upstream by way of the upstream's agent, and hands the
// whole answer back, or an error that says whether the request may have run.
//
// An idempotent call may be tried again, within a budget. A non-idempotent one is
// claimed first and dispatched once.
package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// ServiceKind tells model pools and plain services apart.
type ServiceKind uint8

const (
	// KindModel is a model pool that answers the completion API.
	KindModel ServiceKind = iota + 1
	// KindPlain is a plain service under its own paths.
	KindPlain
)

// Lookup is what a Catalog finds a Plan by.
type Lookup struct {
	// TokenHash is the SHA-256 of the caller's bearer token.
	TokenHash [32]byte
	Method    string
	// Path has no query.
	Path string
	// Model is the model named in the body of a completion call.
	Model string
}

// Plan is how one request is to be served.
type Plan struct {
	Workspace string
	// Service is the name of the document that the plan comes from.
	Service string
	Kind    ServiceKind
	Pool    string
	Version string
	Model   string
	// Idempotent calls may run more than once.
	Idempotent bool
	// Resumable answers go on at an offset on another upstream.
	Resumable bool
	// Deadline is how long the whole answer may take; zero means Config.MaxDeadline.
	Deadline time.Duration
	// Urgency (RFC 9218) is what a caller gets who names none, and the most urgent
	// that a caller may name.
	Urgency uint8
}

// Catalog finds plans. Errors are *verdict.Error with CodeUnauthorized,
// CodeForbidden or CodeNotFound.
type Catalog interface {
	Resolve(l Lookup) (Plan, error)
}

// AdmitRequest describes a request that wants to be let in.
type AdmitRequest struct {
	Workspace string
	Service   string
	Pool      string
	Urgency   uint8
	// Cost is the expected work: prompt bytes and tokens asked for.
	Cost     uint64
	Deadline time.Duration
}

// Admission lets requests in or refuses them at once, with a *verdict.Error that
// says NotRun and a RetryAfter. It may wait for a turn as long as ctx lasts.
// release is called once when the request ends.
type Admission interface {
	Admit(ctx context.Context, r AdmitRequest) (release func(), err error)
}

// PickRequest asks for an upstream.
type PickRequest struct {
	Pool    string
	Version string
	// Prefixes are the hashes of the prompt's prefixes, shortest first.
	Prefixes []uint64
	// Tried are the names of the upstreams that this request was sent to before.
	Tried []string
}

// Outcome is how an attempt went.
type Outcome struct {
	Verdict verdict.Verdict
	// OK tells that the answer was whole and is not of the status class 5xx.
	OK bool
	// Code is why there is no whole answer; empty where the status says so.
	Code verdict.Code
	// FirstByte is the time from dispatch to the first body byte, zero if none came.
	FirstByte time.Duration
	Bytes     uint64
}

// Pick is an upstream chosen for one attempt.
type Pick struct {
	Upstream wire.Upstream
	// Done is called once when the attempt ends.
	Done func(Outcome)
}

// Router chooses upstreams. Its error is a *verdict.Error that says NotRun.
type Router interface {
	Pick(r PickRequest) (Pick, error)
}

// Claims commits claims of non-idempotent calls. An error of Claim that is a
// *verdict.Error with NotRun means that nothing is held by this attempt.
type Claims interface {
	Claim(ctx context.Context, r *wire.ClaimRequest) (*wire.ClaimReply, error)
	Finish(ctx context.Context, r *wire.FinishRequest) error
}

// Quarantine knows the requests under which upstreams ended. quarantine.Keeper implements it.
type Quarantine interface {
	Verdict(f quarantine.Fingerprint) quarantine.Verdict
	// Ended tells that an upstream ended under a run, Answered that a request was answered
	// whole, Refused that one was refused since it is held.
	Ended(r quarantine.Run)
	Answered(f quarantine.Fingerprint)
	Refused()
}

// noQuarantine holds nothing against any request.
type noQuarantine struct{}

func (noQuarantine) Verdict(quarantine.Fingerprint) quarantine.Verdict { return quarantine.Free }
func (noQuarantine) Ended(quarantine.Run)                              {}
func (noQuarantine) Answered(quarantine.Fingerprint)                   {}
func (noQuarantine) Refused()                                          {}

// Sessions gives sessions with agents. peer.Pool implements it.
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

// Config is what a Server needs. Zero values mean the defaults.
type Config struct {
	Catalog   Catalog
	Admission Admission
	Router    Router
	Claims    Claims
	Sessions  Sessions
	// Quarantine knows the requests under which upstreams ended, by Fingerprints.
	Quarantine   Quarantine
	Fingerprints quarantine.Hasher
	Metrics      metrics.Registry

	// MaxInFlight bounds the requests served at once.
	MaxInFlight int
	// MaxBuffered bounds the bytes of bodies and answers that all requests hold
	// together. A request that does not fit is refused at once.
	MaxBuffered int64
	// MaxBody bounds a request's body, in bytes.
	MaxBody int64
	// MaxResponse bounds the bytes of an answer that is held back until it is whole.
	MaxResponse int
	// MaxRecorded bounds the body of an answer that is recorded for resends, in bytes.
	MaxRecorded int
	// MaxDeadline bounds the time of one request.
	MaxDeadline time.Duration
	// Window is how many bytes an agent may be ahead of the caller.
	Window uint64
	// MaxAttempts bounds the attempts of one idempotent request.
	MaxAttempts int
	// RetryAfter is what a caller is told to wait where nobody knows better.
	RetryAfter time.Duration
	// RetryRatio is the share of recent requests that may be tried again after they
	// may have run.
	RetryRatio float64
	// FirstByteTimeout, if set, gives an idempotent attempt up that has no answer by
	// then, so that another upstream can be tried.
	FirstByteTimeout time.Duration
	// FinishTimeout is how long the answer of a non-idempotent call waits until its
	// outcome is recorded.
	FinishTimeout time.Duration
	// WriteTimeout ends the request of a caller that takes nothing for that long.
	WriteTimeout time.Duration
}

// Server serves callers. It is an http.Handler.
type Server struct {
	cfg            Config
	counters       counters
	activeAttempts activeAttempts
	memory         byteBudget
	// backgroundFinishes has room for the outcomes that are recorded beside their answers.
	backgroundFinishes chan struct{}

	// mu guards budget, draining, ready and running.
	mu          sync.Mutex
	retryBudget RetryBudget
	draining    bool
	notReady    bool
	running     int
	idle        chan struct{}
}

// New returns a Server that is ready.
func New(cfg Config) *Server {
	cfg = cfg.withDefaults()
	return &Server{
		cfg:            cfg,
		counters:       newCounters(cfg.Metrics),
		activeAttempts: activeAttempts{byID: make(map[wire.AttemptID]*activeAttempt)},
		retryBudget:    NewRetryBudget(cfg.RetryRatio),
		idle:           make(chan struct{}, 1),
		memory:         byteBudget{available: cfg.MaxBuffered},

		backgroundFinishes: make(chan struct{}, maxBackgroundFinishes),
	}
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxInFlight, DefaultMaxInFlight)
	setDefault(&c.MaxBuffered, DefaultMaxBuffered)
	setDefault(&c.MaxBody, DefaultMaxBody)
	setDefault(&c.MaxResponse, DefaultMaxResponse)
	setDefault(&c.MaxRecorded, DefaultMaxRecorded)
	setDefault(&c.MaxDeadline, DefaultMaxDeadline)
	setDefault(&c.Window, DefaultWindow)
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

type counters struct {
	requests, retries, resumed, replayed, dropped, cancelled metrics.Counter
	aborted, unrecorded, granted                             metrics.Counter
	byVerdict                                                [verdict.Ran + 1]metrics.Counter
	firstByte                                                metrics.Histogram
}

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

// ReadyPath tells the platform's balancer whether to send callers here.
const ReadyPath = "/readyz"

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == ReadyPath {
		s.serveReady(w)
		return
	}
	s.counters.requests.Inc(1)
	c := newCall(s, w, r)
	if err := s.beginRequest(); err != nil {
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

func (s *Server) beginRequest() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return notRun(verdict.CodeLeaving, "entry host is shutting down").WithRetryAfter(s.cfg.RetryAfter)
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

func (s *Server) mayRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryBudget.Withdraw()
}

// SetReady sets what ReadyPath says. A shutdown that sets it false some time before
// Drain lets the platform's balancer move on first.
func (s *Server) SetReady(ready bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notReady = !ready
}

// Drain refuses new requests with NotRun and waits until all running ones, streams
// included, have ended. The error is that of ctx. It runs beside
// http.Server.Shutdown: requests on kept connections still come in here.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for {
		s.mu.Lock()
		n := s.running
		s.mu.Unlock()
		if n == 0 {
			return nil
		}
		select {
		case <-s.idle:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "entry: %d requests still run", n)
		}
	}
}

func notRun(code verdict.Code, text string) *verdict.Error {
	return verdict.New(verdict.NotRun, code, text)
}
