// Package gateway serves callers by the routing configuration: it finds the route of a
// request, picks upstreams, sends attempts, and passes answers and streams on.
//
// # Locks
//
// Gateway.mu guards the view of upstreams and the scheduler. It is never held over I/O. The
// quarantine's lock is taken after it.
// The configuration is published as an immutable value.
package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/dispatch"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/retrybudget"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
	"github.com/sassafraspost/sassafraspost/internal/schedule"
)

// Dialect is what callers and upstreams call things. It only translates.
type Dialect struct {
	// UpstreamHeaders are the names that upstreams understand.
	UpstreamHeaders dispatch.HeaderNames
	// KeyHeader carries the caller's key; Workspace tells an upstream whose request it is.
	KeyHeader, WorkspaceHeader string
	// ResumeHeader carries the id of the last event that the caller has.
	ResumeHeader string
	// Deadline returns how long the caller waits, if it says so.
	Deadline func(http.Header) (time.Duration, bool)
}

// Config is what a Gateway needs.
type Config struct {
	Dialect Dialect
	Client  *dispatch.Client
	// DataCentre is that of this host.
	DataCentre string
	// Budget bounds the repeats of all hosts together.
	Budget retrybudget.Params
	// Fingerprints names requests the same on all hosts.
	Fingerprints quarantine.Hasher
	// Quarantine knows the requests under which upstreams ended.
	Quarantine *quarantine.Keeper
	// Now is the time since the host's start; nil is the machine's monotonic clock.
	Now     func() time.Duration
	Log     *slog.Logger
	Metrics metrics.Registry
}

// Gateway is an http.Handler for callers.
type Gateway struct {
	cfg    Config
	counts counters
	table  atomic.Pointer[routetable.Table]
	// tableKnown is closed once there is a configuration.
	tableKnown chan struct{}
	// draining is set once the host no longer wants new connections.
	draining atomic.Bool

	// mu guards the fields below.
	mu        sync.Mutex
	view      *registry.View
	scheduler *schedule.Scheduler
	// waiters holds where those that wait for a place are told of it, each with room for one.
	waiters map[*schedule.Waiter]chan schedule.Decision
	// upstreamsChanged is closed when the upstreams change.
	upstreamsChanged chan struct{}
	// cancels holds how to end the attempts that may be taken back.
	cancels map[*schedule.Ticket]context.CancelCauseFunc
}

// New returns a Gateway. Before it has a configuration, requests wait for it as long as
// the host has just started, and are refused after that.
func New(cfg Config) *Gateway {
	if started := time.Now(); cfg.Now == nil {
		cfg.Now = func() time.Duration { return time.Since(started) }
	}
	g := &Gateway{
		cfg: cfg, counts: newCounters(cfg.Metrics), tableKnown: make(chan struct{}),
		view: registry.NewView(),
		scheduler: schedule.New(schedule.Config{
			DataCentre: cfg.DataCentre, Budget: cfg.Budget, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			StartupUntil: startupWait,
		}),
		upstreamsChanged: make(chan struct{}), waiters: map[*schedule.Waiter]chan schedule.Decision{}, cancels: map[*schedule.Ticket]context.CancelCauseFunc{},
	}
	return g
}

// now is the time since the host's start.
func (g *Gateway) now() time.Duration { return g.cfg.Now() }

// clockTime returns when t was, by the same clock.
func (g *Gateway) clockTime(t time.Time) time.Duration { return g.now() - time.Since(t) }

// Table returns the configuration in force, nil before there is one.
func (g *Gateway) Table() *routetable.Table { return g.table.Load() }

// SetTable puts a configuration into force, unless a newer one is.
func (g *Gateway) SetTable(t *routetable.Table) bool {
	for {
		current := g.table.Load()
		if current != nil && current.Number >= t.Number {
			return false
		}
		if g.table.CompareAndSwap(current, t) {
			if current == nil {
				close(g.tableKnown)
			}
			return true
		}
	}
}

// StartDraining makes each answer the last one on its connection.
func (g *Gateway) StartDraining() { g.draining.Store(true) }

// Merge takes what a control host says of upstreams. It is in force when Merge returns.
func (g *Gateway) Merge(source string, all []registry.Upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.view.Merge(source, all) {
		g.updateUpstreams()
	}
}

// Lose tells that a control host can't be asked any more.
func (g *Gateway) Lose(source string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.view.Lose(source) {
		g.updateUpstreams()
	}
}

// updateUpstreams takes the candidates from the view. The caller holds mu.
func (g *Gateway) updateUpstreams() {
	serving := g.view.Serving()
	g.deliver(g.scheduler.SetUpstreams(serving, g.now()))
	for _, all := range serving {
		for _, u := range all {
			g.cfg.Quarantine.Started(quarantine.End{Upstream: u.ID, Born: u.Born}, u.Address)
		}
	}
	close(g.upstreamsChanged)
	g.upstreamsChanged = make(chan struct{})
}

// randomFraction returns a number in [0, 1).
func randomFraction() float64 { return rand.Float64() }
