package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minQuarantine is how long a request stays in quarantine after the second crash under it,
	// and half of how long a single crash is remembered. Each further crash doubles the time,
	// up to maxQuarantine. So a wrong verdict expires by itself, and a request that does cause
	// crashes costs only a few upstreams a day.
	minQuarantine = 10 * time.Minute
	maxQuarantine = 8 * time.Hour
	// sharedCauseWindow is the time within which crashes may have one cause outside of the
	// requests, such as a loss of power.
	sharedCauseWindow = time.Second
	// crashTimeTolerance is by how much hosts may disagree on the time of a crash. Without it,
	// copies of a request that ran concurrently could count as consecutive executions.
	crashTimeTolerance = 100 * time.Millisecond
	// minExecutions is the number of executions with a crash after which a request is usually
	// quarantined.
	minExecutions = 2
	// minCrashes is the number of crashes after which a request is quarantined at the latest.
	// The system guarantees that one request crashes no more upstreams than this, except by
	// copies of it that run concurrently.
	minCrashes = 3
	// recentWindow is how long after a crash with an outside cause the next crash is also more
	// likely to have one.
	recentWindow = time.Minute
	// minConcurrentPartCrashes is the number of crashes under one execution after which a part of
	// prompts is quarantined. It is higher than for requests: many requests have the same part, so
	// that an outside cause, such as a loss of power, may hit several of them.
	minConcurrentPartCrashes = 4
	// maxCarriers bounds the requests that are kept of those that had a part at one crash.
	maxCarriers = 8
	// maxCrashesPerRequest bounds the crashes that are kept for one request. The latest are
	// kept.
	maxCrashesPerRequest = 16
)

// Limits bound the number of records in a Table.
type Limits struct {
	// PerWorkspace is how many requests of one workspace are kept, Total how many of all
	// workspaces together. The parts of prompts of all workspaces count as one more workspace. A
	// full workspace evicts one of its own records; a full table evicts one of the workspace that
	// has the most records. The record with the oldest last crash
	// goes: among those with one crash while they are at least half of the workspace's
	// records, else among those with several crashes. So no workspace can evict the records of
	// a smaller one, and many requests with one crash can't evict those in quarantine.
	PerWorkspace, Total int
}

// DefaultLimits are small enough for hosts with little memory.
var DefaultLimits = Limits{PerWorkspace: 256, Total: 2048}

// Table holds the requests under which upstreams crashed. It reads no clock: callers pass the
// time of a monotonic clock. It is not safe for concurrent use.
type Table struct {
	limits   Limits
	records  map[Fingerprint]*record
	perQuota map[quota]int
}

// NewTable returns an empty Table.
func NewTable(l Limits) *Table {
	return &Table{limits: l, records: make(map[Fingerprint]*record), perQuota: make(map[quota]int)}
}

// Verdict returns the verdict on a request.
func (t *Table) Verdict(f Fingerprint, now time.Duration) Verdict {
	r := t.records[f]
	switch {
	case r == nil:
		return Free
	case r.isQuarantined && now < r.until:
		return Quarantined
	case r.isSuspect:
		return Suspect
	}
	return Free
}

// Contains reports whether the table has a record of the request.
func (t *Table) Contains(f Fingerprint) bool { return t.records[f] != nil }

// Add merges suspicions into the table. It returns those that other hosts need to receive: new
// crashes, and suspicions that were cleared.
func (t *Table) Add(all []Suspicion, now time.Duration) []Suspicion {
	var updates []Suspicion
	isChanged := false
	for _, s := range all {
		isUpdate, isCloserEstimate := t.add(s, now)
		if isUpdate {
			updates = append(updates, s)
		}
		isChanged = isChanged || isUpdate || isCloserEstimate
	}
	if isChanged {
		t.updateVerdicts()
	}
	return updates
}

