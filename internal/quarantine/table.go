package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// minQuarantine is for how long a request is held after the second upstream that ended under
	// it, and how long a single end is remembered. Each further end doubles it, up to
	// longestHold: a wrong verdict passes, and a right one costs few upstreams a day.
	minQuarantine = 10 * time.Minute
	maxQuarantine = 8 * time.Hour
	// sharedCauseWindow is within what upstreams may have ended by one cause from outside, such as a
	// loss of power.
	sharedCauseWindow = time.Second
	// crashTimeTolerance is by how much hosts may differ in when an upstream ended: copies of a request that
	// ran at once must not count as one after the other.
	crashTimeTolerance = 100 * time.Millisecond
	// minExecutions is how many runs under which upstreams ended hold a request, as a rule.
	minExecutions = 2
	// minCrashes is how many upstreams the system promises that one request ends at most, but
	// for copies of it that run at once.
	minCrashes = 3
	// recentWindow is for how long an upstream that ended from outside makes it likelier that the
	// next one does.
	recentWindow = time.Minute
	// maxCrashesPerRequest bounds the ends that are kept of one request, the latest.
	maxCrashesPerRequest = 16
	// maxNameBytes bounds each name in a suspicion.
	maxNameBytes = 256
)

// Limits bound what a Table holds.
type Limits struct {
	// PerWorkspace is how many requests of one workspace are kept, Total how many of all.
	// Beyond that the oldest of those goes under which one upstream ended, as long as these
	// are half of the workspace's or more, else the oldest of the others; beyond Total, of the
	// workspace that has most. So no workspace can push out another's, and a flood of
	// suspects can't push out what is held.
	PerWorkspace, Total int
}

// DefaultLimits suit hosts with little memory.
var DefaultLimits = Limits{PerWorkspace: 256, Total: 2048}

// Incarnation is an upstream that has ended: the incarnation of it.
type Incarnation struct {
	Upstream string `cbor:"1,keyasint"`
	Born     int64  `cbor:"2,keyasint,omitempty"`
}

// Suspicion says that a request ran on an upstream as that ended. It is what hosts tell one
// another: put together in any order and any number of times, suspicions come to the same.
type Suspicion struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Workspace   string      `cbor:"2,keyasint,omitempty"`
	Incarnation Incarnation `cbor:"3,keyasint"`
	// Service is what the upstream served.
	Service string `cbor:"8,keyasint,omitempty"`
	// Request is the id under which the request ran there, for who looks for it in logs.
	Request string `cbor:"4,keyasint,omitempty"`
	// AgeMS is how long ago that was, RanMS for how long the request had run, or waited
	// there, in milliseconds.
	AgeMS int64 `cbor:"5,keyasint,omitempty"`
	RanMS int64 `cbor:"7,keyasint,omitempty"`
	// IsCleared takes the suspicion back, for good: the request was answered whole since, or
	// an operator let it go.
	IsCleared bool `cbor:"6,keyasint,omitempty"`
}

// Verdict is what becomes of a request.
type Verdict uint8

// The verdicts.
const (
	// Free: nothing speaks against it.
	Free Verdict = iota
	// Suspect: an upstream ended under it. It is sent, but to one upstream only.
	Suspect
	// Held: it is sent to none.
	Quarantined
)

// String names the verdict.
func (v Verdict) String() string { return [...]string{"free", "suspect", "held"}[v] }

// observation is what is known of a request at one end.
type observation struct {
	at, ran          time.Duration
	service, request string
	isCleared        bool
}

// record is what is known of one request.
type record struct {
	workspace string
	crashes   map[Incarnation]*observation
	// isSuspect tells that an end speaks against it which is not explained by another one.
	// isHeld is the verdict, until when it holds.
	isSuspect, isQuarantined bool
	until                    time.Duration
}

// Table holds the requests under which upstreams ended. It is pure: times are a monotonic
// clock of the caller's. It is not safe for concurrent use.
type Table struct {
	limits       Limits
	records      map[Fingerprint]*record
	perWorkspace map[string]int
}

// NewTable returns an empty Table.
func NewTable(l Limits) *Table {
	return &Table{limits: l, records: make(map[Fingerprint]*record), perWorkspace: make(map[string]int)}
}

// Verdict returns what becomes of a request.
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

// Contains reports whether something is known of the request.
func (t *Table) Contains(f Fingerprint) bool { return t.records[f] != nil }

// Add takes suspicions in, and returns those that are news.
func (t *Table) Add(all []Suspicion, now time.Duration) []Suspicion {
	var news []Suspicion
	isChanged := false
	for _, s := range all {
		isNews, isCloser := t.add(s, now)
		if isNews {
			news = append(news, s)
		}
		isChanged = isChanged || isNews || isCloser
	}
	if isChanged {
		t.updateVerdicts()
	}
	return news
}

// add takes a suspicion in. It reports whether that is news, and whether it tells more closely
// when the request ran, which others need not hear.
func (t *Table) add(s Suspicion, now time.Duration) (isNews, isCloser bool) {
	at := now - time.Duration(max(s.AgeMS, 0))*time.Millisecond
	if now-at > 2*maxQuarantine || !s.isValid() {
		return false, false
	}
	r := t.records[s.Fingerprint]
	if r == nil {
		t.makeRoom(s.Workspace)
		r = &record{workspace: s.Workspace, crashes: make(map[Incarnation]*observation)}
		t.records[s.Fingerprint] = r
		t.perWorkspace[s.Workspace]++
	}
	known := r.crashes[s.Incarnation]
	if known == nil {
		return r.addCrash(&s, at), false
	}
	isCloser = at < known.at || s.ran() > known.ran
	// The word that came with the least delay is nearest to the truth.
	known.at, known.ran = min(known.at, at), max(known.ran, s.ran())
	isNews = s.IsCleared && !known.isCleared
	known.isCleared = known.isCleared || s.IsCleared
	return isNews, isCloser
}

