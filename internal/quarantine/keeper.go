package quarantine

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Config holds the settings and dependencies of a Keeper.
type Config struct {
	Limits Limits
	// Now is a monotonic clock.
	Now func() time.Duration
	// Publish sends new or cleared suspicions to other hosts. It is called without a lock held
	// and must not block.
	Publish func([]Suspicion)
	// Relays makes the Keeper also publish what it receives from other hosts.
	Relays bool
	// TrialDelay is how much longer than its time a part stays in quarantine at this host. It differs
	// between hosts, so that one of them tries the part before the others do.
	TrialDelay time.Duration
	Log        *slog.Logger
	Metrics    metrics.Registry
}

// Keeper keeps the suspicions of one host: those that it observed and those that it received
// from other hosts. It is safe for concurrent use.
type Keeper struct {
	cfg                                    Config
	suspicions, cleared, received, refused metrics.Counter
	quarantined                            metrics.Gauge

	// mu guards the fields below.
	mu            sync.Mutex
	table         *Table
	failed        failedAttempts
	answered      recentAnswers
	answeredParts answeredParts
	// lastQuarantined are the requests that were in quarantine at the last update, to log
	// changes.
	lastQuarantined []Fingerprint
}

// NewKeeper returns a Keeper without suspicions.
func NewKeeper(cfg Config) *Keeper {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("quarantine."+name, cfg.Metrics)
	}
	return &Keeper{
		cfg: cfg, table: NewTable(cfg.Limits), suspicions: counter("suspicions"), cleared: counter("cleared"),
		received: counter("told"), refused: counter("refused"), quarantined: metrics.GetOrRegisterGauge("quarantine.held", cfg.Metrics),
	}
}

// Verdict returns the verdict on a request. A request is in quarantine if a part of its prompt is.
func (k *Keeper) Verdict(c Content) Verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Now()
	for _, part := range c.Parts {
		if k.table.Verdict(part, now-k.cfg.TrialDelay) == Quarantined {
			return Quarantined
		}
	}
	return k.table.Verdict(c.Request, now)
}

// CountRefusal counts a request that was refused because it is in quarantine.
func (k *Keeper) CountRefusal() { k.refused.Inc(1) }

// UpstreamCrashed records that an upstream crashed during an attempt. Earlier failed attempts
// on the same incarnation are suspected too.
func (k *Keeper) UpstreamCrashed(r Attempt) {
	k.update(func(now time.Duration) []Suspicion {
		suspicions := k.failed.take(now, func(a *Attempt) bool { return a.Incarnation == r.Incarnation })
		return k.addOwn(append(suspicions, r.suspicions(0)...), now)
	})
}

// AttemptFailed records an attempt whose answer broke off, in case its upstream turns out to
// have crashed. IsAlive tells that a connection to the upstream succeeded afterwards.
func (k *Keeper) AttemptFailed(r Attempt, isAlive bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	lifetime := failedAttemptLifetime
	if isAlive {
		lifetime = failedAttemptLifetimeIfAlive
	}
	now := k.cfg.Now()
	k.failed.add(r, now, now+lifetime)
}

// UpstreamStarted records which incarnation is at an address now. Earlier incarnations of the
// upstream, and others at the address, must have crashed.
func (k *Keeper) UpstreamStarted(current Incarnation, address string) {
	k.mu.Lock()
	hasFailedAttempts := len(k.failed.all) > 0
	k.mu.Unlock()
	if !hasFailedAttempts {
		return
	}
	k.update(func(now time.Duration) []Suspicion {
		return k.addOwn(k.failed.take(now, func(r *Attempt) bool {
			return r.Incarnation != current && (r.Address == address || r.Incarnation.Upstream == current.Upstream && r.Incarnation.StartedAt < current.StartedAt)
		}), now)
	})
}

// UpstreamEnded records that an upstream crashed. Failed attempts on it that were recorded without
// a start time are attributed to this incarnation.
func (k *Keeper) UpstreamEnded(i Incarnation) {
	k.update(func(now time.Duration) []Suspicion {
		suspicions := k.failed.take(now, func(r *Attempt) bool { return r.Incarnation == Incarnation{Upstream: i.Upstream} })
		for n := range suspicions {
			suspicions[n].Incarnation = i
		}
		return k.addOwn(suspicions, now)
	})
}

// addOwn adds suspicions that this host observed itself. The caller holds mu.
func (k *Keeper) addOwn(all []Suspicion, now time.Duration) []Suspicion {
	all = slices.DeleteFunc(all, func(s Suspicion) bool {
		return s.isOfPart() && (k.answeredParts.isEmpty() || k.answeredParts.isTrusted(s.Fingerprint))
	})
	for i := range all {
		all[i].IsCleared = k.answered.isTrusted(all[i].Fingerprint, now)
	}
	updates := k.table.Add(all, now)
	for _, s := range updates {
		k.suspicions.Inc(1)
		k.cfg.Log.Warn("request suspected: its upstream ended under it", "request", s.Request, "fingerprint", s.Fingerprint.String(),
			"is_part", s.isOfPart(), "carrier", s.Carrier.Short(), "workspace", s.Workspace, "upstream", s.Incarnation.Upstream, "born", s.Incarnation.StartedAt, "cleared", s.IsCleared)
	}
	return updates
}

