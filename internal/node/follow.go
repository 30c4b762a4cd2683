package node

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/backpressure"
	"github.com/sassafraspost/sassafraspost/internal/control"
	"github.com/sassafraspost/sassafraspost/internal/engineload"
	"github.com/sassafraspost/sassafraspost/internal/gateway"
	"github.com/sassafraspost/sassafraspost/internal/pause"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// fetchTimeout is how long a host waits for a configuration until it asks another control host too.
	fetchTimeout = 600 * time.Millisecond
	// answerTimeout bounds one request for a configuration, whose answer may have to pass a slow link.
	answerTimeout = 30 * time.Second
	// fetchRetryDelay is the delay before a failed request is retried.
	fetchRetryDelay = 50 * time.Millisecond
	// agentFetchInterval is the least time between two configurations that an agent fetches. An
	// agent needs only the shape of its group, which rarely changes, and the orders of a map change
	// would have to wait while the host's link transfers a configuration.
	agentFetchInterval = 2 * time.Second
	// linearizableTimeout is how long a starting host accepts a configuration only from a control
	// host that has confirmed with a quorum that it is the newest. After that, for example in an
	// isolated data centre, the host uses the newest configuration that it can get.
	linearizableTimeout = 6 * time.Second
	// reloadInterval is how often the settings are reloaded.
	reloadInterval = 2 * time.Second
)

func portText(p uint16) string { return strconv.Itoa(int(p)) }

// follower receives configurations, upstreams, engine loads and suspicions from the control hosts.
type follower struct {
	n            *Node
	role         string
	controlHosts *control.AddressBook
	// These functions apply what is received. mergeUpstreams merges a control host's list of
	// upstreams, dropSource is called when the sessions with a control host are lost,
	// setEntryHostCount sets the number of entry hosts, and applyTable puts a configuration into
	// force and reports whether it did.
	mergeUpstreams func(source string, all []registry.Upstream) error
	// mergeDepartures merges departures of which a control host does not know the incarnation, and
	// resolveLeave returns the incarnation of an upstream that leaves by a call without its start time;
	// nil if the role sends no requests to upstreams.
	mergeDepartures   func(source string, all []registry.Departure)
	resolveLeave      func(id string) (startedAt int64, err error)
	dropSource        func(source string)
	setEntryHostCount func(entries int)
	applyTable        func(t *routetable.Table) bool
	// setTotalDemands receives the demand at all entry hosts together; nil if the role doesn't use it.
	setTotalDemands func(all []wire.ServiceDemand)
	// setEvacuations puts a list of evacuated data centres into force; nil if the role doesn't send
	// requests to upstreams.
	setEvacuations func(source string, m *wire.Evacuations)
	// setLoads receives the loads of engines; nil if the role doesn't use them.
	setLoads func(all []wire.EngineLoad)
	// quarantine tracks the requests during which upstreams crashed; nil if the role doesn't serve
	// callers.
	quarantine *quarantine.Keeper
	// mergeNotices receives what upstreams have stated to other hosts, and notices returns what this
	// host knows; nil if the role doesn't send requests to upstreams.
	mergeNotices func(source string, all []backpressure.Notice)
	notices      func() []backpressure.Notice
	started      time.Time
	// minFetchInterval is the minimum time between two fetched configurations.
	minFetchInterval time.Duration

	// applying is held while a configuration is put into force. It is locked before mu.
	applying sync.Mutex

	// mu guards the fields below.
	mu sync.Mutex
	// applied is the number of the configuration in force. wanted is the highest number that was
	// announced, and source the session from which to fetch it.
	applied, wanted uint64
	source          *peer.Session
	// isCurrent is set once the host has received a configuration that counts as the newest, see
	// linearizableTimeout.
	isCurrent  bool
	isFetching bool
	// asked holds the sessions on which a configuration was asked for and has not arrived. The channel is
	// closed when the request has ended.
	asked map[*peer.Session]chan struct{}
	// loadDecoders holds a decoder of load reports for each session, because compact reports
	// refer to full ones that were sent earlier in the same session.
	loadDecoders map[*peer.Session]*engineload.Decoder
}

