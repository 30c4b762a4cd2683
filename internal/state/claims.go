package state

import (
	"cmp"
	"container/heap"
	"slices"
	"strings"
	"sync"
	"unicode/utf8"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// claim is the exclusive right of one attempt to run a non-idempotent call. It is
// open until the attempt finishes, and kept for the retention after that or, if the attempt
// never finishes, after its deadline.
type claim struct {
	key         string
	digest      [32]byte
	attempt     string
	host        string
	incarnation uint64
	deadline    LogicalTime
	// expires is the logical time at which the claim is deleted. It never decreases.
	expires  LogicalTime
	finished bool
	// finishedAt is the logical time at which the call finished.
	finishedAt LogicalTime
	verdict    verdict.Verdict
	response   *RecordedResponse
	// removed is set once the claim has left the table. The expiry queue may still
	// refer to it.
	removed bool
}

// workspaceClaims holds the claims of one workspace by idempotency key.
type workspaceClaims struct {
	name  string
	byKey map[string]*claim
}

// claims is the table of claims. Some time after its call finished, a claim is compacted:
// only its verdict and hashes of its key and its request are kept.
type claims struct {
	maxClaims        int
	maxPerWorkspace  int
	maxRecordedBytes int
	compactAfter     LogicalTime

	// mu guards the fields below.
	mu sync.RWMutex
	// retention is how long a claim is kept after its call finished or its deadline
	// passed.
	retention   LogicalTime
	workspaces  map[string]*workspaceClaims
	expiryQueue expiryQueue
	// count is the number of uncompacted claims.
	count int
	// awaitingCompaction holds the finished claims that are not yet compact, by the
	// logical time at which they finished.
	awaitingCompaction []finishedClaim
	compactClaims      compactTable
	// recordedBytes is the total length of the recorded response bodies.
	recordedBytes int
}

func (t *claims) init(o Options) {
	t.maxClaims = o.Claims
	t.maxPerWorkspace = o.ClaimsPerWorkspace
	t.retention = o.ClaimRetention
	t.maxRecordedBytes = o.RecordedBytes
	t.compactAfter = o.CompactAfter
	t.compactClaims.maxClaims = o.CompactClaims
	t.clear()
}

// clear empties the table. The caller holds mu or is the only user.
func (t *claims) clear() {
	t.workspaces = map[string]*workspaceClaims{}
	t.expiryQueue = nil
	t.count = 0
	t.recordedBytes = 0
	t.awaitingCompaction = nil
	t.compactClaims.clear()
}

// setRetention sets the retention of claims that are made or finish from now on, within
// MinRetention and MaxRetention. Zero changes nothing.
func (t *claims) setRetention(retention LogicalTime) {
	if retention == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retention = min(max(retention, MinRetention), MaxRetention)
}

// currentRetention returns the retention of claims.
func (t *claims) currentRetention() LogicalTime {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.retention
}

func (t *claims) claimBatch(b ClaimBatch, now LogicalTime) ClaimBatchResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	results := make([]ClaimResult, 0, len(b.Claims))
	for _, c := range b.Claims {
		results = append(results, t.claim(c, now))
	}
	return ClaimBatchResult{Claims: results}
}

// claim grants a key that has no claim, and returns the state of the claim that the key
// has otherwise. The caller holds mu.
func (t *claims) claim(c Claim, now LogicalTime) ClaimResult {
	if !validNames(c.Workspace, c.Key, c.Attempt) || len(c.Host) > MaxNameBytes {
		return ClaimResult{Outcome: ClaimRefused, Verdict: verdict.NotRun}
	}
	if existing := t.find(c.Workspace, c.Key); existing != nil {
		return existing.resultFor(c, now)
	}
	if result, ok := t.compactClaims.find(c); ok {
		return result
	}
	if t.isFull(c.Workspace) {
		return ClaimResult{Outcome: ClaimRefused, Verdict: verdict.NotRun}
	}
	deadline := now + min(LogicalTime(c.Deadline), MaxDeadline)
	t.insert(c.Workspace, &claim{
		key:         c.Key,
		digest:      c.Digest,
		attempt:     c.Attempt,
		host:        c.Host,
		incarnation: c.Incarnation,
		deadline:    deadline,
		expires:     deadline + t.retention,
	})
	return ClaimResult{Outcome: ClaimGranted}
}

// isFull reports whether the whole table or the workspace has reached its limit of
// claims. The caller holds mu.
func (t *claims) isFull(workspace string) bool {
	if t.count >= t.maxClaims {
		return true
	}
	ws := t.workspaces[workspace]
	return ws != nil && len(ws.byKey) >= t.maxPerWorkspace
}

