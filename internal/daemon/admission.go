package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/admission"
	"github.com/sassafraspost/sassafraspost/internal/catalog"
	"github.com/sassafraspost/sassafraspost/internal/directory"
	"github.com/sassafraspost/sassafraspost/internal/entry"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/settings"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// grantTimeout is how long a demand waits for its grant. A grant that arrives later is ignored.
const grantTimeout = admission.LeaseDuration

// admitter connects the entry server to an admission.Controller. It exchanges the demands for
// rate-limited workspaces, and the grants that answer them, with the other entry hosts of the data
// centre.
type admitter struct {
	controller *admission.Controller
	store      *catalog.Store
	pool       *peer.Pool
	self       string
	hosts      []directory.Host
	now        func() time.Duration

	// mu guards the fields below.
	mu sync.Mutex
	// pendingDemands holds the time at which each unanswered demand was sent, by sequence number.
	pendingDemands map[uint64]time.Duration
	seq            uint64
	silence        ownerSilence

	// silentOwners counts how often an owner was found silent.
	silentOwners metrics.Counter
	log          *slog.Logger
}

func (d *Daemon) newAdmitter(set settings.Entry, store *catalog.Store, hosts []directory.Host, entries func() []directory.Entry) *admitter {
	a := &admitter{
		store:          store,
		pool:           d.pool,
		self:           d.set.Host.Name,
		hosts:          hosts,
		now:            d.now,
		pendingDemands: make(map[uint64]time.Duration),
		silence:        make(ownerSilence),
		silentOwners:   metrics.GetOrRegisterCounter("admission.owners.silent", d.metrics),
		log:            d.log,
	}
	a.controller = admission.New(admission.Config{
		QueueLimit:  set.QueueLimit,
		Hosts:       len(hosts),
		DataCentres: set.DataCentres,
		Usage:       func(pool string) admission.Usage { return usageOf(entries(), pool) },
		LiveHosts:   a.liveEntryHosts,
		Now:         d.now,
		Rand:        rand.Float64,
		Metrics:     d.metrics,
	})
	return a
}

// usageOf sums the load reports of a pool. Suspect upstreams, from which no announcements arrive,
// count only if there are no others, because routing uses them only in that case.
func usageOf(entries []directory.Entry, pool string) admission.Usage {
	var announced, suspect admission.Usage
	for i := range entries {
		u := &entries[i].Upstream
		if u.Pool != pool || u.State != wire.UpstreamReady {
			continue
		}
		sum := &announced
		if entries[i].Suspect {
			sum = &suspect
		}
		sum.Capacity += int(u.Load.Capacity)
		sum.InUse += int(u.Load.Running + u.Load.Queued)
	}
	if announced.Capacity == 0 {
		return suspect
	}
	return announced
}

// Admit implements entry.Admission.
func (a *admitter) Admit(ctx context.Context, r entry.AdmitRequest) (func(), error) {
	request := admission.Request{
		Service:   r.Service,
		Workspace: r.Workspace,
		Pool:      r.Pool,
		Urgency:   r.Urgency,
		Cost:      r.Cost,
		Deadline:  r.Deadline,
	}
	if d := a.store.Index().Document(r.Service); d != nil {
		if w := d.Workspace(r.Workspace); w != nil {
			request.Share = w.Share
			request.Limits = admission.Limits{
				Requests:   w.MaxRequestsPerSecond,
				Tokens:     w.MaxTokensPerSecond,
				Concurrent: w.MaxConcurrent,
			}
		}
	}
	return a.controller.Admit(ctx, request)
}

// isConnected reports whether a host is this one or has a session with it.
func (a *admitter) isConnected(h directory.Host) bool {
	return h.Name == a.self || a.pool.LiveSession(h.Address) != nil
}

// liveEntryHosts returns the number of entry hosts that are connected, including this one.
func (a *admitter) liveEntryHosts() int {
	n := 0
	for _, h := range a.hosts {
		if a.isConnected(h) {
			n++
		}
	}
	return n
}

// run regularly updates the capacity and sends demands until ctx ends.
func (a *admitter) run(ctx context.Context) {
	update := time.NewTicker(admission.CapacityUpdateInterval)
	defer update.Stop()
	report := time.NewTicker(admission.DemandInterval)
	defer report.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-update.C:
			a.controller.Update()
		case <-report.C:
			a.sendDemands()
		}
	}
}

// sendDemands sends this host's demands to the hosts that own the workspaces, which divide the
// workspaces' limits among the entry hosts.
func (a *admitter) sendDemands() {
	byOwner := make(map[directory.Host]*wire.Demand)
	for _, item := range a.controller.Demands() {
		owner := a.owner(item.Workspace)
		if byOwner[owner] == nil {
			byOwner[owner] = &wire.Demand{}
		}
		byOwner[owner].Items = append(byOwner[owner].Items, item)
	}
	now := a.now()
	a.reportSilence(now)
	for owner, d := range byOwner {
		if owner.Name == a.self {
			a.controller.ApplyGrant(now, a.controller.Allocate(a.self, d))
			continue
		}
		d.Seq = a.recordDemand(now)
		if s := a.pool.LiveSession(owner.Address); s != nil && s.Post(d) == nil {
			a.recordAsked(owner.Name, s, now)
		}
	}
}

// owner returns the connected host that comes first in the workspace's order of owners. A host that is
// connected but silent is passed over: it may be frozen, and its session lives on for long.
func (a *admitter) owner(workspace uint64) directory.Host {
	for _, h := range directory.Owners(a.hosts, strconv.FormatUint(workspace, 16)) {
		if a.isConnected(h) && !a.isSilent(h) {
			return h
		}
	}
	return directory.Host{}
}

// isSilent reports whether a host has left the demands of this one unanswered for so long that none of its
// grants is valid any more.
func (a *admitter) isSilent(h directory.Host) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.silence.isSilent(h.Name, a.pool.LiveSession(h.Address), a.now())
}

// recordAsked records that a demand was sent to an owner.
func (a *admitter) recordAsked(owner string, s *peer.Session, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silence.asked(owner, s, now)
}

// reportSilence logs the owners that have become silent.
func (a *admitter) reportSilence(now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, name := range a.silence.takeReports(now) {
		a.silentOwners.Inc(1)
		a.log.Warn("owner of limited workspaces does not answer; another host grants their limits", "owner", name)
	}
}

// recordDemand stores when a demand is sent and returns its sequence number.
func (a *admitter) recordDemand(now time.Duration) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	for seq, at := range a.pendingDemands {
		if now-at >= grantTimeout {
			delete(a.pendingDemands, seq)
		}
	}
	a.seq++
	a.pendingDemands[a.seq] = now
	return a.seq
}

// handlePeer handles Demand and Grant messages and reports whether m was one of them.
func (a *admitter) handlePeer(s *peer.Session, m wire.Message) bool {
	switch m := m.(type) {
	case *wire.Demand:
		_ = s.Post(a.controller.Allocate(s.Remote().Host, m))
	case *wire.Grant:
		a.handleGrant(s.Remote().Host, m)
	default:
		return false
	}
	return true
}

func (a *admitter) handleGrant(owner string, m *wire.Grant) {
	a.mu.Lock()
	if a.silence.answered(owner) {
		a.log.Info("owner of limited workspaces answers again", "owner", owner)
	}
	at, ok := a.pendingDemands[m.Seq]
	delete(a.pendingDemands, m.Seq)
	a.mu.Unlock()
	if ok {
		a.controller.ApplyGrant(at, m)
	}
}
