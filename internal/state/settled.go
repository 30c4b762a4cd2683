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
	// compactClaimBytes is the length of a settled claim in a snapshot.
	compactClaimBytes = compactKeyBytes + compactDigestBytes + 8 + 1
)

// compactKey is the short form of a workspace and a key: the start of their SHA-256.
type compactKey [compactKeyBytes]byte

// compactClaim is what is kept of a claim some time after its call has ended: enough
// to tell a resend that the call has run, or may have, and never to run it again. The
// answer is not kept.
type compactClaim struct {
	digest  [compactDigestBytes]byte
	verdict verdict.Verdict
	expires LogicalTime
}

// compactTable holds the settled claims. The lock of claims guards it.
type compactTable struct {
	maxClaims int
	byKey     map[compactKey]compactClaim
	// queue holds the keys in the order in which they were settled.
	queue []compactKey
}

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

// find tells the state of a settled claim to one that asks for it.
func (s *compactTable) find(asked Claim) (ClaimResult, bool) {
	c, ok := s.byKey[newCompactKey(asked.Workspace, asked.Key)]
	if !ok {
		return ClaimResult{}, false
	}
	if c.digest != [compactDigestBytes]byte(asked.Digest[:compactDigestBytes]) {
		return ClaimResult{Outcome: ClaimKeyReused, Verdict: verdict.NotRun}, true
	}
	return ClaimResult{Outcome: ClaimFinished, Verdict: c.verdict}, true
}

func (s *compactTable) add(k compactKey, c compactClaim) {
	s.byKey[k] = c
	s.queue = append(s.queue, k)
}

// expire forgets the claims whose time has come, and returns how many. One may wait for
// those settled before it, where the retention was shortened or their calls had more time.
func (s *compactTable) expire(age LogicalTime) int {
	n := 0
	for n < len(s.queue) && s.byKey[s.queue[n]].expires <= age {
		delete(s.byKey, s.queue[n])
		n++
	}
	s.queue = s.queue[n:]
	return n
}

// encode returns the claims one after the other, in the order of the queue.
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

// restore takes what image returned; the length is that of whole claims.
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

// finishedClaim is a claim whose call has ended, on its way to being settled.
type finishedClaim struct {
	workspace *workspaceClaims
	claim     *claim
}

// compactFinished shortens the claims whose calls ended long enough ago, as long as there is
// room. The order is that of the ends and, among equal ages, of the names, so that
// all replicas settle the same ones. The caller holds mu.
func (t *claims) compactFinished(age LogicalTime) {
	due := 0
	for due < len(t.awaitingCompaction) && t.awaitingCompaction[due].claim.finishedAt+t.compactAfter <= age {
		due++
	}
	batch := slices.DeleteFunc(slices.Clone(t.awaitingCompaction[:due]), func(e finishedClaim) bool { return e.claim.removed })
	slices.SortFunc(batch, compareFinished)
	n := 0
	for ; n < len(batch) && !t.compactClaims.isFull(); n++ {
		t.compactOne(batch[n], age)
	}
	t.awaitingCompaction = append(batch[n:], t.awaitingCompaction[due:]...)
}

func compareFinished(a, b finishedClaim) int {
	return cmp.Or(
		cmp.Compare(a.claim.finishedAt, b.claim.finishedAt),
		strings.Compare(a.workspace.name, b.workspace.name),
		strings.Compare(a.claim.key, b.claim.key),
	)
}

func (t *claims) compactOne(e finishedClaim, age LogicalTime) {
	// A call that had much time and ended soon is promised more than the retention from now.
	c := compactClaim{verdict: e.claim.verdict, expires: max(e.claim.expires, age+t.retention)}
	copy(c.digest[:], e.claim.digest[:])
	t.compactClaims.add(newCompactKey(e.workspace.name, e.claim.key), c)
	t.remove(e.workspace.name, e.claim)
}