// addCrash takes in an end of which the record knows nothing.
func (r *record) addCrash(s *Suspicion, at time.Duration) bool {
	if len(r.crashes) >= maxCrashesPerRequest {
		oldest, first := r.oldestCrash()
		if at <= first.at {
			return false
		}
		delete(r.crashes, oldest)
	}
	r.crashes[s.Incarnation] = &observation{at: at, ran: s.ran(), service: s.Service, request: s.Request, isCleared: s.IsCleared}
	return true
}

// isValid reports whether a suspicion may be kept: it names an upstream, and no name takes
// more room than it may.
func (s *Suspicion) isValid() bool {
	return s.Incarnation.Upstream != "" && max(len(s.Incarnation.Upstream), len(s.Workspace), len(s.Service), len(s.Request)) <= maxNameBytes
}

func (s *Suspicion) ran() time.Duration { return time.Duration(max(s.RanMS, 0)) * time.Millisecond }

func (r *record) oldestCrash() (Incarnation, *observation) {
	var end Incarnation
	var first *observation
	for e, s := range r.crashes {
		if first == nil || s.at < first.at || s.at == first.at && e.compare(end) < 0 {
			end, first = e, s
		}
	}
	return end, first
}

// compare orders ends.
func (e Incarnation) compare(o Incarnation) int {
	return cmp.Or(strings.Compare(e.Upstream, o.Upstream), cmp.Compare(e.Born, o.Born))
}

// lastCrash is when the last upstream ended under the request.
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

// countUncleared is how many ends speak against the request.
func (r *record) countUncleared() int {
	n := 0
	for _, s := range r.crashes {
		if !s.isCleared {
			n++
		}
	}
	return n
}

// makeRoom drops a record where a bound is reached, for one of the workspace.
func (t *Table) makeRoom(workspace string) {
	switch {
	case t.perWorkspace[workspace] >= t.limits.PerWorkspace:
		t.evict(workspace)
	case len(t.records) >= t.limits.Total:
		t.evict(t.largestWorkspace())
	}
}

// largestWorkspace is the workspace that has most records.
func (t *Table) largestWorkspace() string {
	name, most := "", 0
	for w, n := range t.perWorkspace {
		if n > most || n == most && w < name {
			name, most = w, n
		}
	}
	return name
}

// evict forgets the record of a workspace that matters least.
func (t *Table) evict(workspace string) {
	singles := 0
	for _, r := range t.records {
		if r.workspace == workspace && r.countUncleared() <= 1 {
			singles++
		}
	}
	wantSingle := 2*singles >= t.perWorkspace[workspace]
	var least Fingerprint
	var lowest *record
	for f, r := range t.records {
		if r.workspace != workspace || (r.countUncleared() <= 1) != wantSingle {
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

// isExpired reports whether the record says nothing any more at that time.
func (r *record) isExpired(now time.Duration) bool {
	return now >= r.lastCrash()+2*quarantineTime(r.countUncleared())
}

func (t *Table) remove(f Fingerprint) {
	r := t.records[f]
	delete(t.records, f)
	if t.perWorkspace[r.workspace]--; t.perWorkspace[r.workspace] <= 0 {
		delete(t.perWorkspace, r.workspace)
	}
}

// quarantineTime is how long a request is held after the last of that many ends.
func quarantineTime(ends int) time.Duration {
	hold := minQuarantine
	for range ends - minExecutions {
		hold = min(2*hold, maxQuarantine)
	}
	return hold
}

// Clear takes back all that is held against a request. It returns the news.
func (t *Table) Clear(f Fingerprint, now time.Duration) []Suspicion {
	r := t.records[f]
	if r == nil {
		return nil
	}
	var news []Suspicion
	for end, s := range r.crashes {
		if !s.isCleared {
			s.isCleared = true
			news = append(news, r.suspicion(f, end, now))
		}
	}
	if len(news) > 0 {
		t.updateVerdicts()
	}
	return news
}

func (r *record) suspicion(f Fingerprint, end Incarnation, now time.Duration) Suspicion {
	s := r.crashes[end]
	return Suspicion{
		Fingerprint: f, Workspace: r.workspace, Incarnation: end, Service: s.service, Request: s.request,
		AgeMS: (now - s.at).Milliseconds(), RanMS: s.ran.Milliseconds(), IsCleared: s.isCleared,
	}
}

// Sweep forgets what is past.
func (t *Table) Sweep(now time.Duration) {
	for f, r := range t.records {
		if r.isExpired(now) {
			t.remove(f)
		}
	}
}

// All returns everything that is known, in a fixed order.
func (t *Table) All(now time.Duration) []Suspicion {
	var out []Suspicion
	for f, r := range t.records {
		for end := range r.crashes {
			out = append(out, r.suspicion(f, end, now))
		}
	}
	slices.SortFunc(out, func(a, b Suspicion) int {
		return cmp.Or(a.Fingerprint.compare(b.Fingerprint), a.Incarnation.compare(b.Incarnation))
	})
	return out
}

func (f Fingerprint) compare(o Fingerprint) int { return slices.Compare(f[:], o[:]) }
