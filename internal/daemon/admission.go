package daemon

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/admission"
	"github.com/sassafraspost/sassafraspost/internal/catalog"
	"github.com/sassafraspost/sassafraspost/internal/directory"
	"github.com/sassafraspost/sassafraspost/internal/entry"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/settings"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// grantTimeout is how long a demand waits for its grant; a later one is of no use.
const grantTimeout = 3 * time.Second

// admitter lets the entry's server use an admission.Controller, and exchanges
// demands and grants with the other entry hosts of the data centre.
type admitter struct {
	controller *admission.Controller
	store      *catalog.Store
	pool       *peer.Pool
	self       string
	hosts      []directory.Host
	now        func() time.Duration

	// mu guards asked and seq.
	mu sync.Mutex
	// pendingDemands holds when each demand was sent.
	pendingDemands map[uint64]time.Duration
	seq            uint64
}

func (d *Daemon) newAdmitter(set settings.Entry, store *catalog.Store, hosts []directory.Host, entries func() []directory.Entry) *admitter {
	a := &admitter{
		store:          store,
		pool:           d.pool,
		self:           d.set.Host.Name,
		hosts:          hosts,
		now:            d.now,
		pendingDemands: make(map[uint64]time.Duration),
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

// usageOf sums the load reports of a pool. Upstreams that nobody hears count only
// where there are no others, as routing uses them only then.
func usageOf(entries []directory.Entry, pool string) admission.Usage {
	var heard, suspect admission.Usage
	for i := range entries {
		u := &entries[i].Upstream
		if u.Pool != pool || u.State != wire.UpstreamReady {
			continue
		}
		sum := &heard
		if entries[i].Suspect {
			sum = &suspect
		}
		sum.Capacity += int(u.Load.Capacity)
		sum.InUse += int(u.Load.Running + u.Load.Queued)
	}
	if heard.Capacity == 0 {
		return suspect
	}
	return heard
}

// Admit implements entry.Admission.
func (a *admitter) Admit(ctx context.Context, r entry.AdmitRequest) (func(), error) {
	q := admission.Request{
		Service:   r.Service,
		Workspace: r.Workspace,
		Pool:      r.Pool,
		Urgency:   r.Urgency,
		Cost:      r.Cost,
		Deadline:  r.Deadline,
	}
	if d := a.store.Index().Document(r.Service); d != nil {
		if w := d.Workspace(r.Workspace); w != nil {
			q.Share = w.Share
			q.Limits = admission.Limits{
				Requests:   w.MaxRequestsPerSecond,
				Tokens:     w.MaxTokensPerSecond,
				Concurrent: w.MaxConcurrent,
			}
		}
	}
	return a.controller.Admit(ctx, q)
}

func (a *admitter) isLive(h directory.Host) bool {
	return h.Name == a.self || a.pool.Live(h.Address) != nil
}

// liveEntryHosts counts the entry hosts that can be reached, this one included.
func (a *admitter) liveEntryHosts() int {
	n := 0
	for _, h := range a.hosts {
		if a.isLive(h) {
			n++
		}
	}
	return n
}

// run keeps the capacity and the limits up to date until ctx ends.
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

// sendDemands sends what this host wants to the owners of the workspaces.
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
	for owner, d := range byOwner {
		if owner.Name == a.self {
			a.controller.ApplyGrant(now, a.controller.Allocate(a.self, d))
			continue
		}
		d.Seq = a.recordDemand(now)
		if s := a.pool.Live(owner.Address); s != nil {
			_ = s.Post(d)
		}
	}
}

// owner is the first host in a workspace's order that can be reached.
func (a *admitter) owner(workspace uint64) directory.Host {
	var first directory.Host
	for _, h := range directory.Owners(a.hosts, strconv.FormatUint(workspace, 16)) {
		if a.isLive(h) {
			return h
		}
	}
	return first
}

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

// handlePeer takes a message if it concerns admission.
func (a *admitter) handlePeer(s *peer.Session, m wire.Message) bool {
	switch m := m.(type) {
	case *wire.Demand:
		_ = s.Post(a.controller.Allocate(s.Remote().Host, m))
	case *wire.Grant:
		a.handleGrant(m)
	default:
		return false
	}
	return true
}

func (a *admitter) handleGrant(m *wire.Grant) {
	a.mu.Lock()
	at, ok := a.pendingDemands[m.Seq]
	delete(a.pendingDemands, m.Seq)
	a.mu.Unlock()
	if ok {
		a.controller.ApplyGrant(at, m)
	}
}
