package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/backpressure"
	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/schedule"
	"github.com/sassafraspost/sassafraspost/internal/telemetry"
	"github.com/sassafraspost/sassafraspost/internal/textcheck"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// attachPeriod is the time after its start in which a control host tells upstreams that
	// are shutting down to announce themselves to another control host: not all hosts that
	// must be notified are attached yet. The period covers one failed dial
	// (peer.Config.DialTimeout) and the delay after it.
	attachPeriod = 1500 * time.Millisecond
	// notifyTimeout bounds the wait for the attached hosts before the announcement of an
	// upstream that shuts down is acknowledged. Upstreams wait one second for the
	// acknowledgement.
	notifyTimeout = 600 * time.Millisecond
	// quietTimeout is the silence after which an attached host is not waited for any more.
	// Attached hosts probe their sessions several times within this timeout.
	quietTimeout = 2 * time.Second
	// maxUpstreamsPerMessage keeps a list of upstreams with the longest names, about 800 bytes each, below
	// wire.MaxMessageBytes.
	maxUpstreamsPerMessage = 8192
	// tickInterval is how often the fleet checks for silent upstreams and hosts.
	tickInterval = time.Second
)

// Roles in wire.Attach. Entry hosts use roleEntry, or roleCallers if they want only
// wire.Suspicions and wire.Evacuations.
const (
	roleEntry   = "entry"
	roleCallers = "callers"
)

// fleet tracks the upstreams and forwards changes to the hosts that have attached to this
// control host.
type fleet struct {
	h       *Host
	started time.Time
	// saveRequested holds a value if the list of upstreams or the suspicions of the quarantine
	// have changed since they were saved.
	saveRequested chan struct{}
	// leftOut limits the lines about records that are not saved, by list.
	leftOut telemetry.LineLimit
	// quarantine keeps the suspicions: which requests ran on upstreams that crashed. It has
	// its own lock, which it does not hold when it calls functions of the fleet.
	quarantine *quarantine.Keeper
	// loads forwards the loads of engines. Its lock may be taken while mu is held.
	loads *loads

	// mu guards the fields below. While it is held, messages are only queued, which does not
	// block.
	mu       sync.Mutex
	registry *registry.Registry
	// attached holds the role of each host that has attached.
	attached map[*peer.Session]string
	// upstreamList is the encoded list of all upstreams for hosts that attach, in one or more messages; nil if the
	// list has changed since it was encoded.
	upstreamList []*peer.Prepared
	// isUpstreamListCold tells that the encoded list has remaining cold times, which decrease.
	isUpstreamListCold bool
	// demands holds the demand at each attached entry host, and crowdTotals which sums are told.
	crowdTotals schedule.CrowdTotals
	demands     map[*peer.Session]hostDemand
	// pendingSuspicions are the suspicions that sendSuspicions will send.
	pendingSuspicions []quarantine.Suspicion
	// statements holds what upstreams have stated about themselves, and dispenser the tokens of
	// those that have rate limits.
	statements *backpressure.Table
	dispenser  *backpressure.Dispenser
	// entryHosts holds when each entry host was last seen, and reachable which part of those known
	// lately is attached. Only this part of each rate is handed out.
	entryHosts map[string]time.Duration
	reachable  float64
	// departures saves departures on this host's disk, saves does so on a majority of the voters, and
	// notifications tells the attached hosts of them.
	departures    *departureSaver
	saves         *rounds[registry.Departure]
	notifications *rounds[registry.Upstream]
	// voters returns the voting replicas.
	voters func() []consensus.ReplicaID
}

func newFleet(h *Host) *fleet {
	f := &fleet{
		h: h, started: time.Now(), saveRequested: make(chan struct{}, 1), registry: registry.New(h.cfg.Registry),
		attached: make(map[*peer.Session]string), demands: make(map[*peer.Session]hostDemand),
		statements: backpressure.NewTable(), dispenser: backpressure.NewDispenser(), entryHosts: make(map[string]time.Duration), reachable: 1,
		voters: h.voters,
	}
	f.departures = newDepartureSaver(f.saveDepartures)
	f.saves = &rounds[registry.Departure]{run: f.saveOnMajority}
	f.notifications = &rounds[registry.Upstream]{run: f.notifyRound}
	f.loads = newLoads(h, f.now, f.entrySessions)
	f.quarantine = quarantine.NewKeeper(quarantine.Config{
		Limits: quarantine.DefaultLimits, Now: f.now, Publish: f.queueSuspicions, Relays: true, Log: h.cfg.Log, Metrics: h.cfg.Metrics,
	})
	f.restore()
	return f
}

