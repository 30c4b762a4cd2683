package daemon

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/catalog"
	"github.com/sassafraspost/sassafraspost/internal/control"
	"github.com/sassafraspost/sassafraspost/internal/directory"
	"github.com/sassafraspost/sassafraspost/internal/entry"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/routing"
	"github.com/sassafraspost/sassafraspost/internal/settings"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// balancerDelay is how long an entry host that shuts down goes on taking callers
// after it said that it is not ready, so that the platform's balancer moves on.
const balancerDelay = time.Second

// entryRole serves callers.
type entryRole struct {
	server    *entry.Server
	callers   *server
	directory *directory.Service
	follower  *catalog.Follower
	admitter  *admitter
}

func (d *Daemon) buildEntry() (role, error) {
	set := d.set.Entry
	r := &entryRole{}
	store := catalog.NewStore(d.log, d.metrics)
	entries := func() []directory.Entry { return r.directory.Entries() }
	router := routing.NewRouter(routing.Config{
		Policy:       routing.DefaultPolicy(),
		Entries:      entries,
		Now:          d.now,
		Rand:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		HistoryLimit: set.PrefixCacheSize,
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
		OnEvents:    router.CacheEvents,
	})
	r.follower = catalog.NewFollower(catalog.FollowerConfig{
		Store:   store,
		Pool:    d.pool,
		Control: addresses(set.Control),
		Mates:   mates,
		Self:    wire.HostInForce{Host: d.set.Host.Name, DataCentre: d.set.Host.DataCentre, Role: "entry"},
		Log:     d.log,
		Metrics: d.metrics,
	})
	r.admitter = d.newAdmitter(set, store, hosts, entries)
	r.server = entry.New(entry.Config{
		Catalog:     resolver{store},
		Admission:   r.admitter,
		Router:      routerAdapter{router},
		Claims:      control.NewClient(d.pool, addresses(set.Control)),
		Sessions:    d.pool,
		Metrics:     d.metrics,
		MaxInFlight: set.MaxSessions,
		MaxBody:     int64(set.MaxBody),
		MaxDeadline: set.RequestTimeout,
		RetryShare:  set.RetryBudget,
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

func (r *entryRole) handlePeer(s *peer.Session, call uint64, m wire.Message) bool {
	return r.server.HandlePeer(s, m) || r.admitter.handlePeer(s, m) || r.directory.HandlePeer(s, call, m) || r.follower.HandlePeer(s, call, m)
}

func (r *entryRole) run(ctx context.Context) error {
	go r.follower.Run(ctx)
	go r.admitter.run(ctx)
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