func newFollower(n *Node, role string) *follower {
	f := &follower{
		n: n, role: role, controlHosts: control.NewAddressBook(n.settings.seedPeers()...), started: time.Now(),
		loadDecoders: make(map[*peer.Session]*engineload.Decoder),
	}
	n.onSessionUp = f.onSessionUp
	n.handleMessage = f.handleMessage
	return f
}

// run keeps sessions with all known control hosts until ctx ends.
func (f *follower) run(ctx context.Context) {
	go f.reloadSeeds(ctx)
	control.KeepFollowerConnected(ctx, f.n.pool, f.controlHosts)
}

// reloadSeeds adds the seeds that appear in the settings while the host is running.
func (f *follower) reloadSeeds(ctx context.Context) { watchSeeds(ctx, f.n, f.controlHosts) }

// watchSeeds reloads the settings at reloadInterval and adds their seeds to the known control
// hosts.
func watchSeeds(ctx context.Context, n *Node, controlHosts *control.AddressBook) {
	for ctx.Err() == nil {
		pause.For(ctx, reloadInterval)
		settings, err := n.platform.ReloadSettings()
		if err != nil {
			n.log.Warn("can't reload settings", "error", err.Error())
			continue
		}
		if seeds := excluding(settings.seedPeers(), n.settings.peerAddress(n.settings.IP)); controlHosts.Add(seeds...) {
			n.log.Info("settings contain new seeds", "seeds", seeds)
		}
	}
}

// onSessionUp subscribes to a control host when a session with it begins, and removes what belongs
// to the session when it ends. Sessions with other hosts are ignored.
func (f *follower) onSessionUp(s *peer.Session) {
	if s.Remote().Replica == "" {
		return
	}
	f.n.log.Info("control host found", "control_host", s.Remote().Host, "address", s.Remote().Address)
	_ = s.Post(&wire.Attach{Role: f.role})
	if f.quarantine != nil {
		_ = s.Post(&wire.Suspicions{All: f.quarantine.All()})
	}
	if f.notices != nil {
		_ = s.Post(&wire.Notices{All: f.notices()})
	}
	go func() {
		<-s.Done()
		f.n.log.Info("control host lost", "control_host", s.Remote().Host, "quiet_ms", s.SilentFor().Milliseconds())
		f.mu.Lock()
		delete(f.loadDecoders, s)
		f.mu.Unlock()
		if f.dropSource != nil && f.n.pool.LiveSession(s.Remote().Address) == nil {
			f.dropSource(s.Remote().Host)
		}
	}()
}

// handleMessage applies a message from a control host. It ignores other kinds of messages.
func (f *follower) handleMessage(s *peer.Session, call uint64, m wire.Message) {
	switch m := m.(type) {
	case *wire.Upstreams:
		f.handleUpstreams(s, call, m)
	case *wire.Hosts:
		f.applyHosts(m)
	case *wire.EngineLoads:
		if f.setLoads != nil {
			f.setLoads(f.decodeLoads(s, m))
		}
	case *wire.Evacuations:
		f.applyEvacuations(s, m)
		if call != 0 {
			_ = s.Reply(call, &wire.Ack{})
		}
	case *wire.ConfigurationNotice:
		f.handleNotice(s, m.Number)
	case *wire.Notices:
		if f.mergeNotices != nil {
			f.mergeNotices(s.Remote().Host, m.All)
		}
	case *wire.Suspicions:
		if f.quarantine != nil {
			f.quarantine.Merge(m.All)
		}
	}
}

// applyHosts applies what a control host tells of the other hosts. A message with demands comes every
// second from each control host, also from those that reach only some of the entry hosts, so its number
// of entry hosts is not used.
func (f *follower) applyHosts(m *wire.Hosts) {
	f.controlHosts.Add(m.ControlHosts...)
	switch {
	case len(m.Demands) > 0 && f.setTotalDemands != nil:
		f.setTotalDemands(m.Demands)
	case len(m.Demands) == 0 && f.setEntryHostCount != nil:
		f.setEntryHostCount(m.EntryHosts)
	}
}