// attach registers a host for changes and sends it the present state.
func (f *fleet) attach(s *peer.Session, m *wire.Attach) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attached[s] = m.Role
	if servesCallers(m.Role) {
		// Sent before the configuration, so that a restarted host has the suspicions before it
		// serves requests.
		_ = s.Post(&wire.Suspicions{All: f.quarantine.All()})
		if e := f.h.evacuationsMessage(); e != nil {
			_ = s.Post(e)
		}
	}
	if m.Role == roleCallers {
		return
	}
	if f.upstreamList == nil || f.isUpstreamListCold {
		f.prepareUpstreamList()
	}
	for _, part := range f.upstreamList {
		s.PostPreparedOrClose(part)
	}
	_ = s.Post(&wire.ConfigurationNotice{Number: f.h.tables.Configuration().Number})
	// The other hosts get the new number of hosts with the next tick. If they got it at
	// once, n hosts that start together would cause n messages to each of them.
	_ = s.Post(f.hostsMessage())
	if m.Role == roleEntry {
		_ = s.Post(&wire.Notices{All: f.statements.Notices(f.now())})
		f.loads.entryHostAttached()
	}
}

// prepareUpstreamList encodes the list of all upstreams. The caller holds mu.
func (f *fleet) prepareUpstreamList() {
	all := f.registry.List(f.now())
	messages := []*wire.Upstreams{{Departures: f.registry.UnknownDepartures(f.now())}}
	for part := range slices.Chunk(all, maxUpstreamsPerMessage) {
		if len(messages[0].All) == 0 {
			messages[0].All = part
			continue
		}
		messages = append(messages, &wire.Upstreams{All: part})
	}
	f.upstreamList = nil
	for _, m := range messages {
		p, err := peer.Prepare(m)
		if err != nil {
			f.h.cfg.Log.Error("list of upstreams can't be encoded", "upstreams", len(m.All), "error", err.Error())
			continue
		}
		f.upstreamList = append(f.upstreamList, p)
	}
	f.isUpstreamListCold = slices.ContainsFunc(all, func(u registry.Upstream) bool { return u.ColdRemainingMS > 0 })
}

// broadcast sends a message to all attached hosts except those with roleCallers.
// The caller holds mu.
func (f *fleet) broadcast(m wire.Message) {
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
		s.PostPreparedOrClose(p)
	}
}

// hostsMessage returns the addresses of the control hosts and the number of attached entry
// hosts. The caller holds mu.
func (f *fleet) hostsMessage() *wire.Hosts {
	m := &wire.Hosts{ControlHosts: append(f.h.addressBook.List(), f.h.cfg.Address)}
	for s, role := range f.attached {
		if role == roleEntry && s.Alive() && s.SilentFor() < quietTimeout {
			m.EntryHosts++
		}
	}
	return m
}

// groupMembers returns the hosts of the ranks of a group, as their agents reported recently.
func (f *fleet) groupMembers(m *wire.GroupQuery) *wire.GroupAnswer {
	members := f.loads.members(m.Group, m.Epoch)
	if m.FirstRankOnly && len(members) > 0 {
		members = members[:1]
		if members[0].FirstRank != 0 {
			members = nil
		}
	}
	return &wire.GroupAnswer{Members: members}
}

// entrySessions returns the sessions with the attached entry hosts.
func (f *fleet) entrySessions() []*peer.Session {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*peer.Session
	for s, role := range f.attached {
		if role == roleEntry && s.Alive() {
			out = append(out, s)
		}
	}
	return out
}

func (f *fleet) now() time.Duration { return time.Since(f.started) }

