package state

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

const (
	compactKeyBytes    = 16
	compactDigestBytes = 8
	// compactClaimBytes is the length of a compact claim in a snapshot: key, digest,
	// 8 bytes of expiry and 1 byte of verdict.
	compactClaimBytes = compactKeyBytes + compactDigestBytes + 8 + 1
)

// compactKey identifies a workspace and an idempotency key by the first 16 bytes of their
// SHA-256.
type compactKey [compactKeyBytes]byte

// compactClaim is what is kept of a claim some time after its call finished. It is enough
// to reject a resend of the call and say whether the call ran or may have run, so that the
// call never runs again. The response is not kept.
type compactClaim struct {
	digest  [compactDigestBytes]byte
	verdict verdict.Verdict
	expires LogicalTime
}

// compactTable holds the compact claims. claims.mu guards it.
type compactTable struct {
	maxClaims int
	byKey     map[compactKey]compactClaim
	// queue holds the keys in the order in which their claims were compacted.
	queue []compactKey
}

// newCompactKey hashes the length of the workspace first, so that moving a character from
// the workspace to the key gives another hash.
func newCompactKey(workspace, key string) compactKey {
	h := sha256.New()
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(workspace)))
	h.Write(length[:])
	h.Write([]byte(workspace))
	h.Write([]byte(key))
	return compactKey(h.Sum(nil)[:compactKeyBytes])
}

func (s *compactTable) clear() {
	s.byKey = map[compactKey]compactClaim{}
	s.queue = nil
}

func (s *compactTable) isFull() bool { return len(s.byKey) >= s.maxClaims }

// find returns the state of the compact claim of a key to a request for the same key. It
// reports whether there is one.
func (s *compactTable) find(request Claim) (ClaimResult, bool) {
	c, ok := s.byKey[newCompactKey(request.Workspace, request.Key)]
	if !ok {
		return ClaimResult{}, false
	}
	if c.digest != [compactDigestBytes]byte(request.Digest[:compactDigestBytes]) {
		return ClaimResult{Outcome: ClaimKeyReused, Verdict: verdict.NotRun}, true
	}
	return ClaimResult{Outcome: ClaimFinished, Verdict: c.verdict}, true
}

func (s *compactTable) add(k compactKey, c compactClaim) {
	s.byKey[k] = c
	s.queue = append(s.queue, k)
}

// expire deletes the claims at the front of the queue that have expired by now, and returns
// how many. A claim stays past its expiry while one that was compacted before it has not expired
// yet, because the retention was shortened in between or that call had a longer deadline.
func (s *compactTable) expire(now LogicalTime) int {
	n := 0
	for n < len(s.queue) && s.byKey[s.queue[n]].expires <= now {
		delete(s.byKey, s.queue[n])
		n++
	}
	s.queue = s.queue[n:]
	return n
}

// encode returns the claims as records of compactClaimBytes, in the order of the queue.
func (s *compactTable) encode() []byte {
	out := make([]byte, 0, len(s.queue)*compactClaimBytes)
	for _, k := range s.queue {
		c := s.byKey[k]
		out = append(out, k[:]...)
		out = append(out, c.digest[:]...)
		out = binary.LittleEndian.AppendUint64(out, uint64(c.expires))
		out = append(out, byte(c.verdict))
	}
	return out
}

// restore replaces the claims by those that encode returned. The length of data must be a
// multiple of compactClaimBytes.
func (s *compactTable) restore(data []byte) {
	s.clear()
	for ; len(data) > 0; data = data[compactClaimBytes:] {
		var c compactClaim
		k := compactKey(data[:compactKeyBytes])
		rest := data[compactKeyBytes:]
		copy(c.digest[:], rest)
		c.expires = LogicalTime(binary.LittleEndian.Uint64(rest[compactDigestBytes:]))
		c.verdict = verdict.Verdict(rest[compactDigestBytes+8])
		s.add(k, c)
	}
}

// finishedClaim is a claim whose call has finished and that is not yet compact.
type finishedClaim struct {
	workspace *workspaceClaims
	claim     *claim
}

// compactFinished replaces the claims that finished at least compactAfter ago by their
// compact form, until the table of compact claims is full. It takes them by the time at
// which they finished and then by workspace and key, so that every replica compacts the
// same ones. The caller holds mu.
func (t *claims) compactFinished(now LogicalTime) {
	dueCount := 0
	for dueCount < len(t.awaitingCompaction) && t.awaitingCompaction[dueCount].claim.finishedAt+t.compactAfter <= now {
		dueCount++
	}
	batch := slices.DeleteFunc(slices.Clone(t.awaitingCompaction[:dueCount]), func(e finishedClaim) bool { return e.claim.removed })
	slices.SortFunc(batch, compareFinished)
	n := 0
	for ; n < len(batch) && !t.compactClaims.isFull(); n++ {
		t.compactOne(batch[n], now)
	}
	t.awaitingCompaction = append(batch[n:], t.awaitingCompaction[dueCount:]...)
}

// compareFinished orders by finish time, then by workspace and key.
func compareFinished(a, b finishedClaim) int {
	return cmp.Or(
		cmp.Compare(a.claim.finishedAt, b.claim.finishedAt),
		strings.Compare(a.workspace.name, b.workspace.name),
		strings.Compare(a.claim.key, b.claim.key),
	)
}

// compactOne replaces one claim by its compact form. The caller holds mu.
func (t *claims) compactOne(e finishedClaim, now LogicalTime) {
	// A call that finished long before its deadline expires later than one retention
	// from now, and keeps that expiry.
	c := compactClaim{verdict: e.claim.verdict, expires: max(e.claim.expires, now+t.retention)}
	copy(c.digest[:], e.claim.digest[:])
	t.compactClaims.add(newCompactKey(e.workspace.name, e.claim.key), c)
	t.remove(e.workspace.name, e.claim)
}
