package quarantine

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Config is what a Keeper needs.
type Config struct {
	Limits Limits
	// Now is a monotonic clock.
	Now func() time.Duration
	// Publish passes news on to other hosts. It is called without a lock held, and must not wait.
	Publish func([]Suspicion)
	// Relays is set where news from others are passed on too.
	Relays  bool
	Log     *slog.Logger
	Metrics metrics.Registry
}

// Keeper is what one host knows of the requests under which upstreams ended: what it saw
// itself, and what others told. It is safe for concurrent use.
type Keeper struct {
	cfg                                    Config
	suspicions, cleared, received, refused metrics.Counter
	quarantined                            metrics.Gauge

	// mu guards the fields below.
	mu       sync.Mutex
	table    *Table
	failed   failedAttempts
	answered recentAnswers
	// lastQuarantined are the requests that were last found to be held.
	lastQuarantined []Fingerprint
}

// NewKeeper returns a Keeper that knows of nothing.
func NewKeeper(cfg Config) *Keeper {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("quarantine."+name, cfg.Metrics)
	}
	return &Keeper{
		cfg: cfg, table: NewTable(cfg.Limits), suspicions: counter("suspicions"), cleared: counter("cleared"),
		received: counter("told"), refused: counter("refused"), quarantined: metrics.GetOrRegisterGauge("quarantine.held", cfg.Metrics),
	}
}

// Verdict returns what becomes of a request.
func (k *Keeper) Verdict(f Fingerprint) Verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Verdict(f, k.cfg.Now())
}

// CountRefusal counts a request that was refused since it is held.
func (k *Keeper) CountRefusal() { k.refused.Inc(1) }

// UpstreamCrashed tells that an upstream is known to have ended under a run.
func (k *Keeper) UpstreamCrashed(r Attempt) {
	k.update(func(now time.Duration) []Suspicion {
		found := k.failed.take(now, func(b *Attempt) bool { return b.Incarnation == r.Incarnation })
		return k.addOwn(append(found, r.suspicion(0)), now)
	})
}

// AttemptFailed tells that a run got no whole answer. IsAlive tells that its upstream took a
// connection since.
func (k *Keeper) AttemptFailed(r Attempt, isAlive bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	wait := failedAttemptLifetime
	if isAlive {
		wait = failedAttemptLifetimeIfAlive
	}
	now := k.cfg.Now()
	k.failed.add(r, now, now+wait)
}

// UpstreamStarted tells which upstream is at an address now. Others that were there have ended.
func (k *Keeper) UpstreamStarted(end Incarnation, address string) {
	k.mu.Lock()
	isAwaited := len(k.failed.all) > 0
	k.mu.Unlock()
	if !isAwaited {
		return
	}
	k.update(func(now time.Duration) []Suspicion {
		return k.addOwn(k.failed.take(now, func(r *Attempt) bool {
			return r.Incarnation != end && (r.Address == address || r.Incarnation.Upstream == end.Upstream && r.Incarnation.Born < end.Born)
		}), now)
	})
}

// addOwn takes in what this host has seen. The caller holds mu.
func (k *Keeper) addOwn(all []Suspicion, now time.Duration) []Suspicion {
	for i := range all {
		all[i].IsCleared = k.answered.isTrusted(all[i].Fingerprint, now)
	}
	news := k.table.Add(all, now)
	for _, s := range news {
		k.suspicions.Inc(1)
		k.cfg.Log.Warn("request suspected: its upstream ended under it", "request", s.Request, "fingerprint", s.Fingerprint.String(),
			"workspace", s.Workspace, "upstream", s.Incarnation.Upstream, "born", s.Incarnation.Born, "cleared", s.IsCleared)
	}
	return news
}

// Answered tells that a request was answered whole: it ends nobody.
func (k *Keeper) Answered(f Fingerprint) {
	k.mu.Lock()
	k.answered.add(f, k.cfg.Now())
	isKnown := k.table.Contains(f)
	k.mu.Unlock()
	if isKnown {
		k.update(func(now time.Duration) []Suspicion { return k.clear(f, now) })
	}
}

// Release lets a request go, for who knows better. It reports whether anything was held
// against it.
func (k *Keeper) Release(f Fingerprint) bool {
	isKnown := false
	k.update(func(now time.Duration) []Suspicion {
		news := k.clear(f, now)
		isKnown = len(news) > 0
		return news
	})
	return isKnown
}

// clear takes back what is held against a request. The caller holds mu.
func (k *Keeper) clear(f Fingerprint, now time.Duration) []Suspicion {
	news := k.table.Clear(f, now)
	k.cleared.Inc(int64(len(news)))
	return news
}

// Merge takes in what another host tells.
func (k *Keeper) Merge(all []Suspicion) {
	k.received.Inc(int64(len(all)))
	k.update(func(now time.Duration) []Suspicion {
		news := k.table.Add(all, now)
		var own []Suspicion
		for _, s := range news {
			if !s.IsCleared && k.answered.isTrusted(s.Fingerprint, now) {
				own = append(own, k.clear(s.Fingerprint, now)...)
			}
		}
		if !k.cfg.Relays {
			return own
		}
		return append(news, own...)
	})
}

// update changes what is known, tells others the news, and says what is held from now on.
func (k *Keeper) update(change func(now time.Duration) []Suspicion) {
	k.mu.Lock()
	news := change(k.cfg.Now())
	k.logChanges()
	k.mu.Unlock()
	if len(news) > 0 && k.cfg.Publish != nil {
		k.cfg.Publish(news)
	}
}

// logChanges says which requests are held now that were not before, and the other way round. The
// caller holds mu.
func (k *Keeper) logChanges() {
	now := k.cfg.Now()
	held := k.table.Quarantined(now)
	k.quarantined.Update(int64(len(held)))
	for _, f := range held {
		if !slices.Contains(k.lastQuarantined, f) {
			e := k.table.Entry(f, now)
			k.cfg.Log.Warn("request held: upstreams ended under it", "fingerprint", f.String(), "workspace", e.Workspace,
				"ends", len(e.Crashes), "requests", e.requests(), "upstreams", e.upstreams(), "for_s", int64(e.Remaining.Seconds()))
		}
	}
	for _, f := range k.lastQuarantined {
		if !slices.Contains(held, f) {
			k.cfg.Log.Info("request held no more", "fingerprint", f.String())
		}
	}
	k.lastQuarantined = held
}

// Sweep forgets what is past. It is called now and then.
func (k *Keeper) Sweep() {
	k.update(func(now time.Duration) []Suspicion {
		k.table.Sweep(now)
		return nil
	})
}

// All returns everything that this host knows, for others.
func (k *Keeper) All() []Suspicion {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.All(k.cfg.Now())
}

// List returns what is held against requests, for operators.
func (k *Keeper) List() []Entry {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.List(k.cfg.Now())
}
