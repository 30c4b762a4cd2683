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
	// OwnersPerUpstream is how many owners an agent announces to.
	OwnersPerUpstream = 2
	// avoidTime is how long an agent passes over an owner that did not answer.
	avoidTime       = 5 * time.Second
	announceTimeout = 700 * time.Millisecond
)

// AnnouncerConfig is what an Announcer needs.
type AnnouncerConfig struct {
	// Hosts are the entry hosts of the agent's data centre.
	Hosts    []Host
	Pool     *peer.Pool
	Interval time.Duration
	// Record returns the present record and the cache events not yet announced. Its
	// Seq is set by the Announcer.
	Record func() (wire.Upstream, []wire.CacheEvent)
	// Raise tells the agent to take a start number above the one given, since an
	// owner knows a later start of the same name.
	Raise func(known uint64)
	Now   func() time.Duration
	Log   *slog.Logger
}

// Announcer tells the owners of an upstream about it.
type Announcer struct {
	cfg        AnnouncerConfig
	wake       chan struct{}
	avoidUntil map[string]time.Duration
	seq        uint64

	isRegistered atomic.Bool
}

// NewAnnouncer returns an Announcer that Run starts.
func NewAnnouncer(cfg AnnouncerConfig) *Announcer {
	return &Announcer{cfg: cfg, wake: make(chan struct{}, 1), avoidUntil: make(map[string]time.Duration)}
}

// IsRegistered reports whether an owner holds this start's record.
func (a *Announcer) IsRegistered() bool { return a.isRegistered.Load() }

// AnnounceNow announces at once, without waiting for the interval.
func (a *Announcer) AnnounceNow() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run announces until ctx ends.
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

// announceToOwners announces to the first owners that answer.
func (a *Announcer) announceToOwners(ctx context.Context) {
	up, events := a.cfg.Record()
	a.seq++
	up.Seq = a.seq
	owners := a.candidates(up.Name)
	need := OwnersPerUpstream
	for len(owners) > 0 && need > 0 {
		batch := owners[:min(need, len(owners))]
		owners = owners[len(batch):]
		need -= a.announceAll(ctx, batch, up, events, OwnersPerUpstream-need)
	}
	if was := a.isRegistered.Swap(need < OwnersPerUpstream); was != (need < OwnersPerUpstream) {
		a.cfg.Log.Info("directory contact changed", "heard", !was)
	}
}

// candidates returns the owners in order; those that lately failed come last.
func (a *Announcer) candidates(upstream string) []Host {
	now := a.cfg.Now()
	var good, bad []Host
	for _, h := range Owners(a.cfg.Hosts, upstream) {
		if until, ok := a.avoidUntil[h.Name]; ok && now < until {
			bad = append(bad, h)
			continue
		}
		good = append(good, h)
	}
	return append(good, bad...)
}

// announceAll returns how many of the hosts took the record. taken is how many
// owners hold it already; only the first passes on load reports.
func (a *Announcer) announceAll(ctx context.Context, hosts []Host, up wire.Upstream, events []wire.CacheEvent, taken int) int {
	ok := make([]bool, len(hosts))
	var wg sync.WaitGroup
	for i, h := range hosts {
		m := &wire.Announce{Upstream: up, Standby: taken+i > 0}
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
		a.cfg.Raise(ack.Incarnation)
		a.AnnounceNow()
	}
	return isAck
}