// resultFor returns the state of an existing claim to a request for the same key. Only the
// attempt that holds the claim is granted it again: its first grant may have been lost on the
// way. An attempt dispatches its call at most once, however often it is granted.
func (c *claim) resultFor(request Claim, now LogicalTime) ClaimResult {
	switch {
	case c.digest != request.Digest:
		return ClaimResult{Outcome: ClaimKeyReused, Verdict: verdict.NotRun}
	case c.finished:
		return ClaimResult{Outcome: ClaimFinished, Verdict: c.verdict, Response: c.response}
	case now > c.deadline:
		return ClaimResult{Outcome: ClaimUnknown, Verdict: verdict.MayHaveRun}
	case c.attempt == request.Attempt:
		return ClaimResult{Outcome: ClaimGranted}
	}
	return ClaimResult{Outcome: ClaimInProgress, Verdict: verdict.MayHaveRun, Remaining: uint64(c.deadline - now)}
}

func (t *claims) finishBatch(b FinishClaims, now LogicalTime) FinishResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	results := make([]FinishOutcome, 0, len(b.Finishes))
	for _, f := range b.Finishes {
		results = append(results, t.finish(f, now))
	}
	return FinishResult{Finishes: results}
}

// finish records the verdict of the attempt that holds the claim, and frees the key when
// the call did not run. A recorded verdict is final, except that MayHaveRun may become
// Ran. The caller holds mu.
func (t *claims) finish(f Finish, now LogicalTime) FinishOutcome {
	c := t.find(f.Workspace, f.Key)
	if c == nil || c.attempt != f.Attempt || f.Verdict > verdict.Ran {
		return FinishIgnored
	}
	if c.finished && (c.verdict != verdict.MayHaveRun || f.Verdict != verdict.Ran) {
		return FinishIgnored
	}
	if f.Verdict == verdict.NotRun {
		t.remove(f.Workspace, c)
		return FinishFreed
	}
	if !c.finished {
		c.finishedAt = now
		t.awaitingCompaction = append(t.awaitingCompaction, finishedClaim{workspace: t.workspaces[f.Workspace], claim: c})
	}
	c.finished = true
	c.verdict = f.Verdict
	c.expires = max(c.expires, now+t.retention)
	if f.Verdict == verdict.Ran {
		t.recordResponse(c, f.Response)
	}
	return FinishRecorded
}

// CanBeRecorded reports whether the tables record the response. Of another one only the verdict is recorded.
// No replica can decode a content type that is not valid UTF-8.
func (a *RecordedResponse) CanBeRecorded() bool {
	return len(a.Body) <= MaxResponseBytes && len(a.ContentType) <= MaxNameBytes && utf8.ValidString(a.ContentType)
}

// recordResponse stores the response of a call, unless it is too large or the recorded
// bodies have reached their limit. The caller holds mu.
func (t *claims) recordResponse(c *claim, a *RecordedResponse) {
	if a == nil || !a.CanBeRecorded() {
		return
	}
	if t.recordedBytes+len(a.Body) > t.maxRecordedBytes {
		return
	}
	c.response = a
	t.recordedBytes += len(a.Body)
}

// find returns the uncompacted claim of a key, or nil. The caller holds mu.
func (t *claims) find(workspace, key string) *claim {
	ws := t.workspaces[workspace]
	if ws == nil {
		return nil
	}
	return ws.byKey[key]
}

// insert adds a claim and queues its expiry. The caller holds mu.
func (t *claims) insert(workspace string, c *claim) {
	ws := t.workspaces[workspace]
	if ws == nil {
		ws = &workspaceClaims{name: workspace, byKey: map[string]*claim{}}
		t.workspaces[workspace] = ws
	}
	ws.byKey[c.key] = c
	t.count++
	if c.response != nil {
		t.recordedBytes += len(c.response.Body)
	}
	heap.Push(&t.expiryQueue, expiry{at: c.expires, workspace: ws, claim: c})
}

// remove deletes a claim from the table. Its entry in the expiry queue is discarded when
// it reaches the front. The caller holds mu.
func (t *claims) remove(workspace string, c *claim) {
	ws := t.workspaces[workspace]
	delete(ws.byKey, c.key)
	t.count--
	if len(ws.byKey) == 0 {
		delete(t.workspaces, workspace)
	}
	if c.response != nil {
		t.recordedBytes -= len(c.response.Body)
		c.response = nil
	}
	c.removed = true
}