// run sends changes to the attached hosts until ctx ends.
func (f *fleet) run(ctx context.Context) {
	go f.saveLoop(ctx)
	go f.departures.run(ctx)
	go f.runEvacuations(ctx)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var lastNumber uint64
	hosts := 0
	for {
		changed := f.h.tables.ConfigurationChanged()
		if number := f.h.tables.Configuration().Number; number != lastNumber {
			lastNumber = number
			f.notifyConfiguration(number)
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

func (f *fleet) notifyConfiguration(number uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.broadcast(&wire.ConfigurationNotice{Number: number})
}

// tick notifies attached hosts of upstreams that became silent, and of the number of hosts
// if it differs from before. It returns that number.
func (f *fleet) tick(before int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.quarantine.Sweep()
	term, isLeader := f.h.replica.LeaderTerm()
	if isLeader {
		f.dispenser.BeginTerm(term, f.now())
	}
	f.h.retries.observeAll(isLeader)
	f.sweepRateLimits()
	f.sendDemands()
	if all := f.registry.Tick(f.now()); len(all) > 0 {
		f.upstreamList = nil
		for part := range slices.Chunk(all, maxUpstreamsPerMessage) {
			f.broadcast(&wire.Upstreams{All: part})
		}
		for _, u := range all {
			f.h.cfg.Log.Info("upstream is silent", "upstream", u.ID, "address", u.Address, "sequence", u.Sequence)
		}
	}
	hosts := len(f.h.addressBook.List())
	for s := range f.attached {
		if s.Alive() && s.SilentFor() < quietTimeout {
			hosts++
		}
	}
	if hosts != before {
		f.broadcast(f.hostsMessage())
	}
	return hosts
}

// Announce handles an upstream's announcement and returns when it may be acknowledged. If the
// upstream is shutting down, that is once its departure is durable and the entry hosts have been
// notified. The error is a *verdict.Error, after which the upstream must announce itself to another
// control host.
func (h *Host) Announce(ctx context.Context, u registry.Upstream) error {
	f := h.fleet
	if err := textcheck.Check(&u); err != nil {
		// No host could be told of it.
		h.cfg.Log.Warn("announcement refused", "upstream", u.ID, "state", u.State, "error", err.Error())
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, err.Error())
	}
	if u.State != registry.Ready {
		return f.announceDeparture(ctx, u)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	records, changed, err := f.announce(u)
	if err != nil || !changed {
		return err
	}
	f.broadcast(&wire.Upstreams{All: records})
	return nil
}

// announce applies an announcement to the registry, see registry.Registry.Announce. The caller holds mu.
func (f *fleet) announce(u registry.Upstream) (records []registry.Upstream, changed bool, err error) {
	records, changed, err = f.registry.Announce(u, f.now())
	if err != nil {
		f.h.cfg.Log.Warn("announcement refused", "upstream", u.ID, "state", u.State, "sequence", u.Sequence, "error", err.Error())
		return nil, false, conflict(err)
	}
	if changed || u.State != registry.Ready {
		f.upstreamList = nil
		f.requestSave()
		known := records[0]
		f.h.cfg.Log.Info("upstream announced", "upstream", known.ID, "service", known.Service,
			"address", known.Address, "state", known.State, "sequence", known.Sequence)
	}
	return records, changed, nil
}

// ControlHostConnected adds a control host with which a session has begun. It sends the
// suspicions and the departures of upstreams to it, and the addresses of all control hosts to all of them. The settings
// contain only a few seeds, which can change and need not be voters. Voters that knew only
// the seeds could not elect a leader after a restart of all hosts.
func (h *Host) ControlHostConnected(s *peer.Session) {
	h.AddControlHosts(s.Remote().Address)
	h.postKnown(s)
	m := h.addressesMessage()
	for _, other := range h.cfg.Transport.Sessions() {
		if other != s {
			// If the queue is full, the host gets the addresses with the next session.
			_ = other.Post(m)
		}
	}
	go h.postKnownWhenEnded(s)
}

// postKnown sends the suspicions, the departures of upstreams and the addresses of the control hosts to a
// control host. If its queue is full, it ends the session, so that another one begins with all of them.
func (h *Host) postKnown(s *peer.Session) {
	s.PostOrClose(&wire.Suspicions{All: h.fleet.quarantine.All()})
	h.fleet.postDepartures(s)
	s.PostOrClose(h.addressesMessage())
}

// postKnownWhenEnded waits until a session with a control host ends. What was sent over it last may be
// lost. The next session would begin with all of it, but there is none if the hosts have another one.
func (h *Host) postKnownWhenEnded(s *peer.Session) {
	<-s.Done()
	if other := h.cfg.Transport.session(consensus.ReplicaID(s.Remote().Replica)); other != nil {
		h.postKnown(other)
	}
}

// addressesMessage returns the addresses of the control hosts.
func (h *Host) addressesMessage() *wire.Hosts {
	return &wire.Hosts{ControlHosts: append(h.addressBook.List(), h.cfg.Address)}
}

// AddControlHosts adds addresses of control hosts to the address book.
func (h *Host) AddControlHosts(addresses ...string) {
	for _, a := range addresses {
		if a != h.cfg.Address {
			h.addressBook.Add(a)
		}
	}
}
