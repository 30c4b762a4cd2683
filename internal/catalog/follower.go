package catalog

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/pause"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// confirmTimeout is how long a control host may send no confirmation that it is up to
	// date before the follower changes to another one.
	confirmTimeout = 5 * time.Second
	// sourceSilenceTimeout is how long the watched control host may be silent, which is probed every second,
	// before the follower changes to another one. A host that is frozen or cut off sends no documents, and
	// the next one has them. A change costs one message, so a false one does no harm.
	sourceSilenceTimeout = 1500 * time.Millisecond
	retryDelay           = 300 * time.Millisecond
	reportInterval       = 5 * time.Second
	// queryTimeout bounds the queries to the other entry hosts of the data centre.
	queryTimeout = 2 * time.Second
	// isolatedStartTimeout is how long a host that finds no up-to-date control host waits
	// after its start, before it serves by the documents that the entry hosts of its data
	// centre have.
	isolatedStartTimeout = 5 * time.Second
)

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Store *Store
	Pool  *peer.Pool
	// ControlHosts are the addresses of the control hosts, EntryPeers those of the other entry
	// hosts of the data centre.
	ControlHosts []string
	EntryPeers   []string
	// SetEvacuations puts a list of evacuated data centres into force, unless it is out of date, and
	// Evacuations returns the one in force, nil if there is none. Both are nil on hosts that don't
	// send requests to upstreams.
	SetEvacuations func(source string, m *wire.Evacuations)
	Evacuations    func() *wire.Evacuations
	// Self describes this host in its reports to control hosts.
	Self    wire.ActiveRevision
	Log     *slog.Logger
	Metrics metrics.Registry
}

// Follower keeps a Store up to date. It gets documents from one control host that confirms
// that it is up to date. If it finds no such control host, it gets those that the other entry
// hosts of the data centre have.
type Follower struct {
	cfg       FollowerConfig
	isSynced  atomic.Bool
	ready     chan struct{}
	readyOnce sync.Once

	// mu guards source and confirmedAt.
	mu sync.Mutex
	// source is the session with the control host that is watched, nil if there is none.
	source *peer.Session
	// confirmedAt is when the source last confirmed that it is up to date, or when it was
	// chosen.
	confirmedAt time.Time
}

// NewFollower returns a Follower. Call Run to start it.
func NewFollower(cfg FollowerConfig) *Follower {
	return &Follower{cfg: cfg, ready: make(chan struct{})}
}

// Ready returns a channel that is closed once the Store has all documents of an up-to-date
// control host or, if there is none, of the reachable entry hosts of the data centre. The
// host must not serve requests earlier, because after a restart it could serve by older
// documents than before.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

func (f *Follower) markReady() {
	f.readyOnce.Do(func() {
		f.cfg.Log.Info("documents are up to date", "revision", f.cfg.Store.Revision())
		close(f.ready)
	})
}

// Run keeps the Store up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, task := range []func(context.Context){f.followControl, f.queryEntryPeers, f.reportLoop} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			task(ctx)
		}()
	}
	wg.Wait()
}

// followControl watches one control host as long as it is up to date, then the next one. It
// begins with a random one.
func (f *Follower) followControl(ctx context.Context) {
	if len(f.cfg.ControlHosts) == 0 {
		return
	}
	next := rand.IntN(len(f.cfg.ControlHosts))
	for ctx.Err() == nil {
		address := f.cfg.ControlHosts[next%len(f.cfg.ControlHosts)]
		next++
		s, err := f.cfg.Pool.Get(ctx, address)
		if err != nil {
			pause.For(ctx, retryDelay)
			continue
		}
		f.watchSource(ctx, s)
	}
}

// watchSource watches a control host until its session ends, it is silent, or its last confirmation is
// older than confirmTimeout.
func (f *Follower) watchSource(ctx context.Context, s *peer.Session) {
	f.setSource(s)
	defer f.setSource(nil)
	s.StartProbing()
	defer s.StopProbing()
	began := time.Now()
	if s.Post(&wire.Watch{Since: f.cfg.Store.Revision()}) != nil {
		pause.For(ctx, retryDelay)
		return
	}
	ticker := time.NewTicker(retryDelay)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.Done():
			return
		case <-ticker.C:
			silence := min(s.SilentFor(), time.Since(began))
			if silence > sourceSilenceTimeout || f.sinceConfirmed() > confirmTimeout {
				f.cfg.Log.Warn("control host is not current", "host", s.Remote().Host, "silent_ms", silence.Milliseconds())
				return
			}
		}
	}
}

