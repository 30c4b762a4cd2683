package directory

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/pause"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// flushInterval is how often an owner sends changes to its subscribers.
	flushInterval = 100 * time.Millisecond
	// noticeInterval is how often an owner sends its version, so that subscribers notice
	// that they missed changes.
	noticeInterval = 10 * time.Second
	retryDelay     = 500 * time.Millisecond
	// incomingSessionWait is how long a host waits for the session of a host whose name
	// sorts before its own, before it dials that host itself. If both dialled, the two hosts
	// could end up with two sessions.
	incomingSessionWait = time.Second
	// The interval at which an owner forwards load reports is minLoadInterval, or
	// loadIntervalPerHost for each entry host if that is longer. It grows with the number of
	// receivers, so that the cost for each host remains the same.
	minLoadInterval     = time.Second
	loadIntervalPerHost = 75 * time.Millisecond
)

// ServiceConfig configures a Service.
type ServiceConfig struct {
	// Self is the name of this entry host. Hosts are all entry hosts of its data centre,
	// including this one.
	Self  string
	Hosts []Host
	// Incarnation identifies this start of the process.
	Incarnation uint64
	Pool        *peer.Pool
	Timeouts    Timeouts
	// Now returns the time on a monotonic clock.
	Now     func() time.Duration
	Log     *slog.Logger
	Metrics metrics.Registry
	// OnEvents, if set, is called with the cache events of an upstream as they arrive.
	OnEvents func(upstream string, events []wire.CacheEvent)
}

// Service is the directory on one entry host. The host owns some upstreams and subscribes to
// all other owners.
type Service struct {
	cfg ServiceConfig

	// mu guards table, view, version and subscribers. While it is held, messages are sent
	// only by Session.Post, which does not block.
	mu    sync.Mutex
	table *Table
	view  *View
	// version is the number of the last delta that this host sent as an owner.
	version     uint64
	subscribers map[*peer.Session]bool

	entries       atomic.Pointer[[]Entry]
	sent          metrics.Counter
	gaps          metrics.Counter
	announcements metrics.Counter
}

// NewService returns a Service. Call Run to start it.
func NewService(cfg ServiceConfig) *Service {
	if cfg.Timeouts == (Timeouts{}) {
		cfg.Timeouts = DefaultTimeouts
	}
	d := &Service{
		cfg:           cfg,
		table:         NewTable(cfg.Timeouts),
		view:          NewView(),
		subscribers:   make(map[*peer.Session]bool),
		sent:          metrics.GetOrRegisterCounter("directory.deltas.sent", cfg.Metrics),
		gaps:          metrics.GetOrRegisterCounter("directory.gaps", cfg.Metrics),
		announcements: metrics.GetOrRegisterCounter("directory.announcements", cfg.Metrics),
	}
	d.entries.Store(&[]Entry{})
	return d
}

// Entries returns the known upstreams. The slice is shared; callers must not modify it.
func (d *Service) Entries() []Entry { return *d.entries.Load() }

// Run subscribes to the other hosts and sends the changes of this host until ctx ends.
func (d *Service) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, h := range d.cfg.Hosts {
		if h.Name == d.cfg.Self {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.followOwner(ctx, h)
		}()
	}
	d.flushLoop(ctx)
	wg.Wait()
}

func (d *Service) flushLoop(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	var lastLoads, lastNotice time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := d.cfg.Now()
		loadsDue := now-lastLoads >= d.loadInterval()
		if loadsDue {
			lastLoads = now
		}
		noticeDue := now-lastNotice >= noticeInterval
		if noticeDue {
			lastNotice = now
		}
		d.flush(now, loadsDue, noticeDue)
	}
}

func (d *Service) loadInterval() time.Duration {
	return max(minLoadInterval, time.Duration(len(d.cfg.Hosts))*loadIntervalPerHost)
}

// flush removes expired records and sends what has changed to the subscribers. withLoads
// includes load reports, and withNotice sends the current version too.
func (d *Service) flush(now time.Duration, withLoads, withNotice bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Expire(now)
	isChanged := d.view.Expire(now)
	delta := d.table.Flush(withLoads)
	if delta != nil {
		d.version++
		delta.Incarnation, delta.Version = d.cfg.Incarnation, d.version
		d.broadcast(delta)
		d.applyLocal(delta, now)
		isChanged = true
	}
	if withNotice {
		d.broadcast(&wire.DigestNotice{Incarnation: d.cfg.Incarnation, Version: d.version})
	}
	if isChanged {
		d.publish()
	}
}

// applyLocal applies a delta of this host's own table to its view. The caller holds mu.
func (d *Service) applyLocal(delta *wire.Delta, now time.Duration) {
	if !d.view.Apply(d.cfg.Self, delta, now) {
		full := d.table.Full()
		full.Incarnation, full.Version = d.cfg.Incarnation, d.version
		d.view.Apply(d.cfg.Self, full, now)
	}
	d.deliverEvents(delta)
}

