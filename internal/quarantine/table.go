package quarantine

import (
	"cmp"
	"slices"
	"strings"
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
	// maxNameBytes is the longest name that a suspicion may contain.
	maxNameBytes = 256
)

// Limits bound the number of records in a Table.
type Limits struct {
	// PerWorkspace is how many requests of one workspace are kept, Total how many of all
	// workspaces together. The parts of prompts of all workspaces count as one more workspace. A full workspace evicts one of its own records; a full table evicts
	// one of the workspace that has the most records. The record with the oldest last crash
	// goes: among those with one crash while they are at least half of the workspace's
	// records, else among those with several crashes. So no workspace can evict the records of
	// a smaller one, and many requests with one crash can't evict those in quarantine.
	PerWorkspace, Total int
}

// DefaultLimits are small enough for hosts with little memory.
var DefaultLimits = Limits{PerWorkspace: 256, Total: 2048}

// Incarnation identifies an upstream from one start of its process to the next.
type Incarnation struct {
	Upstream string `cbor:"1,keyasint"`
	// StartedAt tells the incarnations of an upstream apart. It is a time in Unix milliseconds.
	// For an upstream that announces itself, it is the start time that the upstream sends, or 0
	// if it sends none. For an upstream behind an agent, whose start time is not known, it is
	// when the agent detected the crash; all reports of the same crash have the same value.
	StartedAt int64 `cbor:"2,keyasint,omitempty"`
}

// Suspicion states that a request, or a request with a part of a prompt, was running on an upstream
// when the upstream crashed. Hosts
// exchange suspicions. Merging them is commutative and idempotent: neither their order nor
// repeated delivery changes the result.
type Suspicion struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	// Workspace is that of the request, empty for a part.
	Workspace string `cbor:"2,keyasint,omitempty"`
	// Carrier is the request that had the part; zero for the suspicion of a request.
	Carrier     Fingerprint `cbor:"9,keyasint,omitzero"`
	Incarnation Incarnation `cbor:"3,keyasint"`
	// Service is what the upstream served.
	Service string `cbor:"8,keyasint,omitempty"`
	// Request is the id that the request had on that upstream, to find it in logs.
	Request string `cbor:"4,keyasint,omitempty"`
	// AgeMS is how long ago the crash was, in milliseconds. RanMS is how long the request had
	// been running or queued on the upstream, in milliseconds.
	AgeMS int64 `cbor:"5,keyasint,omitempty"`
	RanMS int64 `cbor:"7,keyasint,omitempty"`
	// IsCleared withdraws the suspicion for good: the request got a complete answer shortly
	// before the crash or at any time after it, or an operator released it.
	IsCleared bool `cbor:"6,keyasint,omitempty"`
}

// isOfPart reports whether the suspicion is of a part of a prompt.
func (s *Suspicion) isOfPart() bool { return s.Carrier != Fingerprint{} }

// quota returns whose limit the record of the suspicion counts towards.
func (s *Suspicion) quota() quota { return quota{workspace: s.Workspace, isOfParts: s.isOfPart()} }

// quota identifies a set of records with a common limit: the requests of a workspace, or all parts.
type quota struct {
	workspace string
	isOfParts bool
}

func (q quota) compare(o quota) int {
	switch {
	case q.isOfParts == o.isOfParts:
		return strings.Compare(q.workspace, o.workspace)
	case q.isOfParts:
		return 1
	}
	return -1
}

// Verdict tells how a request may be sent to upstreams.
type Verdict uint8

// The verdicts.
const (
	// Free means that no crash is attributed to the request.
	Free Verdict = iota
	// Suspect means that an upstream crashed while it ran the request. The request is still
	// sent, but to one upstream only.
	Suspect
	// Quarantined means that the request is sent to no upstream.
	Quarantined
)

// String returns the name of the verdict, as used in the administration API.
func (v Verdict) String() string { return [...]string{"free", "suspect", "held"}[v] }

// observation is what is known of one request at one crash.
type observation struct {
	// at is the time of the crash, ran how long the request had been on the upstream.
	at, ran          time.Duration
	service, request string
	// carriers are the requests that had the part, in ascending order; none for the observation of a
	// request. The lowest ones are kept.
	carriers  []Fingerprint
	isCleared bool
}

