package daemon

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/catalog"
	"github.com/sassafraspost/sassafraspost/internal/control"
	"github.com/sassafraspost/sassafraspost/internal/directory"
	"github.com/sassafraspost/sassafraspost/internal/entry"
	"github.com/sassafraspost/sassafraspost/internal/inbound"
	"github.com/sassafraspost/sassafraspost/internal/pause"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/routing"
	"github.com/sassafraspost/sassafraspost/internal/settings"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// drainDelay is how long an entry host that shuts down accepts callers after its readiness check
// began to fail, so that the platform's load balancer has time to stop sending them.
const drainDelay = time.Second

// sweepInterval is how often expired quarantine records are removed.
const sweepInterval = time.Minute

// entryRole accepts the requests of callers and dispatches them to upstreams.
type entryRole struct {
	server    *entry.Server
	callers   *server
	directory *directory.Service
	follower  *catalog.Follower
	admitter  *admitter
	// quarantine tracks the requests during which upstreams crashed. entryPeers are the names of
	// the other entry hosts of the data centre, which receive its suspicions.
	quarantine *quarantine.Keeper
	entryPeers []string
}

func (d *Daemon) buildEntry() (role, error) {
	set := d.set.Entry
	r := &entryRole{}
	store := catalog.NewStore(d.log, d.metrics)
	entries := func() []directory.Entry { return r.directory.Entries() }
	router := routing.NewRouter(routing.Config{
		Policy:           routing.DefaultPolicy(),
		Entries:          entries,
		Now:              d.now,
		Rand:             rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		PrefixIndexLimit: set.PrefixCacheSize,
	})
	hosts, otherEntryHosts := entryHosts(d.set.Host.Name, set.Entries)
	r.directory = directory.NewService(directory.ServiceConfig{
		Self:        d.set.Host.Name,
		Hosts:       hosts,
		Incarnation: d.incarnation,
		Pool:        d.pool,
		Now:         d.now,
		Log:         d.log,
		Metrics:     d.metrics,
		OnEvents:    router.ApplyCacheEvents,
	})
	r.follower = catalog.NewFollower(catalog.FollowerConfig{
		Store:        store,
		Pool:         d.pool,
		ControlHosts: addresses(set.ControlHosts),
		EntryPeers:   otherEntryHosts,
		Evacuations:  router.Evacuations,
		SetEvacuations: func(source string, m *wire.Evacuations) {
			if router.SetEvacuations(m) {
				d.log.Warn("evacuations in force", "evacuated", m.DataCentres, "index", m.Index, "from", source)
				metrics.GetOrRegisterCounter("evacuations.changed", d.metrics).Inc(1)
				metrics.GetOrRegisterGauge("evacuations.data-centres", d.metrics).Update(int64(len(m.DataCentres)))
			}
		},
		Self:    wire.ActiveRevision{Host: d.set.Host.Name, DataCentre: d.set.Host.DataCentre, Role: "entry"},
		Log:     d.log,
		Metrics: d.metrics,
	})
	r.admitter = d.newAdmitter(set, store, hosts, entries)
	for _, h := range hosts {
		if h.Name != d.set.Host.Name {
			r.entryPeers = append(r.entryPeers, h.Name)
		}
	}
	r.quarantine = quarantine.NewKeeper(quarantine.Config{
		Limits: quarantine.DefaultLimits, Now: d.now, Log: d.log, Metrics: d.metrics,
		Publish: func(updates []quarantine.Suspicion) { r.sendSuspicions(d.pool.Sessions(), updates) },
	})
	r.server = entry.New(entry.Config{
		Catalog:      resolver{store},
		Admission:    r.admitter,
		Router:       routerAdapter{router},
		Claims:       control.NewClient(d.pool, addresses(set.ControlHosts)),
		Sessions:     d.pool,
		Quarantine:   r.quarantine,
		Fingerprints: quarantine.NewHasher(string(d.set.Peer.Secret)),
		Metrics:      d.metrics,
		Settle:       d.standstills.Settle,
		MaxInFlight:  atMost(set.MaxSessions, d.machine.Shares().Requests),
		Memory:       d.memory,
		Now:          d.now,
		MaxBody:      int64(set.MaxBody),
		MaxDeadline:  set.RequestTimeout,
		RetryRatio:   set.RetryBudget,
	})
	r.server.SetReady(false)
	var err error
	callers := entry.NewHTTPServer(r.server, entry.HTTPLimits{
		MaxHeader:   int(set.MaxHeader),
		IdleTimeout: set.IdleTimeout,
	})
	limits := inbound.Limits{
		Connections: atMost(set.MaxSessions, d.machine.Shares().HTTP2), HeadBytes: int64(set.MaxHeader),
		HeadTimeout: readHeaderTimeout, IdleTimeout: set.IdleTimeout, WriteTimeout: entry.DefaultWriteTimeout,
	}
	r.callers, err = d.serveWith(set.Listen.String(), callers, set.TLS, inbound.ListenerConfig{
		Name: "callers", Limits: func() inbound.Limits { return limits }, MakeRoom: r.server.ShedStalled,
		ReceiveBuffer: inbound.HTTP2ReceiveBuffer,
	})
	return r, err
}

