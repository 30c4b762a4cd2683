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
	// currencySpan is how long a source may go without showing that it is current
	// before the follower looks for another one.
	currencySpan = 5 * time.Second
	retryDelay   = 300 * time.Millisecond
	reportEvery  = 5 * time.Second
	// askTimeout bounds the questions to the other hosts of the data centre.
	askTimeout = 2 * time.Second
	// loneStart is how long a host without any current control host waits at its
	// start before it serves by what the hosts of its data centre know.
	loneStart = 5 * time.Second
)

// FollowerConfig is what a Follower needs.
type FollowerConfig struct {
	Store *Store
	Pool  *peer.Pool
	// Control are the addresses of the control hosts, Mates those of the other
	// entry hosts of the data centre.
	Control []string
	Mates   []string
	Self    wire.ActiveRevision
	Log     *slog.Logger
	Metrics metrics.Registry
}

// Follower keeps a Store up to date: from one control host that shows that it is
// current, and from the hosts of the data centre, which hold what control hosts
// said even where none of these can be reached.
type Follower struct {
	cfg    FollowerConfig
	synced atomic.Bool
	ready  chan struct{}
	once   sync.Once

	// mu guards source and shown.
	mu     sync.Mutex
	source *peer.Session
	// shown is when the source last showed that it is current.
	shown time.Time
}

// NewFollower returns a Follower that Run starts.
func NewFollower(cfg FollowerConfig) *Follower {
	return &Follower{cfg: cfg, ready: make(chan struct{})}
}

// Ready is closed once the Store holds no less than what any reachable host of
// the data centre, or a current control host, holds. Before that the host must
// not serve: after a restart it could go by an older document than before.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

func (f *Follower) markReady() {
	f.once.Do(func() {
		f.cfg.Log.Info("documents are up to date", "revision", f.cfg.Store.Revision())
		close(f.ready)
	})
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, task := range []func(context.Context){f.followControl, f.askMates, f.report} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			task(ctx)
		}()
	}
	wg.Wait()
}

// followControl stays with one control host as long as that one is current, and
// goes on to the next where it is not.
func (f *Follower) followControl(ctx context.Context) {
	if len(f.cfg.Control) == 0 {
		return
	}
	next := rand.IntN(len(f.cfg.Control))
	for ctx.Err() == nil {
		address := f.cfg.Control[next%len(f.cfg.Control)]
		next++
		s, err := f.cfg.Pool.Get(ctx, address)
		if err != nil {
			pause.For(ctx, retryDelay)
			continue
		}
		f.stay(ctx, s)
	}
}

// stay watches one control host until its session ends or it is no longer current.
func (f *Follower) stay(ctx context.Context, s *peer.Session) {
	f.setSource(s)
	defer f.setSource(nil)
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
			if f.silence() > currencySpan {
				f.cfg.Log.Warn("control host is not current", "host", s.Remote().Host)
				return
			}
		}
	}
}

func (f *Follower) setSource(s *peer.Session) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.source = s
	f.shown = time.Now()
}

func (f *Follower) silence() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.shown)
}

// IsCurrent reports whether a control host showed lately that it is current.
func (f *Follower) IsCurrent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.source != nil && f.synced.Load() && time.Since(f.shown) <= currencySpan
}

// HandlePeer takes a message if it concerns documents.
func (f *Follower) HandlePeer(s *peer.Session, call uint64, m wire.Message) bool {
	switch m := m.(type) {
	case *wire.Changes:
		f.handleChanges(s, m)
	case *wire.Watch:
		c, _ := f.cfg.Store.Since(m.Since)
		_ = s.Reply(call, c)
	default:
		return false
	}
	return true
}

func (f *Follower) handleChanges(s *peer.Session, m *wire.Changes) {
	if f.cfg.Store.Offer(m.Documents) {
		f.tell(s)
	}
	if !m.Linearizable {
		return
	}
	f.mu.Lock()
	if f.source == s {
		f.shown = time.Now()
		f.synced.Store(true)
	}
	f.mu.Unlock()
	f.markReady()
}

// askMates asks the other hosts of the data centre at the start, and again
// whenever no control host is current.
func (f *Follower) askMates(ctx context.Context) {
	started := time.Now()
	for ctx.Err() == nil {
		if !f.IsCurrent() {
			f.askAll(ctx)
			if time.Since(started) >= loneStart {
				f.markReady()
			}
		}
		pause.For(ctx, time.Second)
	}
}

func (f *Follower) askAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, address := range f.cfg.Mates {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.ask(ctx, address)
		}()
	}
	wg.Wait()
}

func (f *Follower) ask(ctx context.Context, address string) {
	s, err := f.cfg.Pool.Get(ctx, address)
	if err != nil {
		return
	}
	reply, _, err := s.Call(ctx, &wire.Watch{Since: f.cfg.Store.Revision(), CurrentOnly: true})
	if err != nil {
		return
	}
	if c, ok := reply.(*wire.Changes); ok {
		f.cfg.Store.Offer(c.Documents)
	}
}

// report tells the source now and then what is in force here.
func (f *Follower) report(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		s := f.source
		f.mu.Unlock()
		if s != nil {
			f.tell(s)
		}
		pause.For(ctx, reportEvery)
	}
}

func (f *Follower) tell(s *peer.Session) {
	self := f.cfg.Self
	self.Revision = f.cfg.Store.InForce()
	_ = s.Post(&wire.InForce{Hosts: []wire.ActiveRevision{self}})
}
