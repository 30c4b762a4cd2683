package daemon

import (
	"context"
	"net"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/agent"
	"github.com/sassafraspost/sassafraspost/internal/control"
	"github.com/sassafraspost/sassafraspost/internal/directory"
	"github.com/sassafraspost/sassafraspost/internal/group"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/settings"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	pollInterval         = time.Second
	orderInterval        = 2 * time.Second
	upstreamDialInterval = 500 * time.Millisecond
)

// agentRole runs the agent of one upstream.
type agentRole struct {
	agent     *agent.Agent
	announcer *directory.Announcer
	orders    *agent.OrderPuller
	// group is nil if the upstream does not belong to a group of ranks.
	group *group.Runner
	// suspicions passes on which requests ran on the upstream when it crashed.
	suspicions *suspicionRelay
	// upstreamAddress is the address at which the upstream accepts connections, "ip:port".
	upstreamAddress string
}

func (d *Daemon) buildAgent() (role, error) {
	set := d.set.Agent
	suspicions := newSuspicionRelay(relayConfig{
		upstream: d.set.Host.Name, pool: set.Pool, fingerprints: quarantine.NewHasher(string(d.set.Peer.Secret)),
		controlHosts: d.controlSessions, now: d.now, log: d.log, metrics: d.metrics,
	})
	a, err := agent.New(agent.Config{
		Identity: wire.Upstream{
			Name:        d.set.Host.Name,
			DataCentre:  d.set.Host.DataCentre,
			Address:     d.set.Peer.Advertise.String(),
			Incarnation: d.incarnation,
			Pool:        set.Pool,
			Group:       set.Group,
			FirstRank:   uint32(set.FirstRank),
			Ranks:       groupRanks(set),
		},
		URL:      set.UpstreamURL,
		IsEngine: set.Kind == settings.UpstreamModel,
		Capacity: set.Capacity,
		Recorder: control.NewClient(d.pool, addresses(set.ControlHosts)),
		Metrics:  d.metrics,
		Settle:   d.standstills.Settle,

		OnAbandoned:     suspicions.attemptAbandoned,
		OnUpstreamEnded: suspicions.upstreamEnded,
	})
	if err != nil {
		return nil, err
	}
	base, err := url.Parse(set.UpstreamURL)
	if err != nil {
		return nil, errors.Wrap(err, "upstream-url")
	}
	r := &agentRole{agent: a, suspicions: suspicions, upstreamAddress: base.Host}
	var shape atomic.Pointer[wire.GroupShape]
	if set.Group != "" {
		r.group = d.newGroup(set, &shape)
	}
	r.announcer = directory.NewAnnouncer(directory.AnnouncerConfig{
		Hosts:            hostsByAddress(set),
		Pool:             d.pool,
		Interval:         set.AnnounceInterval,
		Record:           a.Record,
		RaiseIncarnation: a.RaiseIncarnation,
		Now:              d.now,
		Log:              d.log,
	})
	if set.Kind == settings.UpstreamModel {
		r.orders = agent.NewOrderPuller(agent.OrderPullerConfig{
			Upstream:     d.set.Host.Name,
			Pool:         set.Pool,
			Group:        set.Group,
			Restarts:     a.Restarts,
			OnOrder:      func(o *wire.Order) { shape.Store(shapeOf(o)) },
			URL:          set.UpstreamURL,
			OrderQuerier: control.NewClient(d.pool, addresses(set.ControlHosts)),
			Clock:        d.now,
			Metrics:      d.metrics,
		})
	}
	return r, nil
}

// controlSessions returns the live sessions with control hosts.
func (d *Daemon) controlSessions() []hostSession {
	var out []hostSession
	for _, s := range d.pool.Sessions() {
		if s.Remote().Replica != "" {
			out = append(out, s)
		}
	}
	return out
}

// hostsByAddress returns the entry hosts with their addresses as names, because an agent's settings
// contain only the addresses.
func hostsByAddress(set settings.Agent) []directory.Host {
	var hosts []directory.Host
	for _, a := range addresses(set.Entries) {
		hosts = append(hosts, directory.Host{Name: a, Address: a})
	}
	return hosts
}

func (r *agentRole) onSessionUp(*peer.Session) {}

func (r *agentRole) handlePeer(s *peer.Session, call uint64, m wire.Message) bool {
	switch m := m.(type) {
	case *wire.Suspicions:
		r.suspicions.merge(m.All)
		return true
	case *wire.Dispatch:
		r.suspicions.addEntryHost(s)
	}
	return r.agent.HandlePeer(s, call, m) || (r.group != nil && r.group.HandlePeer(s, call, m))
}

func (r *agentRole) run(ctx context.Context) error {
	if r.orders != nil {
		go r.orders.Run(ctx, orderInterval)
	}
	if r.group != nil {
		go r.group.Run(ctx)
	}
	go r.agent.Poll(ctx, pollInterval)
	go r.awaitUpstream(ctx)
	go r.suspicions.run(ctx)
	r.announcer.Run(ctx)
	return nil
}

// awaitUpstream marks the agent as ready once its upstream accepts connections.
func (r *agentRole) awaitUpstream(ctx context.Context) {
	ticker := time.NewTicker(upstreamDialInterval)
	defer ticker.Stop()
	for {
		conn, err := net.DialTimeout("tcp", r.upstreamAddress, upstreamDialInterval)
		if err == nil {
			_ = conn.Close()
			r.agent.MarkReady()
			r.announcer.AnnounceNow()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// drain makes the agent refuse new work at once, announces that it is draining, and waits for the
// accepted attempts. The refusal does not depend on the arrival of the announcement.
func (r *agentRole) drain(ctx context.Context) error {
	r.agent.StartDraining()
	r.announcer.AnnounceNow()
	return r.agent.AwaitDrained(ctx)
}