func (f *Follower) setSource(s *peer.Session) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.source = s
	f.confirmedAt = time.Now()
}

// sinceConfirmed returns the time since the last confirmation.
func (f *Follower) sinceConfirmed() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.confirmedAt)
}

// IsCurrent reports whether a control host confirmed within confirmTimeout that it is up to
// date.
func (f *Follower) IsCurrent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.source != nil && f.isSynced.Load() && time.Since(f.confirmedAt) <= confirmTimeout
}

// HandlePeer handles a message from another host. It returns false if the message does not
// concern documents or evacuations.
func (f *Follower) HandlePeer(s *peer.Session, call uint64, m wire.Message) bool {
	switch m := m.(type) {
	case *wire.Changes:
		f.handleChanges(s, m)
	case *wire.Watch:
		c, _ := f.cfg.Store.Since(m.Since)
		if f.cfg.Evacuations != nil {
			c.Evacuations = f.cfg.Evacuations()
		}
		_ = s.Reply(call, c)
	case *wire.Evacuations:
		f.applyEvacuations(s, m)
		if call != 0 {
			_ = s.Reply(call, &wire.Ack{})
		}
	default:
		return false
	}
	return true
}

// applyEvacuations puts a list of evacuated data centres into force, if there is one.
func (f *Follower) applyEvacuations(s *peer.Session, m *wire.Evacuations) {
	if m != nil && f.cfg.SetEvacuations != nil {
		f.cfg.SetEvacuations(s.Remote().Host, m)
	}
}

func (f *Follower) handleChanges(s *peer.Session, m *wire.Changes) {
	// The evacuations must be in force before the host is ready to serve callers.
	f.applyEvacuations(s, m.Evacuations)
	if f.cfg.Store.Merge(m.Documents) {
		f.sendReport(s)
	}
	if !m.Linearizable {
		return
	}
	f.mu.Lock()
	if f.source == s {
		f.confirmedAt = time.Now()
		f.isSynced.Store(true)
	}
	f.mu.Unlock()
	f.markReady()
}

// queryEntryPeers queries the other entry hosts of the data centre after the start, and as
// long as no control host is up to date.
func (f *Follower) queryEntryPeers(ctx context.Context) {
	started := time.Now()
	for ctx.Err() == nil {
		if !f.IsCurrent() {
			f.queryAll(ctx)
			if time.Since(started) >= isolatedStartTimeout {
				f.markReady()
			}
		}
		pause.For(ctx, time.Second)
	}
}

// queryAll queries all entry peers in parallel.
func (f *Follower) queryAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, address := range f.cfg.EntryPeers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.query(ctx, address)
		}()
	}
	wg.Wait()
}

// query merges the documents of one entry host into the Store.
func (f *Follower) query(ctx context.Context, address string) {
	s, err := f.cfg.Pool.Get(ctx, address)
	if err != nil {
		return
	}
	reply, _, err := s.Call(ctx, &wire.Watch{Since: f.cfg.Store.Revision(), CurrentOnly: true})
	if err != nil {
		return
	}
	if c, ok := reply.(*wire.Changes); ok {
		f.applyEvacuations(s, c.Evacuations)
		f.cfg.Store.Merge(c.Documents)
	}
}

// reportLoop regularly reports the revision in force on this host to the source.
func (f *Follower) reportLoop(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		s := f.source
		f.mu.Unlock()
		if s != nil {
			f.sendReport(s)
		}
		pause.For(ctx, reportInterval)
	}
}

// sendReport sends the revision in force on this host.
func (f *Follower) sendReport(s *peer.Session) {
	self := f.cfg.Self
	self.Revision = f.cfg.Store.InForce()
	_ = s.Post(&wire.InForce{Hosts: []wire.ActiveRevision{self}})
}