// add merges one suspicion. IsUpdate reports whether other hosts need it. IsCloserEstimate
// reports whether it only improves the known times, which changes verdicts here but need not
// be sent on.
func (t *Table) add(s Suspicion, now time.Duration) (isUpdate, isCloserEstimate bool) {
	at := now - time.Duration(max(s.AgeMS, 0))*time.Millisecond
	if now-at > 2*maxQuarantine || !s.isValid() {
		return false, false
	}
	r := t.records[s.Fingerprint]
	if r == nil {
		t.makeRoom(s.quota())
		r = &record{quota: s.quota(), crashes: make(map[Incarnation]*observation)}
		t.records[s.Fingerprint] = r
		t.perQuota[r.quota]++
	}
	known := r.crashes[s.Incarnation]
	if known == nil {
		return r.addCrash(&s, at), false
	}
	isCloserEstimate = at < known.at || s.ran() > known.ran
	// The report with the least delay has the best estimate: transit time makes a crash look
	// later than it was.
	known.at, known.ran = min(known.at, at), max(known.ran, s.ran())
	isUpdate = s.IsCleared && !known.isCleared
	known.isCleared = known.isCleared || s.IsCleared
	isUpdate = known.addCarrier(s.Carrier) || isUpdate
	return isUpdate, isCloserEstimate
}

// makeRoom evicts a record if a limit would be exceeded by a new record that counts towards q.
func (t *Table) makeRoom(q quota) {
	switch {
	case t.perQuota[q] >= t.limits.PerWorkspace:
		t.evict(q)
	case len(t.records) >= t.limits.Total:
		t.evict(t.largestQuota())
	}
}

// largestQuota returns the quota with the most records.
func (t *Table) largestQuota() quota {
	var largest quota
	most := 0
	for q, n := range t.perQuota {
		if n > most || n == most && q.compare(largest) < 0 {
			largest, most = q, n
		}
	}
	return largest
}

// evict removes the least important record of a quota, as Limits describes.
func (t *Table) evict(q quota) {
	withOneCrash := 0
	for _, r := range t.records {
		if r.quota == q && r.countUncleared() <= 1 {
			withOneCrash++
		}
	}
	evictOneCrash := 2*withOneCrash >= t.perQuota[q]
	var least Fingerprint
	var lowest *record
	for f, r := range t.records {
		if r.quota != q || (r.countUncleared() <= 1) != evictOneCrash {
			continue
		}
		if lowest == nil || r.lastCrash() < lowest.lastCrash() {
			least, lowest = f, r
		}
	}
	if lowest != nil {
		t.remove(least)
	}
}

func (t *Table) remove(f Fingerprint) {
	r := t.records[f]
	delete(t.records, f)
	if t.perQuota[r.quota]--; t.perQuota[r.quota] <= 0 {
		delete(t.perQuota, r.quota)
	}
}

// Clear clears all suspicions of a request. It returns those that were not cleared before, for
// other hosts.
func (t *Table) Clear(f Fingerprint, now time.Duration) []Suspicion {
	r := t.records[f]
	if r == nil {
		return nil
	}
	var updates []Suspicion
	for incarnation, s := range r.crashes {
		if !s.isCleared {
			s.isCleared = true
			updates = append(updates, r.suspicions(f, incarnation, now)...)
		}
	}
	if len(updates) > 0 {
		t.updateVerdicts()
	}
	return updates
}

// Sweep removes expired records.
func (t *Table) Sweep(now time.Duration) {
	for f, r := range t.records {
		if r.isExpired(now) {
			t.remove(f)
		}
	}
}

// All returns all suspicions, sorted by fingerprint, incarnation and carrier.
func (t *Table) All(now time.Duration) []Suspicion {
	var out []Suspicion
	for f, r := range t.records {
		for incarnation := range r.crashes {
			out = append(out, r.suspicions(f, incarnation, now)...)
		}
	}
	slices.SortFunc(out, func(a, b Suspicion) int {
		return cmp.Or(a.Fingerprint.compare(b.Fingerprint), a.Incarnation.compare(b.Incarnation), a.Carrier.compare(b.Carrier))
	})
	return out
}

func (f Fingerprint) compare(o Fingerprint) int { return slices.Compare(f[:], o[:]) }