// atMost returns the smaller one of a configured limit and a share, which does not limit if it is 0.
func atMost(limit, share int) int {
	if share == 0 {
		return limit
	}
	return min(limit, share)
}

func entryHosts(self string, entries []settings.EntryHost) (hosts []directory.Host, others []string) {
	for _, e := range entries {
		hosts = append(hosts, directory.Host{Name: e.Name, Address: e.Addr.String()})
		if e.Name != self {
			others = append(others, e.Addr.String())
		}
	}
	return hosts, others
}

// onSessionUp subscribes to the suspicions and evacuations of a control host, and sends this host's
// suspicions to the other end of the session. A suspicion records a request during which upstreams
// crashed.
func (r *entryRole) onSessionUp(s *peer.Session) {
	if s.Remote().Replica != "" {
		_ = s.Post(&wire.Attach{Role: "callers"})
	}
	r.sendSuspicions([]*peer.Session{s}, r.quarantine.All())
}

// sendSuspicions sends suspicions over those sessions whose other end needs them.
func (r *entryRole) sendSuspicions(sessions []*peer.Session, suspicions []quarantine.Suspicion) {
	if len(suspicions) == 0 {
		return
	}
	receivers := r.suspicionReceivers()
	for _, s := range sessions {
		if all := receivers.choose(s.Remote(), suspicions); len(all) > 0 {
			// An error is ignored: all suspicions are sent again when the next session
			// with this host begins.
			_ = s.Post(&wire.Suspicions{All: all})
		}
	}
}

func (r *entryRole) suspicionReceivers() *suspicionReceivers {
	receivers := &suspicionReceivers{entryPeers: r.entryPeers, pools: make(map[string]string)}
	for _, e := range r.directory.Entries() {
		receivers.pools[e.Upstream.Name] = e.Upstream.Pool
	}
	return receivers
}

func (r *entryRole) handlePeer(s *peer.Session, call uint64, m wire.Message) bool {
	if all, ok := m.(*wire.Suspicions); ok {
		r.quarantine.Merge(all.All)
		return true
	}
	return r.server.HandlePeer(s, m) || r.admitter.handlePeer(s, m) || r.directory.HandlePeer(s, call, m) || r.follower.HandlePeer(s, call, m)
}

func (r *entryRole) run(ctx context.Context) error {
	go r.follower.Run(ctx)
	go r.admitter.run(ctx)
	go func() {
		for ctx.Err() == nil {
			pause.For(ctx, sweepInterval)
			r.quarantine.Sweep()
		}
	}()
	go func() {
		select {
		case <-ctx.Done():
		case <-r.follower.Ready():
			r.server.SetReady(true)
		}
	}()
	r.directory.Run(ctx)
	return nil
}

// drain gives the platform's load balancer time to stop sending callers, then refuses new requests
// until all running ones have ended. It closes the listener last, because a refusal is a response
// too and must be sent completely.
func (r *entryRole) drain(ctx context.Context) error {
	r.server.SetReady(false)
	select {
	case <-time.After(drainDelay):
	case <-ctx.Done():
	}
	if err := r.server.Drain(ctx); err != nil {
		return err
	}
	return r.callers.shutdown(ctx)
}

// routerAdapter implements entry.Router with a routing.Router.
type routerAdapter struct{ router *routing.Router }

// Pick implements entry.Router.
func (a routerAdapter) Pick(r entry.PickRequest) (entry.Pick, error) {
	choice, err := a.router.Pick(&routing.Request{
		Pool:     r.Pool,
		Version:  r.Version,
		Prefixes: r.Prefixes,
		Tried:    r.Tried,
	})
	if err != nil {
		return entry.Pick{}, err
	}
	maySend := func() bool { return a.router.MaySend(choice.Upstream) }
	return entry.Pick{Upstream: choice.Upstream, HasAlternative: choice.HasAlternative, MaySend: maySend, Done: func(o entry.Outcome) {
		isNeutral := !o.OK && isNeutralForHealth(o.Code)
		choice.Done(routing.Outcome{HasFailed: !o.OK && !isNeutral, IsNeutral: isNeutral})
	}}, nil
}

// isNeutralForHealth reports whether an attempt failed for a reason that says nothing about the
// health of the upstream.
func isNeutralForHealth(code verdict.Code) bool {
	return code == verdict.CodeCancelled || code == verdict.CodeOverloaded
}

func addresses(list []netip.AddrPort) []string {
	out := make([]string, 0, len(list))
	for _, a := range list {
		out = append(out, a.String())
	}
	return out
}
