package control

import (
	"context"
	"sync"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/engineload"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// settleTime is how long after its start a control host tells leaving upstreams to
	// announce themselves elsewhere: until then hosts may not be attached to it again
	// which have to know. It covers a dial that fails once (peer.Config.DialTimeout) and the
	// pause after it.
	settleTime = 1500 * time.Millisecond
	// spreadTimeout is how long a leaving upstream's acknowledgement waits for the
	// attached hosts. Upstreams give an acknowledgement a second.
	spreadTimeout = 600 * time.Millisecond
	// quietLimit is how long an attached host may have been silent to be waited for.
	// Attached hosts probe their sessions several times in that span.
	quietLimit = 2 * time.Second
	// loadInterval is how often the loads of engines are passed on: well below the time
	// in which a request at an engine ends.
	loadInterval = 100 * time.Millisecond
	// fleetTick is how often silence is judged.
	fleetTick = time.Second
)

// Entry hosts attach as roleEntry, or as roleCallers where they want Suspicions only.
const (
	roleEntry   = "entry"
	roleCallers = "callers"
)

// fleet is what a control host knows of upstreams, and the hosts that it tells.
type fleet struct {
	h       *Host
	started time.Time
	// changed tells that the list of upstreams, or what the quarantine knows, has changed
	// since it was saved.
	changed chan struct{}
	// quarantine is what is known of requests under which upstreams ended. It has its own
	// lock, under which it calls nobody.
	quarantine *quarantine.Keeper

	// mu guards the fields below. Under it messages are only queued, which does not
	// wait.
	mu       sync.Mutex
	registry *registry.Registry
	// attached holds the role of each host that wants to be told.
	attached map[*peer.Session]string
	// engines are those whose loads come; newcomers are entry hosts that lack the records of
	// them.
	engines   engineload.Table
	newcomers map[*peer.Session]bool
	// isPassing is set while a timer runs that passes loads on.
	isPassing bool
	// list is the whole list of upstreams, encoded for those that attach; nil when it has
	// changed.
	list *peer.Prepared
	// news are the suspicions that wait to be passed on.
	news []quarantine.Suspicion
}

func newFleet(h *Host) *fleet {
	f := &fleet{
		h: h, started: time.Now(), changed: make(chan struct{}, 1), registry: registry.New(h.cfg.Registry),
		attached: make(map[*peer.Session]string), newcomers: make(map[*peer.Session]bool),
	}
	f.quarantine = quarantine.NewKeeper(quarantine.Config{
		Limits: quarantine.DefaultLimits, Now: f.now, Publish: f.passSuspicions, Relays: true, Log: h.cfg.Log, Metrics: h.cfg.Metrics,
	})
	f.restore()
	f.restoreSuspicions()
	return f
}

// attach begins to tell a host, with all that is known so far.
func (f *fleet) attach(s *peer.Session, m *wire.Attach) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attached[s] = m.Role
	if m.Role == roleEntry || m.Role == roleCallers {
		// Before the configuration, without which a host that has started does not serve.
		_ = s.Post(&wire.Suspicions{All: f.quarantine.All()})
	}
	if m.Role == roleCallers {
		return
	}
	if f.list == nil {
		f.list, _ = peer.Prepare(&wire.Upstreams{All: f.registry.All()})
	}
	_ = s.PostPrepared(f.list)
	_ = s.Post(&wire.ConfigurationNotice{Number: f.h.tables.Configuration().Number})
	// The others hear of the new number with the next tick: told at once of each host that
	// comes, hosts that start together would be told as often as there are hosts, each.
	_ = s.Post(f.hosts())
	if m.Role == roleEntry {
		f.newcomers[s] = true
		f.passSoon()
	}
}

// post sends a message to all attached hosts. The caller holds mu.
func (f *fleet) post(m wire.Message) {
	p, err := peer.Prepare(m)
	if err != nil {
		f.h.cfg.Log.Error("message can't be encoded", "kind", m.Kind(), "error", err.Error())
		return
	}
	for s, role := range f.attached {
		if !s.Alive() {
			delete(f.attached, s)
			continue
		}
		if role == roleCallers {
			continue
		}
		// What a full queue refuses is made up for when the session has ended and the
		// host attaches anew.
		if s.PostPrepared(p) != nil {
			s.Close()
		}
	}
}

// hosts returns what is known of the system's hosts. The caller holds mu.
func (f *fleet) hosts() *wire.Hosts {
	m := &wire.Hosts{Control: append(f.h.book.List(), f.h.cfg.Address)}
	for s, role := range f.attached {
		if role == roleEntry && s.Alive() && s.SilentFor() < quietLimit {
			m.EntryHosts++
		}
	}
	return m
}

// load takes in the load of an engine, to be passed on with others.
func (f *fleet) load(s *peer.Session, m *wire.EngineLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines.Update(*m, s.Remote().Address, f.now())
	f.passSoon()
}

// passSoon passes loads on within loadInterval. The caller holds mu.
func (f *fleet) passSoon() {
	if !f.isPassing {
		f.isPassing = true
		time.AfterFunc(loadInterval, f.passLoads)
	}
}

