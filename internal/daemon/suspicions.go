package daemon

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/pause"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// suspicionReceivers selects the suspicions that an entry host sends to other hosts. entryPeers
// are the names of the other entry hosts of the data centre, pools the pools of the known upstreams
// by name.
//
// Hosts are recognized by name: the address by which a host is dialled can differ from the one that
// it announces.
type suspicionReceivers struct {
	entryPeers []string
	pools      map[string]string
}

// choose returns the suspicions that the host with this Hello needs: control hosts and entry hosts
// need all, and the agent of an upstream needs those of its pool, since a request is sent to no
// other pool.
func (r *suspicionReceivers) choose(remote wire.Hello, all []quarantine.Suspicion) []quarantine.Suspicion {
	if remote.Replica != "" || slices.Contains(r.entryPeers, remote.Host) {
		return all
	}
	pool, isAgent := r.pools[remote.Host]
	if !isAgent {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(all), func(s quarantine.Suspicion) bool { return s.Service != pool })
}

// hostSession is a session with an entry host or a control host, a *peer.Session.
type hostSession interface {
	Post(m wire.Message) error
	Alive() bool
}

// suspicionRelay passes suspicions on between the entry hosts that send requests to one upstream,
// and adds those that only its agent can observe: an entry host that has lost its session with the
// agent, or whose caller has left, does not learn that the upstream crashed under the request.
//
// An entry host that reaches the upstreams but no control host and no other entry host would
// otherwise not learn which requests are in quarantine, and would go on to send them.
//
// The relay keeps all suspicions that it receives, and sends them to an entry host with the first
// dispatch of a session. Later it sends only new suspicions about its own upstream. So the messages
// that follow a crash are as many as the entry hosts, not as many as the entry hosts times the
// upstreams.
type suspicionRelay struct {
	cfg    relayConfig
	keeper *quarantine.Keeper

	// mu guards entryHosts. It is not held while a method of keeper is called.
	mu sync.Mutex
	// entryHosts contains the sessions over which dispatches have arrived.
	entryHosts map[hostSession]bool
}

// relayConfig holds the dependencies of a suspicionRelay.
type relayConfig struct {
	// upstream is the name of the agent's upstream, and pool what it serves.
	upstream, pool string
	fingerprints   quarantine.Hasher
	// controlHosts returns the live sessions with control hosts.
	controlHosts func() []hostSession
	// now is a monotonic clock.
	now     func() time.Duration
	log     *slog.Logger
	metrics metrics.Registry
}

func newSuspicionRelay(cfg relayConfig) *suspicionRelay {
	r := &suspicionRelay{cfg: cfg, entryHosts: make(map[hostSession]bool)}
	r.keeper = quarantine.NewKeeper(quarantine.Config{
		Limits: quarantine.DefaultLimits, Now: cfg.now, Publish: r.publish, Relays: true, Log: cfg.log, Metrics: cfg.metrics,
	})
	return r
}

// attemptAbandoned records an attempt that ended without a response to its entry host, in case the
// upstream crashes under it.
func (r *suspicionRelay) attemptAbandoned(d *wire.Dispatch, ran time.Duration) {
	r.keeper.AttemptFailed(quarantine.Attempt{
		Content: quarantine.Content{
			Request: r.cfg.fingerprints.Of(&quarantine.Request{Workspace: d.Workspace, Method: d.Method, Target: d.Path, Body: d.Body}),
		},
		Workspace: d.Workspace, RequestID: d.RequestID, Incarnation: quarantine.Incarnation{Upstream: r.cfg.upstream}, Service: r.cfg.pool, Ran: ran,
	}, true)
}

// upstreamEnded records that the upstream crashed. The time identifies the crash, as in
// wire.End.UpstreamCrashedAt.
func (r *suspicionRelay) upstreamEnded(at int64) {
	r.keeper.UpstreamEnded(quarantine.Incarnation{Upstream: r.cfg.upstream, StartedAt: at})
}

// run removes expired suspicions until ctx ends.
func (r *suspicionRelay) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, sweepInterval)
		r.keeper.Sweep()
	}
}

// merge adds suspicions that an entry host has sent.
func (r *suspicionRelay) merge(all []quarantine.Suspicion) { r.keeper.Merge(all) }

// addEntryHost is called for each dispatch with the session over which it arrived.
func (r *suspicionRelay) addEntryHost(s hostSession) {
	r.mu.Lock()
	isKnown := r.entryHosts[s]
	if !isKnown {
		for other := range r.entryHosts {
			if !other.Alive() {
				delete(r.entryHosts, other)
			}
		}
		r.entryHosts[s] = true
	}
	r.mu.Unlock()
	if isKnown {
		return
	}
	if all := r.keeper.All(); len(all) > 0 {
		_ = s.Post(&wire.Suspicions{All: all})
	}
}

// publish sends those suspicions to the entry hosts and control hosts that concern this agent's
// upstream. An error of a session is ignored: the host gets all suspicions with its next session.
func (r *suspicionRelay) publish(updates []quarantine.Suspicion) {
	own := slices.DeleteFunc(slices.Clone(updates), func(s quarantine.Suspicion) bool { return s.Incarnation.Upstream != r.cfg.upstream })
	if len(own) == 0 {
		return
	}
	for _, s := range append(r.cfg.controlHosts(), r.liveEntryHosts()...) {
		_ = s.Post(&wire.Suspicions{All: own})
	}
}

func (r *suspicionRelay) liveEntryHosts() []hostSession {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []hostSession
	for s := range r.entryHosts {
		if s.Alive() {
			out = append(out, s)
		}
	}
	return out
}