// Answered records that a request got a complete answer. That clears the suspicions of it and of its
// parts. An answer that reports a failure must have no parts, since nothing was written on them.
func (k *Keeper) Answered(c Content) {
	k.mu.Lock()
	k.answered.add(c.Request, k.cfg.Now())
	k.mu.Unlock()
	k.clearKnown(c.Request)
	k.AnswerBegan(c.Parts)
}

// AnswerBegan records that an upstream has begun to write an answer on the parts of a prompt and has
// gone on with it. That clears the suspicions of the parts.
func (k *Keeper) AnswerBegan(parts []Fingerprint) {
	if len(parts) == 0 {
		return
	}
	k.mu.Lock()
	k.answeredParts.add(parts, k.cfg.Now())
	k.mu.Unlock()
	k.clearKnown(parts...)
}

// clearKnown clears the suspicions of requests or parts, if there are any.
func (k *Keeper) clearKnown(all ...Fingerprint) {
	k.mu.Lock()
	isKnown := slices.ContainsFunc(all, k.table.Contains)
	k.mu.Unlock()
	if !isKnown {
		return
	}
	k.update(func(now time.Duration) []Suspicion {
		var updates []Suspicion
		for _, f := range all {
			updates = append(updates, k.clear(f, now)...)
		}
		return updates
	})
}

// Release clears the suspicions of a request on behalf of an operator. It reports whether
// there were any.
func (k *Keeper) Release(f Fingerprint) bool {
	hadSuspicions := false
	k.update(func(now time.Duration) []Suspicion {
		updates := k.clear(f, now)
		hadSuspicions = len(updates) > 0
		return updates
	})
	return hadSuspicions
}

// clear clears the suspicions of a request. The caller holds mu.
func (k *Keeper) clear(f Fingerprint, now time.Duration) []Suspicion {
	updates := k.table.Clear(f, now)
	k.cleared.Inc(int64(len(updates)))
	return updates
}

// Merge adds suspicions from another host. Those of requests and parts that this host recently saw
// answered are cleared.
func (k *Keeper) Merge(all []Suspicion) {
	k.received.Inc(int64(len(all)))
	k.update(func(now time.Duration) []Suspicion {
		updates := k.table.Add(all, now)
		var cleared []Suspicion
		for _, s := range updates {
			if !s.IsCleared && k.isTrusted(&s, now) {
				cleared = append(cleared, k.clear(s.Fingerprint, now)...)
			}
		}
		if !k.cfg.Relays {
			return cleared
		}
		return append(updates, cleared...)
	})
}

// isTrusted reports whether this host recently saw the request or part of a suspicion answered. The
// caller holds mu.
func (k *Keeper) isTrusted(s *Suspicion, now time.Duration) bool {
	if s.isOfPart() {
		return k.answeredParts.isTrusted(s.Fingerprint)
	}
	return k.answered.isTrusted(s.Fingerprint, now)
}

// update applies a change to the table, logs requests that entered or left quarantine, and
// publishes the updates that the change returns.
func (k *Keeper) update(change func(now time.Duration) []Suspicion) {
	k.mu.Lock()
	updates := change(k.cfg.Now())
	k.logChanges()
	k.mu.Unlock()
	if len(updates) > 0 && k.cfg.Publish != nil {
		k.cfg.Publish(updates)
	}
}

// logChanges logs the requests that entered or left quarantine since the last call. The caller
// holds mu.
func (k *Keeper) logChanges() {
	now := k.cfg.Now()
	quarantined := k.table.Quarantined(now)
	k.quarantined.Update(int64(len(quarantined)))
	for _, f := range quarantined {
		if !slices.Contains(k.lastQuarantined, f) {
			e := k.table.Entry(f, now)
			k.cfg.Log.Warn("request held: upstreams ended under it", "fingerprint", f.String(), "kind", e.Kind(), "workspace", e.Workspace,
				"ends", len(e.Ends), "requests", e.requests(), "upstreams", e.upstreams(), "for_s", int64(e.Remaining.Seconds()))
		}
	}
	for _, f := range k.lastQuarantined {
		if !slices.Contains(quarantined, f) {
			k.cfg.Log.Info("request held no more", "fingerprint", f.String())
		}
	}
	k.lastQuarantined = quarantined
}

// Sweep removes expired records. It is meant to be called periodically.
func (k *Keeper) Sweep() {
	k.update(func(now time.Duration) []Suspicion {
		k.table.Sweep(now)
		return nil
	})
}

// All returns all suspicions, to send to a host that has just connected.
func (k *Keeper) All() []Suspicion {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.All(k.cfg.Now())
}

// List returns the suspected and quarantined requests, for operators.
func (k *Keeper) List() []Entry {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.List(k.cfg.Now())
}
