package node

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/control"
	"github.com/sassafraspost/sassafraspost/internal/engineload"
	"github.com/sassafraspost/sassafraspost/internal/pause"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// fetchTimeout bounds one question for a configuration.
	fetchTimeout = 600 * time.Millisecond
	// fetchDelay is the pause after a question that failed.
	fetchDelay = 50 * time.Millisecond
	// agentRest is how long an agent waits between two configurations: it needs the shape of
	// its group only, which rarely changes, and the orders of a change of map would wait
	// behind configurations on its link.
	agentRest = 2 * time.Second
	// trustAfter is how long a host that starts looks for a control host that can show
	// that its configuration is the newest. Where none can, as in a data centre that is
	// cut off, it goes on with the newest that it found.
	trustAfter = 6 * time.Second
	// reloadInterval is how often the settings are read again without being asked.
	reloadInterval = 2 * time.Second
)

func portText(p uint16) string { return strconv.Itoa(int(p)) }

// follower keeps a host up to date with what the control hosts tell.
type follower struct {
	n    *Node
	role string
	book *control.Book
	// merge takes upstreams, lose tells that a source is gone, hosts how many entry
	// hosts there are, configure puts a configuration into force.
	merge     func(source string, all []registry.Upstream)
	lose      func(source string)
	hosts     func(entries int)
	configure func(t *routetable.Table) bool
	// loads takes the loads of engines; nil where they don't matter.
	loads func(all []wire.EngineLoad)
	// quarantine is what is known of requests under which upstreams ended; nil where requests
	// of callers don't come.
	quarantine *quarantine.Keeper
	started    time.Time
	// rest is the least time between two configurations.
	rest time.Duration

	// mu guards the fields below.
	mu sync.Mutex
	// held is the number of the configuration in force, wanted the highest heard of, at
	// the session that told of it.
	held, wanted uint64
	source       *peer.Session
	// isCurrent is set once a control host has shown that its configuration is newest.
	isCurrent bool
	isBusy    bool
	// views are what each control host has told of engines.
	views map[*peer.Session]*engineload.Decoder
}

func newFollower(n *Node, role string) *follower {
	f := &follower{
		n: n, role: role, book: control.NewBook(n.set.seedPeers()...), started: time.Now(),
		views: make(map[*peer.Session]*engineload.Decoder),
	}
	n.up = f.up
	n.handle = f.handle
	return f
}

// run holds sessions with all control hosts until ctx ends.
func (f *follower) run(ctx context.Context) {
	go f.reload(ctx)
	control.FollowDialled(ctx, f.n.pool, f.book)
}

// reload takes in seeds that the settings name later.
func (f *follower) reload(ctx context.Context) { watchSeeds(ctx, f.n, f.book) }

// watchSeeds adds the seeds of the settings to the book, whenever they have changed.
func watchSeeds(ctx context.Context, n *Node, book *control.Book) {
	for ctx.Err() == nil {
		pause.For(ctx, reloadInterval)
		set, err := n.platform.Reload()
		if err != nil {
			n.log.Warn("settings can't be read again", "error", err.Error())
			continue
		}
		if seeds := without(set.seedPeers(), n.set.peerAddress(n.set.IP)); book.Add(seeds...) {
			n.log.Info("settings name new seeds", "seeds", seeds)
		}
	}
}

// up attaches to a control host.
func (f *follower) up(s *peer.Session) {
	if s.Remote().Replica == "" {
		return
	}
	f.n.log.Info("control host found", "control_host", s.Remote().Host, "address", s.Remote().Address)
	_ = s.Post(&wire.Attach{Role: f.role})
	if f.quarantine != nil {
		_ = s.Post(&wire.Suspicions{All: f.quarantine.All()})
	}
	go func() {
		<-s.Done()
		f.n.log.Info("control host lost", "control_host", s.Remote().Host, "quiet_ms", s.SilentFor().Milliseconds())
		f.mu.Lock()
		delete(f.views, s)
		f.mu.Unlock()
		if f.lose != nil && f.n.pool.Live(s.Remote().Address) == nil {
			f.lose(s.Remote().Host)
		}
	}()
}

