package daemon

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/catalog"
	"github.com/sassafraspost/sassafraspost/internal/control"
	"github.com/sassafraspost/sassafraspost/internal/directory"
	"github.com/sassafraspost/sassafraspost/internal/entry"
	"github.com/sassafraspost/sassafraspost/internal/pause"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/routing"
	"github.com/sassafraspost/sassafraspost/internal/settings"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// balancerDelay is how long an entry host that shuts down goes on taking callers
// after it said that it is not ready, so that the platform's balancer moves on.
const balancerDelay = time.Second

// sweepInterval is how often requests are forgotten under which upstreams ended long ago.
const sweepInterval = time.Minute

// entryRole serves callers.
type entryRole struct {
	server    *entry.Server
	callers   *server
	directory *directory.Service
	follower  *catalog.Follower
	admitter  *admitter
	// quarantine knows the requests under which upstreams ended; mates are the other entry
	// hosts of the data centre, which are told of them too.
	quarantine *quarantine.Keeper
	mates      []string
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
	hosts, mates := entryHosts(d.set.Host.Name, set.Entries)
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
		Store:   store,
		Pool:    d.pool,
		Control: addresses(set.Control),
		Mates:   mates,
		Self:    wire.ActiveRevision{Host: d.set.Host.Name, DataCentre: d.set.Host.DataCentre, Role: "entry"},
		Log:     d.log,
		Metrics: d.metrics,
	})
	r.admitter = d.newAdmitter(set, store, hosts, entries)
	r.mates = mates
	r.quarantine = quarantine.NewKeeper(quarantine.Config{
		Limits: quarantine.DefaultLimits, Now: d.now, Log: d.log, Metrics: d.metrics,
		Publish: func(news []quarantine.Suspicion) { r.tell(d.pool.Sessions(), news) },
	})
	r.server = entry.New(entry.Config{
		Catalog:      resolver{store},
		Admission:    r.admitter,
		Router:       routerAdapter{router},
		Claims:       control.NewClient(d.pool, addresses(set.Control)),
		Sessions:     d.pool,
		Quarantine:   r.quarantine,
		Fingerprints: quarantine.NewHasher(string(d.set.Peer.Secret)),
		Metrics:      d.metrics,
		MaxInFlight:  set.MaxSessions,
		MaxBody:      int64(set.MaxBody),
		MaxDeadline:  set.RequestTimeout,
		RetryRatio:   set.RetryBudget,
	})
	r.server.SetReady(false)
	var err error
	callers := entry.NewHTTPServer(r.server, entry.HTTPLimits{
		MaxConns:    set.MaxSessions,
		MaxHeader:   int(set.MaxHeader),
		IdleTimeout: set.IdleTimeout,
	})
	r.callers, err = d.serveWith("callers", set.Listen.String(), callers, set.TLS)
	return r, err
}

func entryHosts(self string, entries []settings.EntryHost) (hosts []directory.Host, mates []string) {
	for _, e := range entries {
		hosts = append(hosts, directory.Host{Name: e.Name, Address: e.Addr.String()})
		if e.Name != self {
			mates = append(mates, e.Addr.String())
		}
	}
	return hosts, mates
}

// up asks a control host to be told of requests under which upstreams ended, and tells it and
// mates what this host knows.
func (r *entryRole) up(s *peer.Session) {
	if s.Remote().Replica != "" {
		_ = s.Post(&wire.Attach{Role: "callers"})
	}
	if all := r.quarantine.All(); len(all) > 0 {
		r.tell([]*peer.Session{s}, all)
	}
}

// tell tells the control hosts and mates among these of requests under which upstreams ended.
func (r *entryRole) tell(sessions []*peer.Session, news []quarantine.Suspicion) {
	m := &wire.Suspicions{All: news}
	for _, s := range sessions {
		if s.Remote().Replica != "" || slices.Contains(r.mates, s.Remote().Address) {
			// What a full queue refuses comes with the next session.
			_ = s.Post(m)
		}
	}
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

// drain first lets the platform's balancer move on, then refuses new requests until
// all running ones have ended, and closes the listener last: a refusal is an
// answer too and must not be cut.
func (r *entryRole) drain(ctx context.Context) error {
	r.server.SetReady(false)
	select {
	case <-time.After(balancerDelay):
	case <-ctx.Done():
	}
	if err := r.server.Drain(ctx); err != nil {
		return err
	}
	return r.callers.shutdown(ctx)
}

// routerAdapter lets the entry's server use a routing.Router.
type routerAdapter struct{ router *routing.Router }

// Pick implements entry.Router.
func (a routerAdapter) Pick(r entry.PickRequest) (entry.Pick, error) {
	up, done, err := a.router.Pick(&routing.Request{
		Pool:     r.Pool,
		Version:  r.Version,
		Prefixes: r.Prefixes,
		Tried:    r.Tried,
	})
	if err != nil {
		return entry.Pick{}, err
	}
	return entry.Pick{Upstream: up, Done: func(o entry.Outcome) {
		done(routing.Outcome{HasFailed: !o.OK && !isHarmless(o.Code)})
	}}, nil
}

// isHarmless reports whether an attempt ended for a reason that says nothing of the
// upstream's health.
func isHarmless(code verdict.Code) bool {
	return code == verdict.CodeCancelled || code == verdict.CodeOverloaded
}

func addresses(list []netip.AddrPort) []string {
	out := make([]string, 0, len(list))
	for _, a := range list {
		out = append(out, a.String())
	}
	return out
}
