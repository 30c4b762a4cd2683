package state

import (
	"cmp"
	"container/heap"
	"slices"
	"strings"
	"sync"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// claim is one claim that is held or retained.
type claim struct {
	key         string
	digest      [32]byte
	attempt     string
	host        string
	incarnation uint64
	deadline    LogicalTime
	// expires is the age at which the claim is forgotten. It never falls.
	expires  LogicalTime
	finished bool
	// finishedAt is the age at which the call ended.
	finishedAt LogicalTime
	verdict    verdict.Verdict
	answer     *RecordedResponse
	// removed tells that the claim was freed and only the expiry queue holds it.
	removed bool
}

// workspaceClaims are the claims of one workspace.
type workspaceClaims struct {
	name  string
	byKey map[string]*claim
}

// claims is the table of claims.
type claims struct {
	maxClaims        int
	maxPerWorkspace  int
	maxRecordedBytes int
	compactAfter     LogicalTime

	// mu guards all below.
	mu sync.RWMutex
	// retention is how long a claim is kept.
	retention   LogicalTime
	workspaces  map[string]*workspaceClaims
	expiryQueue expiryQueue
	// count is the number of claims, without the settled ones.
	count int
	// awaitingCompaction holds the claims that are to be settled, by the age of their end.
	awaitingCompaction []finishedClaim
	compactClaims      compactTable
	// recordedBytes is the sum of the recorded bodies.
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

// setRetention takes the span for which claims are kept from here on; zero changes nothing.
func (t *claims) setRetention(span LogicalTime) {
	if span == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retention = min(max(span, MinRetention), MaxRetention)
}

// currentRetention returns how long claims are kept.
func (t *claims) currentRetention() LogicalTime {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.retention
}

func (t *claims) claimBatch(b ClaimBatch, age LogicalTime) ClaimBatchResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	results := make([]ClaimResult, 0, len(b.Claims))
	for _, c := range b.Claims {
		results = append(results, t.claim(c, age))
	}
	return ClaimBatchResult{Claims: results}
}

// claim grants a key that is free, and tells the state of one that is not. The
// caller holds mu.
func (t *claims) claim(c Claim, age LogicalTime) ClaimResult {
	if !validNames(c.Workspace, c.Key, c.Attempt) || len(c.Host) > MaxNameBytes {
		return ClaimResult{Outcome: ClaimRefused, Verdict: verdict.NotRun}
	}
	if held := t.find(c.Workspace, c.Key); held != nil {
		return held.resultFor(c, age)
	}
	if result, ok := t.compactClaims.find(c); ok {
		return result
	}
	if t.isFull(c.Workspace) {
		return ClaimResult{Outcome: ClaimRefused, Verdict: verdict.NotRun}
	}
	deadline := age + min(LogicalTime(c.Deadline), MaxDeadline)
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

// isFull tells whether a workspace may not make another claim. The caller holds mu.
func (t *claims) isFull(workspace string) bool {
	if t.count >= t.maxClaims {
		return true
	}
	ws := t.workspaces[workspace]
	return ws != nil && len(ws.byKey) >= t.maxPerWorkspace
}

// resultFor tells the state of a claim to one that asks for it. It never grants.
func (c *claim) resultFor(asked Claim, age LogicalTime) ClaimResult {
	switch {
	case c.digest != asked.Digest:
		return ClaimResult{Outcome: ClaimKeyReused, Verdict: verdict.NotRun}
	case c.finished:
		return ClaimResult{Outcome: ClaimFinished, Verdict: c.verdict, Answer: c.answer}
	case age > c.deadline:
		return ClaimResult{Outcome: ClaimUnknown, Verdict: verdict.MayHaveRun}
	}
	return ClaimResult{Outcome: ClaimInProgress, Verdict: verdict.MayHaveRun, Remaining: uint64(c.deadline - age)}
}

func (t *claims) finishBatch(b FinishClaims, age LogicalTime) FinishResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	results := make([]FinishOutcome, 0, len(b.Finishes))
	for _, f := range b.Finishes {
		results = append(results, t.finish(f, age))
	}
	return FinishResult{Finishes: results}
}

// finish ends an attempt. What has ended stays so, but for an attempt that may
// have run and turns out to have run. The caller holds mu.
func (t *claims) finish(f Finish, age LogicalTime) FinishOutcome {
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
		c.finishedAt = age
		t.awaitingCompaction = append(t.awaitingCompaction, finishedClaim{workspace: t.workspaces[f.Workspace], claim: c})
	}
	c.finished = true
	c.verdict = f.Verdict
	c.expires = max(c.expires, age+t.retention)
	if f.Verdict == verdict.Ran {
		t.recordResponse(c, f.Answer)
	}
	return FinishRecorded
}

