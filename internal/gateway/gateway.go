// Package gateway serves callers according to the routing configuration: it finds the route of
// a request, picks upstreams, sends attempts, and forwards responses and streams.
//
// # Locks
//
// Gateway.mu guards the view of upstreams, their statements, the evacuations, the scheduler and what
// is kept for its decisions: queued requests, cancel functions and cold upstreams. It is never held during I/O; messages to other hosts are only queued. The quarantine's lock may be taken
// while mu is held, not the other way round; that of drain too. The locks of the memory budget, of a stream's backlog and
// of the watch over writes are taken while no other lock is held. The configuration is published as an
// immutable value.
package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/backpressure"
	"github.com/sassafraspost/sassafraspost/internal/dispatch"
	"github.com/sassafraspost/sassafraspost/internal/memory"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/retrybudget"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
	"github.com/sassafraspost/sassafraspost/internal/schedule"
	"github.com/sassafraspost/sassafraspost/internal/standstill"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Dialect holds the names of the header fields that callers and upstreams use, and the functions that
// read their values.
type Dialect struct {
	// UpstreamHeaders holds the names of the fields that upstreams understand.
	UpstreamHeaders dispatch.HeaderNames
	// KeyHeader carries the caller's API key. WorkspaceHeader tells an upstream which workspace
	// the request belongs to.
	KeyHeader, WorkspaceHeader string
	// ResumeHeader carries the id of the last event that the caller has received.
	ResumeHeader string
	// PriorityHeader tells an engine the priority of a request in its own queue, from 0 for the most
	// urgent to maxUpstreamPriority. It is sent to services whose requests have several priorities;
	// empty if upstreams don't have such a field.
	PriorityHeader string
	// Deadline returns how long the caller waits, and false if the caller does not say so.
	Deadline func(http.Header) (time.Duration, bool)
	// TokenCounts returns the number of prompt tokens and the maximum number of output tokens of a
	// request, and false if the caller does not state them. It may be nil.
	TokenCounts func(http.Header) (prompt, output int, ok bool)
	// SharedParts returns the ids of the parts of a request's prompt that other requests may have
	// too. It may be nil.
	SharedParts func(http.Header) []string
	// Statement returns what an upstream states about itself in a response, without the times. The
	// error names a field that can't be read; the statement holds the other ones.
	Statement func(status int, h http.Header) (backpressure.Statement, error)
}

// Config holds the parameters of a Gateway.
type Config struct {
	Dialect Dialect
	Client  *dispatch.Client
	// DataCentre is the data centre of this host.
	DataCentre string
	// DataCentreRegions holds the region of each data centre.
	DataCentreRegions map[string]string
	// RetryBudget limits the retries of all hosts together.
	RetryBudget retrybudget.Params
	// RequestRetries asks the leading control host for retries beyond those that the requests of this host
	// pay for; nil if there is none to ask.
	RequestRetries func(context.Context, *wire.RetryRequest) (*wire.Retries, error)
	// PlanReturns enables the rules for periodic load and returning callers.
	PlanReturns bool
	// Fingerprints computes request fingerprints that are the same on all hosts.
	Fingerprints quarantine.Hasher
	// Quarantine tracks the requests during which upstreams ended.
	Quarantine *quarantine.Keeper
	// Backpressure connects the host with the others that send requests to the same upstreams.
	Backpressure Backpressure
	// ColdBound limits what a cold upstream gets from all hosts together in any second.
	ColdBound backpressure.ColdBound
	// Memory counts what the host holds for callers, with times of Now; nil means no limits.
	Memory *memory.Budget
	// Settle, if set, blocks after a standstill of the host until it has had the time to read which
	// callers have left; see [standstill.Watch].
	Settle func(context.Context)
	// SilenceOf returns the time since the last message from a control host, or NoSession; nil if there
	// are no control hosts.
	SilenceOf func(controlHost string) time.Duration
	// Now returns the time since the host's start; nil means the system's monotonic clock.
	Now     func() time.Duration
	Log     *slog.Logger
	Metrics metrics.Registry
}

