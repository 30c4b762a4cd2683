package directory

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// OwnersPerUpstream is how many owners hold the record of an upstream.
	OwnersPerUpstream = 2
	// avoidTime is how long an owner that did not acknowledge is tried after all others.
	avoidTime = 5 * time.Second
	// announceTimeout bounds one announcement to one owner, including the dial.
	announceTimeout = 700 * time.Millisecond
)

// AnnouncerConfig configures an Announcer.
type AnnouncerConfig struct {
	// Hosts are the entry hosts of the agent's data centre.
	Hosts    []Host
	Pool     *peer.Pool
	Interval time.Duration
	// Record returns the upstream's current record and the cache events that were not yet
	// announced. The Announcer sets the record's Seq.
	Record func() (wire.Upstream, []wire.CacheEvent)
	// RaiseIncarnation makes the agent use an incarnation number above known, because an owner
	// has a record with that higher number under the same name.
	RaiseIncarnation func(known uint64)
	// Now returns the time on a monotonic clock.
	Now func() time.Duration
	Log *slog.Logger
}

// Announcer announces one upstream to its owners.
type Announcer struct {
	cfg AnnouncerConfig
	// wake makes Run announce before the interval has passed.
	wake chan struct{}
	// avoidUntil holds, by host name, until when an owner that failed is tried last.
	avoidUntil map[string]time.Duration
	seq        uint64

	isRegistered atomic.Bool
}

// NewAnnouncer returns an Announcer. Call Run to start it.
func NewAnnouncer(cfg AnnouncerConfig) *Announcer {
	return &Announcer{cfg: cfg, wake: make(chan struct{}, 1), avoidUntil: make(map[string]time.Duration)}
}

// IsRegistered reports whether an owner has acknowledged the last announcement.
func (a *Announcer) IsRegistered() bool { return a.isRegistered.Load() }

// AnnounceNow makes Run announce without waiting for the interval.
func (a *Announcer) AnnounceNow() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run announces the upstream at each interval until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	ticker := time.NewTicker(a.cfg.Interval)
	defer ticker.Stop()
	for {
		a.announceToOwners(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-a.wake:
		}
	}
}

// announceToOwners announces to hosts in the order of candidates until OwnersPerUpstream of
// them have acknowledged.
func (a *Announcer) announceToOwners(ctx context.Context) {
	up, events := a.cfg.Record()
	a.seq++
	up.Seq = a.seq
	owners := a.candidates(up.Name)
	missing := OwnersPerUpstream
	for len(owners) > 0 && missing > 0 {
		batch := owners[:min(missing, len(owners))]
		owners = owners[len(batch):]
		missing -= a.announceAll(ctx, batch, up, events, OwnersPerUpstream-missing)
	}
	if wasRegistered := a.isRegistered.Swap(missing < OwnersPerUpstream); wasRegistered != (missing < OwnersPerUpstream) {
		a.cfg.Log.Info("directory contact changed", "heard", !wasRegistered)
	}
}

// candidates returns the hosts ranked by Owners, but those that failed recently come last.
func (a *Announcer) candidates(upstream string) []Host {
	now := a.cfg.Now()
	var preferred, avoided []Host
	for _, h := range Owners(a.cfg.Hosts, upstream) {
		if until, ok := a.avoidUntil[h.Name]; ok && now < until {
			avoided = append(avoided, h)
			continue
		}
		preferred = append(preferred, h)
	}
	return append(preferred, avoided...)
}

// announceAll announces to several hosts in parallel and returns how many acknowledged.
// acknowledged is the number of hosts that acknowledged before. Only the first host gets
// the cache events and forwards load reports; the record is marked as Standby for others.
func (a *Announcer) announceAll(ctx context.Context, hosts []Host, up wire.Upstream, events []wire.CacheEvent, acknowledged int) int {
	ok := make([]bool, len(hosts))
	var wg sync.WaitGroup
	for i, h := range hosts {
		m := &wire.Announce{Upstream: up, Standby: acknowledged+i > 0}
		if !m.Standby {
			m.Events = events
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			ok[i] = a.announce(ctx, h, m)
		}()
	}
	wg.Wait()
	count := 0
	for i, h := range hosts {
		if ok[i] {
			count++
			delete(a.avoidUntil, h.Name)
			continue
		}
		a.avoidUntil[h.Name] = a.cfg.Now() + avoidTime
	}
	return count
}

// announce sends an announcement to one host and reports whether it was acknowledged.
func (a *Announcer) announce(ctx context.Context, h Host, m *wire.Announce) bool {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	s, err := a.cfg.Pool.Get(ctx, h.Address)
	if err != nil {
		return false
	}
	reply, _, err := s.Call(ctx, m)
	if err != nil {
		return false
	}
	ack, isAck := reply.(*wire.AnnounceAck)
	if isAck && ack.Incarnation > m.Upstream.Incarnation {
		a.cfg.RaiseIncarnation(ack.Incarnation)
		a.AnnounceNow()
	}
	return isAck
}