// recordResponse keeps an answer where the bounds allow. The caller holds mu.
func (t *claims) recordResponse(c *claim, a *RecordedResponse) {
	if a == nil || len(a.Body) > MaxResponseBytes || len(a.ContentType) > MaxNameBytes {
		return
	}
	if t.recordedBytes+len(a.Body) > t.maxRecordedBytes {
		return
	}
	c.answer = a
	t.recordedBytes += len(a.Body)
}

// find returns a claim or nil. The caller holds mu.
func (t *claims) find(workspace, key string) *claim {
	ws := t.workspaces[workspace]
	if ws == nil {
		return nil
	}
	return ws.byKey[key]
}

// insert adds a claim. The caller holds mu.
func (t *claims) insert(workspace string, c *claim) {
	ws := t.workspaces[workspace]
	if ws == nil {
		ws = &workspaceClaims{name: workspace, byKey: map[string]*claim{}}
		t.workspaces[workspace] = ws
	}
	ws.byKey[c.key] = c
	t.count++
	if c.answer != nil {
		t.recordedBytes += len(c.answer.Body)
	}
	heap.Push(&t.expiryQueue, expiry{at: c.expires, workspace: ws, claim: c})
}

// remove drops a claim; its entry in the queue is dropped when it comes up. The
// caller holds mu.
func (t *claims) remove(workspace string, c *claim) {
	ws := t.workspaces[workspace]
	delete(ws.byKey, c.key)
	t.count--
	if len(ws.byKey) == 0 {
		delete(t.workspaces, workspace)
	}
	if c.answer != nil {
		t.recordedBytes -= len(c.answer.Body)
		c.answer = nil
	}
	c.removed = true
}

// expire forgets the claims whose time has come, and returns how many. An entry
// of the queue never lies after its claim's expiry, so a claim goes at the first
// age that reaches it, also in tables that were restored in between.
func (t *claims) expire(age LogicalTime) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	expired := 0
	for len(t.expiryQueue) > 0 && t.expiryQueue[0].at <= age {
		e := heap.Pop(&t.expiryQueue).(expiry)
		switch {
		case e.claim.removed:
		case e.claim.expires > age:
			heap.Push(&t.expiryQueue, expiry{at: e.claim.expires, workspace: e.workspace, claim: e.claim})
		default:
			t.remove(e.workspace.name, e.claim)
			expired++
		}
	}
	t.compactFinished(age)
	return expired + t.compactClaims.expire(age)
}

// expiry is an entry of the expiry queue.
type expiry struct {
	at        LogicalTime
	workspace *workspaceClaims
	claim     *claim
}

// expiryQueue is a heap by age.
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

// claimSnapshot is a claim in a snapshot.
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
	Answer      *RecordedResponse
	FinishedAt  LogicalTime
}

// snapshotClaims returns the claims in no order; sortImages brings them into theirs, so
// that the lock is not held while they are sorted.
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
		Answer:      c.answer,
		FinishedAt:  c.finishedAt,
	}
}

// restore replaces the claims. The caller holds mu.
func (t *claims) restore(list []claimSnapshot, settled []byte) {
	t.clear()
	t.compactClaims.restore(settled)
	for _, i := range list {
		c := &claim{
			key:         i.Key,
			digest:      i.Digest,
			attempt:     i.Attempt,
			host:        i.Host,
			incarnation: i.Incarnation,
			deadline:    i.Deadline,
			expires:     i.Expires,
			finished:    i.Finished,
			verdict:     i.Verdict,
			answer:      i.Answer,
			finishedAt:  i.FinishedAt,
		}
		t.insert(i.Workspace, c)
		if c.finished {
			t.awaitingCompaction = append(t.awaitingCompaction, finishedClaim{workspace: t.workspaces[i.Workspace], claim: c})
		}
	}
	slices.SortFunc(t.awaitingCompaction, compareFinished)
}

// encodeCompactClaims returns the settled claims as a snapshot holds them.
func (t *claims) encodeCompactClaims() []byte {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.compactClaims.encode()
}

// ClaimCount returns how many claims are open or retained.
func (m *Machine) ClaimCount() int {
	m.claims.mu.RLock()
	defer m.claims.mu.RUnlock()
	return m.claims.count + len(m.claims.compactClaims.byKey)
}