// applyEvacuations puts a list of evacuated data centres into force, if the role obeys it.
func (f *follower) applyEvacuations(s *peer.Session, m *wire.Evacuations) {
	if f.setEvacuations != nil {
		f.setEvacuations(s.Remote().Host, m)
	}
}

// handleUpstreams applies what a control host tells of upstreams.
func (f *follower) handleUpstreams(s *peer.Session, call uint64, m *wire.Upstreams) {
	if m.Leaving != "" {
		f.replyResolved(s, call, m.Leaving)
		return
	}
	err := f.mergeUpstreams(s.Remote().Host, m.All)
	if f.mergeDepartures != nil && len(m.Departures) > 0 {
		f.mergeDepartures(s.Remote().Host, m.Departures)
	}
	f.replyMerged(s, call, err)
}

// replyResolved tells a control host which incarnation of an upstream leaves.
func (f *follower) replyResolved(s *peer.Session, call uint64, id string) {
	var startedAt int64
	var err error
	if f.resolveLeave != nil {
		startedAt, err = f.resolveLeave(id)
	}
	_ = s.Reply(call, control.ResolvedReply(id, startedAt, err))
}

// replyMerged tells a control host whether the upstreams that it has sent in a call are in use.
func (f *follower) replyMerged(s *peer.Session, call uint64, err error) {
	if err != nil {
		f.n.log.Warn("upstreams not applied", "from", s.Remote().Host, "error", err.Error())
	}
	switch {
	case call == 0:
	case err != nil:
		_ = s.Reply(call, peer.NewFailure(verdict.New(verdict.NotRun, verdict.CodeConflict, err.Error())))
	default:
		_ = s.Reply(call, &wire.Ack{})
	}
}

// sendSuspicions sends new suspicions to all connected control hosts.
func (n *Node) sendSuspicions(updates []quarantine.Suspicion) {
	n.postToControlHosts(&wire.Suspicions{All: updates})
}

// sendNotices sends what upstreams have stated to all connected control hosts.
func (n *Node) sendNotices(all []backpressure.Notice) { n.postToControlHosts(&wire.Notices{All: all}) }

// postToControlHosts sends a message to all connected control hosts. A session whose queue is full
// is closed, because the next session with that host starts by sending everything.
func (n *Node) postToControlHosts(m wire.Message) {
	for _, s := range n.pool.Sessions() {
		if s.Remote().Replica != "" {
			s.PostOrClose(m)
		}
	}
}

// decodeLoads decodes the engine loads in a message and counts those that can't be decoded.
func (f *follower) decodeLoads(s *peer.Session, m *wire.EngineLoads) []wire.EngineLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	decoder := f.loadDecoders[s]
	if decoder == nil {
		decoder = &engineload.Decoder{}
		f.loadDecoders[s] = decoder
	}
	loads, undecoded := decoder.Decode(m)
	metrics.GetOrRegisterCounter("engine-loads.unread", f.n.metrics).Inc(int64(undecoded))
	return loads
}

// handleNotice starts to fetch a configuration that a control host has announced, if it is newer
// than the one in force or the host doesn't have a current one yet.
func (f *follower) handleNotice(s *peer.Session, number uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if number >= f.wanted {
		f.wanted = number
		f.source = s
	}
	if f.isFetching || f.isCurrent && f.wanted <= f.applied {
		return
	}
	f.isFetching = true
	go f.fetch()
}

// fetch requests configurations until the host has the highest announced one.
func (f *follower) fetch() {
	for {
		f.mu.Lock()
		if f.isCurrent && f.wanted <= f.applied {
			f.isFetching = false
			f.mu.Unlock()
			return
		}
		source, isCurrent, applied := f.source, f.isCurrent, f.applied
		f.mu.Unlock()
		if !source.Alive() {
			source = f.otherControlSession(source)
		}
		if source == nil || !f.fetchFrom(source, applied, !isCurrent && time.Since(f.started) < linearizableTimeout) {
			time.Sleep(fetchRetryDelay)
			f.switchSource()
		}
		if f.appliedNumber() > applied {
			// If several configurations are announced during this pause, only the newest is
			// fetched.
			time.Sleep(f.minFetchInterval)
		}
	}
}