// addCarrier adds a request that had the part. It reports whether it was new and is kept.
func (o *observation) addCarrier(f Fingerprint) bool {
	i, isKnown := slices.BinarySearchFunc(o.carriers, f, Fingerprint.compare)
	if isKnown || i >= maxCarriers || f == (Fingerprint{}) {
		return false
	}
	o.carriers = slices.Insert(o.carriers, i, f)
	o.carriers = o.carriers[:min(len(o.carriers), maxCarriers)]
	return true
}

// record holds the crashes under one request or part and the verdict that follows from them.
type record struct {
	quota   quota
	crashes map[Incarnation]*observation
	// isSuspect is set while a crash is attributed to the request. isQuarantined is set once
	// the request is quarantined, and until is the time at which the quarantine expires.
	isSuspect, isQuarantined bool
	until                    time.Duration
}

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

// addCrash adds a crash that the record does not have yet. It reports whether the crash was
// kept.
func (r *record) addCrash(s *Suspicion, at time.Duration) bool {
	if len(r.crashes) >= maxCrashesPerRequest {
		oldest, first := r.oldestCrash()
		if at <= first.at {
			return false
		}
		delete(r.crashes, oldest)
	}
	o := &observation{at: at, ran: s.ran(), service: s.Service, request: s.Request, isCleared: s.IsCleared}
	o.addCarrier(s.Carrier)
	r.crashes[s.Incarnation] = o
	return true
}

// isValid reports whether a suspicion names an upstream and no name is too long.
func (s *Suspicion) isValid() bool {
	return s.Incarnation.Upstream != "" && max(len(s.Incarnation.Upstream), len(s.Workspace), len(s.Service), len(s.Request)) <= maxNameBytes
}

func (s *Suspicion) ran() time.Duration { return time.Duration(max(s.RanMS, 0)) * time.Millisecond }

func (r *record) oldestCrash() (Incarnation, *observation) {
	var incarnation Incarnation
	var first *observation
	for e, s := range r.crashes {
		if first == nil || s.at < first.at || s.at == first.at && e.compare(incarnation) < 0 {
			incarnation, first = e, s
		}
	}
	return incarnation, first
}

// compare orders incarnations by upstream, then by start.
func (i Incarnation) compare(o Incarnation) int {
	return cmp.Or(strings.Compare(i.Upstream, o.Upstream), cmp.Compare(i.StartedAt, o.StartedAt))
}

// lastCrash returns the time of the latest crash under the request.
func (r *record) lastCrash() time.Duration {
	last := time.Duration(0)
	isFirst := true
	for _, s := range r.crashes {
		if isFirst || s.at > last {
			last, isFirst = s.at, false
		}
	}
	return last
}

// countUncleared returns the number of crashes for which the suspicion is not cleared.
func (r *record) countUncleared() int {
	n := 0
	for _, s := range r.crashes {
		if !s.isCleared {
			n++
		}
	}
	return n
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

// isExpired reports whether the record is too old to affect verdicts.
func (r *record) isExpired(now time.Duration) bool {
	return now >= r.lastCrash()+2*quarantineTime(r.countUncleared())
}

func (t *Table) remove(f Fingerprint) {
	r := t.records[f]
	delete(t.records, f)
	if t.perQuota[r.quota]--; t.perQuota[r.quota] <= 0 {
		delete(t.perQuota, r.quota)
	}
}

// quarantineTime returns how long a request stays in quarantine after the last of its crashes,
// given their number.
func quarantineTime(crashes int) time.Duration {
	d := minQuarantine
	for range crashes - minExecutions {
		d = min(2*d, maxQuarantine)
	}
	return d
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

// suspicions returns what is known of one crash: one suspicion of a request, or one for each request
// that had a part.
func (r *record) suspicions(f Fingerprint, incarnation Incarnation, now time.Duration) []Suspicion {
	o := r.crashes[incarnation]
	s := Suspicion{
		Fingerprint: f, Workspace: r.quota.workspace, Incarnation: incarnation, Service: o.service, Request: o.request,
		AgeMS: (now - o.at).Milliseconds(), RanMS: o.ran.Milliseconds(), IsCleared: o.isCleared,
	}
	if !r.quota.isOfParts {
		return []Suspicion{s}
	}
	var all []Suspicion
	for _, carrier := range o.carriers {
		s.Carrier = carrier
		all = append(all, s)
	}
	return all
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