// Gateway is the http.Handler that serves callers.
type Gateway struct {
	cfg    Config
	counts counters
	table  atomic.Pointer[routetable.Table]
	// memory counts the bytes that the host holds for callers.
	memory *memory.Budget
	// writes finds the streams whose callers are slow.
	writes *writeWatch
	// tableKnown is closed when the first configuration is set.
	tableKnown chan struct{}
	// draining is set once the host no longer wants new connections. drain ends the requests that it can't
	// serve in time then.
	draining atomic.Bool
	drain    *drain

	// mu guards the fields below.
	mu        sync.Mutex
	view      *registry.View
	scheduler *schedule.Scheduler
	// statements holds what upstreams last stated about themselves.
	statements  *backpressure.Table
	evacuations evacuations
	// waiters holds the channel on which each queued request gets its decision. The channels
	// have a buffer of one, so that sending never blocks.
	waiters map[*schedule.Waiter]chan schedule.Decision
	// upstreamsChanged is closed and replaced when the upstreams change, or which of them accept a
	// request.
	upstreamsChanged chan struct{}
	// retriesGranted is closed and replaced when a request for retries was answered or has failed.
	retriesGranted chan struct{}
	// suspensions finds out that retries are older than they look.
	suspensions *standstill.Suspensions
	// cancels holds the cancel functions of the attempts that may be cancelled because their
	// group does not serve or their engine is slow or unresponsive.
	cancels map[*schedule.Ticket]context.CancelCauseFunc
	// cold holds the upstreams that were cold when they were last logged. coldTimer calls
	// endColdTimes when the first of them stops being cold; nil if none is cold.
	cold      map[backpressure.Incarnation]schedule.ColdUpstream
	coldTimer *time.Timer
}

// New returns a Gateway. Until it has a configuration, requests wait for one during the
// start-up phase of the host and are refused after that.
func New(cfg Config) *Gateway {
	if started := time.Now(); cfg.Now == nil {
		cfg.Now = func() time.Duration { return time.Since(started) }
	}
	if cfg.Memory == nil {
		cfg.Memory = memory.NewBudget(memory.LimitsFor(0))
	}
	if cfg.Backpressure.RequestTokens == nil {
		cfg.Backpressure.RequestTokens = func(context.Context, *wire.TokenRequest) (*wire.Tokens, error) {
			return nil, verdict.New(verdict.NotRun, verdict.CodeNoQuorum, "there are no control hosts")
		}
	}
	if cfg.SilenceOf == nil {
		cfg.SilenceOf = func(string) time.Duration { return NoSession }
	}
	if cfg.RequestRetries == nil {
		cfg.RequestRetries = func(context.Context, *wire.RetryRequest) (*wire.Retries, error) {
			return nil, verdict.New(verdict.NotRun, verdict.CodeNoQuorum, "there are no control hosts")
		}
	}
	g := &Gateway{
		cfg: cfg, counts: newCounters(cfg.Metrics), tableKnown: make(chan struct{}),
		memory: cfg.Memory, writes: newWriteWatch(), drain: newDrain(),
		view: registry.NewView(), statements: backpressure.NewTable(),
		scheduler: schedule.New(schedule.Config{
			DataCentre: cfg.DataCentre, DataCentreRegions: cfg.DataCentreRegions, RetryBudget: cfg.RetryBudget,
			Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), StartupUntil: startupWait, PlanReturns: cfg.PlanReturns,
		}),
		retriesGranted: make(chan struct{}), suspensions: standstill.NewSuspensions(),
		upstreamsChanged: make(chan struct{}), waiters: map[*schedule.Waiter]chan schedule.Decision{},
		cancels: map[*schedule.Ticket]context.CancelCauseFunc{},
	}
	metrics.NewRegisteredFunctionalGauge("gateway.memory.held-bytes", cfg.Metrics, func() int64 { return g.memory.Held() })
	cfg.Client.OnResponse(g.observe)
	return g
}

// now returns the time since the host's start.
func (g *Gateway) now() time.Duration { return g.cfg.Now() }

// clockTime converts t to the time since the host's start.
func (g *Gateway) clockTime(t time.Time) time.Duration { return g.now() - time.Since(t) }

// Table returns the current configuration, or nil if there is none yet.
func (g *Gateway) Table() *routetable.Table { return g.table.Load() }