func (f *follower) handle(s *peer.Session, call uint64, m wire.Message) {
	switch m := m.(type) {
	case *wire.Upstreams:
		f.merge(s.Remote().Host, m.All)
		if call != 0 {
			_ = s.Reply(call, &wire.Ack{})
		}
	case *wire.Hosts:
		f.book.Add(m.Control...)
		if f.hosts != nil {
			f.hosts(m.EntryHosts)
		}
	case *wire.EngineLoads:
		if f.loads != nil {
			f.loads(f.read(s, m))
		}
	case *wire.ConfigurationNotice:
		f.noticed(s, m.Number)
	case *wire.Suspicions:
		if f.quarantine != nil {
			f.quarantine.Merge(m.All)
		}
	}
}

// tellSuspicions tells all control hosts in touch. The others hear of it with the next session.
func (n *Node) tellSuspicions(news []quarantine.Suspicion) {
	m := &wire.Suspicions{All: news}
	for _, s := range n.pool.Sessions() {
		if s.Remote().Replica != "" && s.Post(m) != nil {
			s.Close()
		}
	}
}

// read returns the loads that a control host tells.
func (f *follower) read(s *peer.Session, m *wire.EngineLoads) []wire.EngineLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.views[s]
	if v == nil {
		v = &engineload.Decoder{}
		f.views[s] = v
	}
	loads, unread := v.Decode(m)
	metrics.GetOrRegisterCounter("engine-loads.unread", f.n.metrics).Inc(int64(unread))
	return loads
}

// noticed begins to fetch a configuration that is newer, or the first one.
func (f *follower) noticed(s *peer.Session, number uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if number >= f.wanted {
		f.wanted = number
		f.source = s
	}
	if f.isBusy || f.isCurrent && f.wanted <= f.held {
		return
	}
	f.isBusy = true
	go f.fetch()
}

// fetch asks until the host has what it wants.
func (f *follower) fetch() {
	for {
		f.mu.Lock()
		if f.isCurrent && f.wanted <= f.held {
			f.isBusy = false
			f.mu.Unlock()
			return
		}
		source, isCurrent, held := f.source, f.isCurrent, f.held
		f.mu.Unlock()
		if !source.Alive() {
			source = f.another(source)
		}
		if source == nil || !f.ask(source, held, !isCurrent && time.Since(f.started) < trustAfter) {
			time.Sleep(fetchDelay)
			f.turn()
		}
		if f.number() > held {
			// What is noticed meanwhile is fetched as one.
			time.Sleep(f.rest)
		}
	}
}

// number returns the number of the configuration in force.
func (f *follower) number() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held
}

// controlSession returns the live session with the control host of the lowest address,
// so that hosts of one kind tell the same one; nil if there is none.
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

// another returns a live session with a control host, nil if there is none.
func (f *follower) another(not *peer.Session) *peer.Session {
	for _, s := range f.n.pool.Sessions() {
		if s != not && s.Remote().Replica != "" {
			return s
		}
	}
	return nil
}

// turn asks another control host the next time.
func (f *follower) turn() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.another(f.source); s != nil {
		f.source = s
	}
}

// ask puts the configuration of a control host into force. It reports whether the
// control host answered.
func (f *follower) ask(s *peer.Session, held uint64, isLinearizable bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	reply, _, err := s.Call(ctx, &wire.ConfigurationQuery{NewerThan: held, Linearizable: isLinearizable})
	answer, ok := reply.(*wire.ConfigurationAnswer)
	if err != nil || !ok {
		f.n.log.Info("configuration not fetched", "from", s.Remote().Host, "held", held,
			"linearizable", isLinearizable, "error", fmt.Sprint(err))
		return false
	}
	if answer.Number > held && !f.apply(answer) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isCurrent = true
	f.held = max(f.held, answer.Number)
	return answer.Number >= f.wanted
}

func (f *follower) apply(answer *wire.ConfigurationAnswer) bool {
	table, err := f.n.platform.Decode(answer.Data)
	if err != nil {
		f.n.log.Error("configuration can't be decoded", "configuration", answer.Number, "error", err.Error())
		return false
	}
	if f.configure(table) {
		f.n.log.Info("configuration in force", "configuration", table.Number, "routes", len(table.Routes))
	}
	return true
}