// passLoads tells the entry hosts what was heard of engines since the last time, and those
// that have come since then all that is known.
func (f *fleet) passLoads() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isPassing = false
	next := f.prepareLoads(f.engines.Flush(f.now()))
	var all *peer.Prepared
	if len(f.newcomers) > 0 {
		all = f.prepareLoads(f.engines.All(f.now()))
	}
	for s, role := range f.attached {
		if role != roleEntry || !s.Alive() {
			delete(f.newcomers, s)
			continue
		}
		m := next
		if f.newcomers[s] {
			m = all
		}
		if m == nil {
			continue
		}
		// Who misses a message may lack a record, and gets all of them the next time.
		if s.PostPrepared(m) != nil {
			f.newcomers[s] = true
		} else {
			delete(f.newcomers, s)
		}
	}
}

// prepareLoads encodes loads once for all; nil where there are none.
func (f *fleet) prepareLoads(m *wire.EngineLoads) *peer.Prepared {
	if m == nil {
		return nil
	}
	p, err := peer.Prepare(m)
	if err != nil {
		f.h.cfg.Log.Error("loads can't be encoded", "error", err.Error())
		return nil
	}
	return p
}

// members answers who stands beside the ranks of a group, as their agents said lately.
func (f *fleet) members(m *wire.GroupQuery) *wire.GroupAnswer {
	f.mu.Lock()
	defer f.mu.Unlock()
	members := f.engines.Members(m.Group, m.Epoch, f.now())
	if m.FirstRankOnly && len(members) > 0 {
		members = members[:1]
		if members[0].FirstRank != 0 {
			members = nil
		}
	}
	return &wire.GroupAnswer{Members: members}
}

func (f *fleet) now() time.Duration { return time.Since(f.started) }

// run keeps the attached hosts up to date until ctx ends.
func (f *fleet) run(ctx context.Context) {
	go f.remember(ctx)
	tick := time.NewTicker(fleetTick)
	defer tick.Stop()
	var told uint64
	hosts := 0
	for {
		changed := f.h.tables.ConfigurationChanged()
		if number := f.h.tables.Configuration().Number; number != told {
			told = number
			f.notify(number)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-tick.C:
			hosts = f.tick(hosts)
		}
	}
}

func (f *fleet) notify(number uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.post(&wire.ConfigurationNotice{Number: number})
}

// tick judges silence, and tells of the hosts where their number has changed.
func (f *fleet) tick(before int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.quarantine.Sweep()
	if all := f.registry.Tick(f.now()); len(all) > 0 {
		f.list = nil
		f.post(&wire.Upstreams{All: all})
		for _, u := range all {
			f.h.cfg.Log.Info("upstream is silent", "upstream", u.ID, "address", u.Address, "sequence", u.Sequence)
		}
	}
	hosts := len(f.h.book.List())
	for s := range f.attached {
		if s.Alive() && s.SilentFor() < quietLimit {
			hosts++
		}
	}
	if hosts != before {
		f.post(f.hosts())
	}
	return hosts
}

// Announce takes an upstream's announcement. It returns once it may be acknowledged:
// for one that leaves, when the hosts that serve callers have been told. The error is a
// *verdict.Error; the upstream has to ask another control host then.
func (h *Host) Announce(ctx context.Context, u registry.Upstream) error {
	f := h.fleet
	isLeaving := u.State != registry.Ready
	if isLeaving && f.now() < settleTime {
		return verdict.New(verdict.NotRun, verdict.CodeLeaving, "this control host has just started")
	}
	f.mu.Lock()
	known, changed := f.registry.Announce(u, f.now())
	if !changed && !isLeaving {
		f.mu.Unlock()
		return nil
	}
	f.list = nil
	f.note()
	h.cfg.Log.Info("upstream announced", "upstream", known.ID, "service", known.Service,
		"address", known.Address, "state", known.State, "sequence", known.Sequence)
	m := &wire.Upstreams{All: []registry.Upstream{known}}
	if !isLeaving {
		f.post(m)
		f.mu.Unlock()
		return nil
	}
	var told []*peer.Session
	for s, role := range f.attached {
		switch {
		case role == roleCallers:
		case role != roleEntry:
			_ = s.Post(m)
		case s.Alive() && s.SilentFor() < quietLimit:
			told = append(told, s)
		}
	}
	f.mu.Unlock()
	spread(ctx, told, m)
	return nil
}

// spread calls all sessions and waits for their answers, but no longer than
// spreadTimeout: a host that does not answer by then is not in touch.
func spread(ctx context.Context, sessions []*peer.Session, m wire.Message) {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range sessions {
		wg.Go(func() { _, _, _ = s.Call(ctx, m) })
	}
	wg.Wait()
}

// Meet takes in a control host with which a session has begun, tells it what the quarantine
// knows, and it and the others of each other. Settings name a few seeds only, which need not vote
// and may be others than before: voters that knew none but those would elect nobody after a
// common restart.
func (h *Host) Meet(s *peer.Session) {
	h.Learn(s.Remote().Address)
	_ = s.Post(&wire.Suspicions{All: h.fleet.quarantine.All()})
	m := &wire.Hosts{Control: append(h.book.List(), h.cfg.Address)}
	for _, other := range h.cfg.Transport.Sessions() {
		// What a full queue refuses comes with the next session.
		_ = other.Post(m)
	}
}

// Learn adds control hosts that were heard of.
func (h *Host) Learn(addresses ...string) {
	for _, a := range addresses {
		if a != h.cfg.Address {
			h.book.Add(a)
		}
	}
}