// expire deletes the claims that have expired by now, and returns how many. It also
// compacts finished claims. An entry of the expiry queue is never later than its claim's
// expiry, so a claim is deleted at the first logical time that reaches its expiry, and at
// the same one in tables that were restored from a snapshot.
func (t *claims) expire(now LogicalTime) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	expired := 0
	for len(t.expiryQueue) > 0 && t.expiryQueue[0].at <= now {
		e := heap.Pop(&t.expiryQueue).(expiry)
		switch {
		case e.claim.removed:
		case e.claim.expires > now:
			heap.Push(&t.expiryQueue, expiry{at: e.claim.expires, workspace: e.workspace, claim: e.claim})
		default:
			t.remove(e.workspace.name, e.claim)
			expired++
		}
	}
	t.compactFinished(now)
	return expired + t.compactClaims.expire(now)
}

// expiry is an entry of the expiry queue. The claim may expire later than the entry says,
// since finishing a claim extends it without touching the queue.
type expiry struct {
	at        LogicalTime
	workspace *workspaceClaims
	claim     *claim
}

// expiryQueue is a heap of expiries, the earliest first.
type expiryQueue []expiry

// Len implements heap.Interface.
func (q expiryQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q expiryQueue) Less(i, j int) bool { return q[i].at < q[j].at }

// Swap implements heap.Interface.
func (q expiryQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *expiryQueue) Push(x any) { *q = append(*q, x.(expiry)) }

// Pop implements heap.Interface.
func (q *expiryQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = expiry{}
	*q = (*q)[:last]
	return e
}

// claimSnapshot is the stored form of a claim in a snapshot.
type claimSnapshot struct {
	_           struct{} `cbor:",toarray"`
	Workspace   string
	Key         string
	Digest      [32]byte
	Attempt     string
	Host        string
	Incarnation uint64
	Deadline    LogicalTime
	Expires     LogicalTime
	Finished    bool
	Verdict     verdict.Verdict
	Response    *RecordedResponse
	FinishedAt  LogicalTime
}

// snapshotClaims returns the uncompacted claims, unsorted. sortClaimSnapshots sorts them
// later, without the lock.
func (t *claims) snapshotClaims() []claimSnapshot {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list := make([]claimSnapshot, 0, t.count)
	for _, ws := range t.workspaces {
		for _, c := range ws.byKey {
			list = append(list, c.snapshot(ws.name))
		}
	}
	return list
}

// sortClaimSnapshots sorts by workspace and key, so that equal tables give equal bytes.
func sortClaimSnapshots(list []claimSnapshot) {
	slices.SortFunc(list, func(a, b claimSnapshot) int {
		return cmp.Or(strings.Compare(a.Workspace, b.Workspace), strings.Compare(a.Key, b.Key))
	})
}

func (c *claim) snapshot(workspace string) claimSnapshot {
	return claimSnapshot{
		Workspace:   workspace,
		Key:         c.key,
		Digest:      c.digest,
		Attempt:     c.attempt,
		Host:        c.host,
		Incarnation: c.incarnation,
		Deadline:    c.deadline,
		Expires:     c.expires,
		Finished:    c.finished,
		Verdict:     c.verdict,
		Response:    c.response,
		FinishedAt:  c.finishedAt,
	}
}

// restore replaces all claims, compact or not, by those of a snapshot. The caller holds mu.
func (t *claims) restore(list []claimSnapshot, compacted []byte) {
	t.clear()
	t.compactClaims.restore(compacted)
	for _, s := range list {
		c := &claim{
			key:         s.Key,
			digest:      s.Digest,
			attempt:     s.Attempt,
			host:        s.Host,
			incarnation: s.Incarnation,
			deadline:    s.Deadline,
			expires:     s.Expires,
			finished:    s.Finished,
			verdict:     s.Verdict,
			response:    s.Response,
			finishedAt:  s.FinishedAt,
		}
		t.insert(s.Workspace, c)
		if c.finished {
			t.awaitingCompaction = append(t.awaitingCompaction, finishedClaim{workspace: t.workspaces[s.Workspace], claim: c})
		}
	}
	slices.SortFunc(t.awaitingCompaction, compareFinished)
}

// encodeCompactClaims returns the compact claims in the form that a snapshot holds.
func (t *claims) encodeCompactClaims() []byte {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.compactClaims.encode()
}

// ClaimCount returns the number of claims, open or finished, compact or not.
func (m *Machine) ClaimCount() int {
	m.claims.mu.RLock()
	defer m.claims.mu.RUnlock()
	return m.claims.count + len(m.claims.compactClaims.byKey)
}