// appliedNumber returns the number of the configuration in force.
func (f *follower) appliedNumber() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.applied
}

// controlSession returns the live session with the control host that has the lowest address, nil if
// there is none. All hosts that are connected to the same control hosts thus choose the same one.
func (n *Node) controlSession() *peer.Session {
	var lowest *peer.Session
	for _, s := range n.pool.Sessions() {
		r := s.Remote()
		if r.Replica != "" && (lowest == nil || r.Address < lowest.Remote().Address) {
			lowest = s
		}
	}
	return lowest
}

// silenceOf is gateway.Config.SilenceOf.
func (n *Node) silenceOf(controlHost string) time.Duration {
	silence := gateway.NoSession
	for _, s := range n.pool.Sessions() {
		if s.Remote().Host == controlHost && s.Remote().Replica != "" && (silence < 0 || s.SilentFor() < silence) {
			silence = s.SilentFor()
		}
	}
	return silence
}

// otherControlSession returns a live session with a control host other than the given one, nil if
// there is none.
func (f *follower) otherControlSession(excluded *peer.Session) *peer.Session {
	for _, s := range f.n.pool.Sessions() {
		if s != excluded && s.Remote().Replica != "" {
			return s
		}
	}
	return nil
}

// switchSource makes another control host, if there is one, the source of the next fetch.
func (f *follower) switchSource() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.otherControlSession(f.source); s != nil {
		f.source = s
	}
}

// fetchFrom requests the configuration of a control host, unless that has been done already, and waits
// for a while until the answer is in force. It reports whether this host has the wanted configuration or a
// newer one then. An answer that takes longer is put into force as well: on a slow link, requests that are
// given up and sent again would all come too late.
func (f *follower) fetchFrom(s *peer.Session, applied uint64, isLinearizable bool) bool {
	answered := f.request(s, applied, isLinearizable)
	timer := time.NewTimer(fetchTimeout)
	defer timer.Stop()
	select {
	case <-answered:
	case <-timer.C:
		f.n.log.Info("configuration is late", "from", s.Remote().Host, "held", applied, "linearizable", isLinearizable)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isCurrent && f.applied >= f.wanted
}

// request starts a request for the configuration of a control host, unless one is in progress. The channel
// is closed when it has ended and the answer is in force.
func (f *follower) request(s *peer.Session, applied uint64, isLinearizable bool) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if answered := f.asked[s]; answered != nil {
		return answered
	}
	answered := make(chan struct{})
	if f.asked == nil {
		f.asked = make(map[*peer.Session]chan struct{})
	}
	f.asked[s] = answered
	go func() {
		defer close(answered)
		f.applyAnswer(s, applied, isLinearizable)
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.asked, s)
	}()
	return answered
}

// applyAnswer requests the configuration of a control host and puts it into force if it is newer than the
// one that is.
func (f *follower) applyAnswer(s *peer.Session, applied uint64, isLinearizable bool) {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	reply, _, err := s.Call(ctx, &wire.ConfigurationQuery{NewerThan: applied, Linearizable: isLinearizable})
	answer, ok := reply.(*wire.ConfigurationAnswer)
	if err != nil || !ok {
		f.n.log.Info("configuration not fetched", "from", s.Remote().Host, "held", applied,
			"linearizable", isLinearizable, "error", fmt.Sprint(err))
		return
	}
	f.applying.Lock()
	defer f.applying.Unlock()
	// The evacuations must be in force before the first configuration is, because the host serves
	// callers from then on.
	if answer.Evacuations != nil {
		f.applyEvacuations(s, answer.Evacuations)
	}
	if answer.Number > f.appliedNumber() && !f.apply(answer) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isCurrent = true
	f.applied = max(f.applied, answer.Number)
}

func (f *follower) apply(answer *wire.ConfigurationAnswer) bool {
	table, err := f.n.platform.DecodeTable(answer.Data)
	if err != nil {
		f.n.log.Error("can't decode configuration", "configuration", answer.Number, "error", err.Error())
		return false
	}
	if f.applyTable(table) {
		f.n.log.Info("configuration in force", "configuration", table.Number, "routes", len(table.Routes))
	}
	return true
}