func (d *Service) deliverEvents(delta *wire.Delta) {
	if d.cfg.OnEvents == nil {
		return
	}
	for _, e := range delta.Events {
		d.cfg.OnEvents(e.Name, e.Events)
	}
}

// publish updates the list that Entries returns without a lock. The caller holds mu.
func (d *Service) publish() {
	entries := d.view.Entries()
	d.entries.Store(&entries)
}

// broadcast posts m to all subscribers. If the queue of a subscriber is full, the message
// is lost, and the subscriber notices the gap by the next version. The caller holds mu.
func (d *Service) broadcast(m wire.Message) {
	for s := range d.subscribers {
		if !s.Alive() {
			delete(d.subscribers, s)
			continue
		}
		if s.Post(m) == nil {
			d.sent.Inc(1)
		}
	}
}

// HandlePeer handles a message from another host. It returns false if the message is not
// for the directory.
func (d *Service) HandlePeer(s *peer.Session, call uint64, m wire.Message) bool {
	switch m := m.(type) {
	case *wire.Announce:
		d.handleAnnounce(s, call, m)
	case *wire.Subscribe:
		d.handleSubscribe(s)
	case *wire.Delta:
		d.handleDelta(s, m)
	case *wire.DigestNotice:
		d.handleNotice(s, m)
	case *wire.GroupQuery:
		_ = s.Reply(call, d.groupMembers(m.Group))
	default:
		return false
	}
	return true
}

func (d *Service) handleAnnounce(s *peer.Session, call uint64, m *wire.Announce) {
	d.announcements.Inc(1)
	now := d.cfg.Now()
	d.mu.Lock()
	urgent := d.table.Announce(m, now)
	known := d.table.Incarnation(m.Upstream.Name)
	d.mu.Unlock()
	if urgent {
		d.flush(now, false, false)
	}
	_ = s.Reply(call, &wire.AnnounceAck{Incarnation: known})
}

func (d *Service) handleSubscribe(s *peer.Session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	full := d.table.Full()
	full.Incarnation, full.Version = d.cfg.Incarnation, d.version
	if s.Post(full) == nil {
		d.subscribers[s] = true
	}
}

// groupMembers returns the hosts of a group. It includes suspect ones, because the caller
// needs all ranks of the group.
func (d *Service) groupMembers(name string) *wire.GroupAnswer {
	a := &wire.GroupAnswer{}
	for _, e := range d.Entries() {
		if u := e.Upstream; u.Group == name && u.Ranks > 0 {
			a.Members = append(a.Members, wire.GroupMember{Address: u.Address, FirstRank: u.FirstRank, Ranks: u.Ranks})
		}
	}
	return a
}

func (d *Service) handleDelta(s *peer.Session, m *wire.Delta) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.view.Apply(s.Remote().Host, m, d.cfg.Now()) {
		d.resubscribe(s)
		return
	}
	d.deliverEvents(m)
	d.publish()
}

func (d *Service) handleNotice(s *peer.Session, m *wire.DigestNotice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.view.IsCurrent(s.Remote().Host, m) {
		d.resubscribe(s)
	}
}

// resubscribe requests the full table of an owner, after a delta of it was missed.
func (d *Service) resubscribe(s *peer.Session) {
	d.gaps.Inc(1)
	_ = s.Post(&wire.Subscribe{})
}

// followOwner maintains a subscription to one owner until ctx ends. After the session is
// lost, it subscribes again.
func (d *Service) followOwner(ctx context.Context, h Host) {
	if d.cfg.Self > h.Name {
		d.awaitIncomingSession(ctx, h)
	}
	for ctx.Err() == nil {
		s, err := d.cfg.Pool.Get(ctx, h.Address)
		if err == nil {
			err = s.Post(&wire.Subscribe{})
		}
		if err != nil {
			pause.For(ctx, retryDelay)
			continue
		}
		select {
		case <-ctx.Done():
		case <-s.Done():
			d.ownerDisconnected(h.Name)
		}
	}
}

// awaitIncomingSession waits up to incomingSessionWait for the other host to dial.
func (d *Service) awaitIncomingSession(ctx context.Context, h Host) {
	deadline := d.cfg.Now() + incomingSessionWait
	for ctx.Err() == nil && d.cfg.Now() < deadline && d.cfg.Pool.LiveSession(h.Address) == nil {
		pause.For(ctx, flushInterval)
	}
}

func (d *Service) ownerDisconnected(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view.OwnerDisconnected(name, d.cfg.Now())
	d.publish()
	d.cfg.Log.Info("directory host lost", "host", name)
}