// SetTable makes t the current configuration, unless the current one has the same or a higher
// number. It reports whether it did.
func (g *Gateway) SetTable(t *routetable.Table) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	current := g.table.Load()
	if current != nil && current.Number >= t.Number {
		return false
	}
	// Before the table is used, since requests must keep its limits.
	g.setColdParams(t)
	g.drain.retainRoutes(t)
	g.table.Store(t)
	if current == nil {
		close(g.tableKnown)
	}
	return true
}

// StartDraining makes the gateway close each caller's connection after its next response. Until ctx ends, by when the
// host shuts down, it refuses what it can't serve in time, as not run, and gives each request that has no response
// by then a final one.
func (g *Gateway) StartDraining(ctx context.Context) {
	g.draining.Store(true)
	g.drain.begin(ctx)
	go g.drain.run(ctx)
}

// Merge applies what a control host reports about upstreams. The change has taken effect when
// Merge returns, except for records that registry.ErrAmbiguous is returned for.
func (g *Gateway) Merge(source string, all []registry.Upstream) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, id := range g.view.Contradicted(all) {
		g.counts.increment("departures.contradicted")
		g.cfg.Log.Warn("upstream that is gone is listed as ready", "upstream", id, "from", source)
	}
	before := g.view.ReadyAmong(departing(all))
	changed, err := g.view.Merge(source, all, g.now())
	if changed {
		g.updateUpstreams()
	}
	g.logDeparted(source, before)
	return err
}

// departing returns the IDs of the upstreams that a list has as draining or gone. Several records of one
// upstream follow each other.
func departing(all []registry.Upstream) []string {
	var out []string
	for _, u := range all {
		if u.State != registry.Ready {
			out = append(out, u.ID)
		}
	}
	return slices.Compact(out)
}

// logDeparted logs which of the upstreams that were ready before are so no longer, since a control host
// has said so. The caller holds mu.
func (g *Gateway) logDeparted(source string, before []registry.Upstream) {
	for _, u := range before {
		if report := g.view.LastReport(u.ID, u.StartedAt, g.now()); report.State != registry.Ready {
			g.cfg.Log.Info("upstream departs", "upstream", u.ID, "state", report.State, "from", source)
		}
	}
}

// MergeDepartures applies the departures of which a control host does not know the incarnation.
func (g *Gateway) MergeDepartures(source string, all []registry.Departure) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ids := make([]string, 0, len(all))
	for _, d := range all {
		ids = append(ids, d.ID)
	}
	before := g.view.ReadyAmong(ids)
	if g.view.MergeDepartures(all) {
		g.updateUpstreams()
	}
	g.logDeparted(source, before)
}

// ResolveLeave returns the incarnation of an upstream that leaves by a call without its start time, or
// 0 if it is not known. The error is registry.ErrAmbiguous.
func (g *Gateway) ResolveLeave(id string) (startedAt int64, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.Resolve(id, g.now())
}

// DropSource records that a control host can't be reached any more.
func (g *Gateway) DropSource(source string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.view.DropSource(source) {
		g.updateUpstreams()
	}
}

// updateUpstreams passes the serving upstreams of the view to the scheduler and the quarantine.
// The scheduler gets none that is in an evacuated data centre. The caller holds mu.
func (g *Gateway) updateUpstreams() {
	g.statements.Retain(func(i backpressure.Incarnation) bool { return g.view.Contains(i.Upstream, i.StartedAt) }, g.now())
	for _, n := range g.statements.Notices(g.now()) {
		if n.IsLeaving {
			g.view.MarkLeaving(n.Incarnation.Upstream, n.Incarnation.StartedAt)
		}
	}
	serving := g.view.Serving()
	g.deliver(g.scheduler.SetUpstreams(g.withoutEvacuated(serving), g.now()))
	g.refuseWaitersOfClosed()
	g.limitUpstreams()
	for _, all := range serving {
		for _, u := range all {
			g.cfg.Quarantine.UpstreamStarted(quarantine.Incarnation{Upstream: u.ID, StartedAt: u.StartedAt}, u.Address)
		}
	}
	g.upstreamsHaveChanged()
	g.updateColdState()
}

// randomFraction returns a random number in [0, 1).
func randomFraction() float64 { return rand.Float64() }
