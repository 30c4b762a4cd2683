package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/backpressure"
	"github.com/sassafraspost/sassafraspost/internal/control"
	"github.com/sassafraspost/sassafraspost/internal/dispatch"
	"github.com/sassafraspost/sassafraspost/internal/gateway"
	"github.com/sassafraspost/sassafraspost/internal/inbound"
	"github.com/sassafraspost/sassafraspost/internal/pause"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// upstreamDialTimeout bounds the time to open a connection to an upstream.
	upstreamDialTimeout = 500 * time.Millisecond
	// sweepInterval is how often idle connections to upstreams and old quarantine records are
	// removed, and the control hosts are told of the demand at this host.
	sweepInterval = time.Second
	// maxTrialDelay is the time over which the hosts spread the end of a quarantine. It is long
	// compared with the time in which they tell each other of a crash.
	maxTrialDelay = time.Minute
	// maxHeadBytes bounds the size of a request's head, and maxIdleTime how long a connection of a caller may be
	// idle, whatever the configuration allows. They hold where it sets no limit.
	maxHeadBytes = 64 << 10
	maxIdleTime  = 2 * time.Minute
	// drainDelay is how long new connections are accepted after the readiness check began to fail.
	// The balancer checks every second and stops sending callers after the second failure.
	drainDelay = 2500 * time.Millisecond
)

// entryRole serves callers.
type entryRole struct {
	n          *Node
	gateway    *gateway.Gateway
	client     *dispatch.Client
	follower   *follower
	callers    *http.Server
	ready      *http.Server
	isDraining atomic.Bool
}

func (n *Node) buildEntry() (role, error) {
	started := time.Now()
	keeper := quarantine.NewKeeper(quarantine.Config{
		Limits: quarantine.DefaultLimits, Now: func() time.Duration { return time.Since(started) }, Publish: n.sendSuspicions,
		TrialDelay: rand.N(maxTrialDelay), Log: n.log, Metrics: n.metrics,
	})
	n.openPool("")
	f := newFollower(n, "entry")
	leader := control.NewClientWithAddressBook(n.pool, f.controlHosts)
	client := dispatch.New(dispatch.Config{HeaderNames: n.platform.Dialect.UpstreamHeaders, DialTimeout: upstreamDialTimeout})
	e := &entryRole{n: n, client: client, gateway: gateway.New(gateway.Config{
		Dialect: n.platform.Dialect, Client: client, DataCentre: n.settings.DataCentre, DataCentreRegions: n.settings.DataCentreRegions,
		RetryBudget: n.settings.RetryBudget, RequestRetries: leader.RequestRetries, ColdBound: n.settings.ColdBound, PlanReturns: n.settings.PlanReturns, Fingerprints: quarantine.NewHasher(peerSecret), Quarantine: keeper,
		Memory: n.memory, Now: n.now, Settle: n.standstills.Settle, SilenceOf: n.silenceOf, Log: n.log, Metrics: n.metrics,
		Backpressure: gateway.Backpressure{
			Publish: n.sendNotices, RequestTokens: leader.RequestTokens,
		},
	})}
	f.mergeDepartures, f.resolveLeave = e.gateway.MergeDepartures, e.gateway.ResolveLeave
	f.mergeUpstreams, f.dropSource, f.setEntryHostCount, f.applyTable = e.gateway.Merge, e.gateway.DropSource, e.gateway.SetHostCount, e.gateway.SetTable
	f.setLoads, f.quarantine = e.gateway.SetLoads, keeper
	f.mergeNotices, f.notices = e.gateway.MergeNotices, e.gateway.Notices
	f.setEvacuations, f.setTotalDemands = e.gateway.SetEvacuations, e.gateway.SetTotalDemands
	e.follower = f
	callers, err := n.inbound.Listen(n.settings.Entry.Listen.String(), inbound.ListenerConfig{
		Name: "callers", Limits: e.callerLimits, MakeRoom: e.gateway.ShedStalled,
	})
	if err != nil {
		return nil, errors.Wrap(err, "listener for callers")
	}
	e.callers = &http.Server{Handler: e.gateway, IdleTimeout: maxIdleTime, MaxHeaderBytes: maxHeadBytes, ConnState: callers.ConnState}
	go func() { _ = e.callers.Serve(callers) }()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.platform.ReadyPath, e.serveReady)
	e.ready, err = n.serve("readiness", n.settings.Entry.Ready.String(), inbound.ReadyConnections, n.inbound.Heads(mux))
	return e, errors.Wrap(err, "listener for readiness")
}

// callerLimits returns the limits of the listener for callers: those of the configuration, within the host's own.
func (e *entryRole) callerLimits() inbound.Limits {
	limits := inbound.Limits{
		Connections: e.n.shares().Main, HeadBytes: maxHeadBytes, HeadTimeout: readHeaderTimeout, IdleTimeout: maxIdleTime,
		WriteTimeout: maxIdleTime,
	}
	t := e.gateway.Table()
	if t == nil {
		return limits
	}
	if t.Limits.HeaderBytes > 0 {
		limits.HeadBytes = min(t.Limits.HeaderBytes, maxHeadBytes)
	}
	if t.Limits.HeaderTimeout > 0 {
		limits.HeadTimeout = t.Limits.HeaderTimeout
	}
	if t.Limits.IdleTimeout > 0 {
		limits.IdleTimeout = min(t.Limits.IdleTimeout, maxIdleTime)
	}
	return limits
}

// serveReady answers the balancer's readiness check: 503 while the host is draining or has no
// configuration.
func (e *entryRole) serveReady(w http.ResponseWriter, _ *http.Request) {
	if e.isDraining.Load() || e.gateway.Table() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (e *entryRole) run(ctx context.Context) error {
	go func() {
		for ctx.Err() == nil {
			pause.For(ctx, sweepInterval)
			e.client.Sweep()
			e.follower.quarantine.Sweep()
			e.gateway.LogRetries()
			if demands := e.gateway.ReportDemands(); len(demands) > 0 {
				e.n.postToControlHosts(&wire.Hosts{Demands: demands})
			}
		}
	}()
	e.follower.run(ctx)
	return nil
}

// drain accepts callers until the balancer sends no more of them, then waits until the requests in
// progress have ended.
func (e *entryRole) drain(ctx context.Context) {
	e.isDraining.Store(true)
	e.gateway.StartDraining(ctx)
	pause.For(ctx, drainDelay)
	if err := e.callers.Shutdown(ctx); err != nil {
		e.n.log.Warn("requests were aborted at shutdown", "error", err.Error())
	}
}

func (e *entryRole) keeper() *quarantine.Keeper { return e.follower.quarantine }

func (e *entryRole) notices() []backpressure.Notice { return e.gateway.Notices() }
