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
	settledKeyBytes    = 16
	settledDigestBytes = 8
	// settledBytes is the length of a settled claim in a snapshot.
	settledBytes = settledKeyBytes + settledDigestBytes + 8 + 1
)

// settledKey is the short form of a workspace and a key: the start of their SHA-256.
type settledKey [settledKeyBytes]byte

// settledClaim is what is kept of a claim some time after its call has ended: enough
// to tell a resend that the call has run, or may have, and never to run it again. The
// answer is not kept.
type settledClaim struct {
	digest  [settledDigestBytes]byte
	verdict verdict.Verdict
	expires LogicalTime
}

// settled holds the settled claims. The lock of claims guards it.
type settled struct {
	max   int
	byKey map[settledKey]settledClaim
	// queue holds the keys in the order in which they were settled.
	queue []settledKey
}

func newSettledKey(workspace, key string) settledKey {
	h := sha256.New()
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(workspace)))
	h.Write(length[:])
	h.Write([]byte(workspace))
	h.Write([]byte(key))
	return settledKey(h.Sum(nil)[:settledKeyBytes])
}

func (s *settled) clear() {
	s.byKey = map[settledKey]settledClaim{}
	s.queue = nil
}

func (s *settled) isFull() bool { return len(s.byKey) >= s.max }

// find tells the state of a settled claim to one that asks for it.
func (s *settled) find(asked Claim) (ClaimResult, bool) {
	c, ok := s.byKey[newSettledKey(asked.Workspace, asked.Key)]
	if !ok {
		return ClaimResult{}, false
	}
	if c.digest != [settledDigestBytes]byte(asked.Digest[:settledDigestBytes]) {
		return ClaimResult{Outcome: ClaimKeyReused, Verdict: verdict.NotRun}, true
	}
	return ClaimResult{Outcome: ClaimFinished, Verdict: c.verdict}, true
}

func (s *settled) add(k settledKey, c settledClaim) {
	s.byKey[k] = c
	s.queue = append(s.queue, k)
}

// expire forgets the claims whose time has come, and returns how many. One may wait for
// those settled before it, where the retention was shortened or their calls had more time.
func (s *settled) expire(age LogicalTime) int {
	n := 0
	for n < len(s.queue) && s.byKey[s.queue[n]].expires <= age {
		delete(s.byKey, s.queue[n])
		n++
	}
	s.queue = s.queue[n:]
	return n
}

// image returns the claims one after the other, in the order of the queue.
func (s *settled) image() []byte {
	out := make([]byte, 0, len(s.queue)*settledBytes)
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
func (s *settled) restore(data []byte) {
	s.clear()
	for ; len(data) > 0; data = data[settledBytes:] {
		var c settledClaim
		k := settledKey(data[:settledKeyBytes])
		rest := data[settledKeyBytes:]
		copy(c.digest[:], rest)
		c.expires = LogicalTime(binary.LittleEndian.Uint64(rest[settledDigestBytes:]))
		c.verdict = verdict.Verdict(rest[settledDigestBytes+8])
		s.add(k, c)
	}
}

// ended is a claim whose call has ended, on its way to being settled.
type ended struct {
	workspace *workspaceClaims
	claim     *claim
}

// settle shortens the claims whose calls ended long enough ago, as long as there is
// room. The order is that of the ends and, among equal ages, of the names, so that
// all replicas settle the same ones. The caller holds mu.
func (t *claims) settle(age LogicalTime) {
	due := 0
	for due < len(t.ended) && t.ended[due].claim.finishedAt+t.settleAfter <= age {
		due++
	}
	batch := slices.DeleteFunc(slices.Clone(t.ended[:due]), func(e ended) bool { return e.claim.gone })
	slices.SortFunc(batch, compareEnded)
	n := 0
	for ; n < len(batch) && !t.settled.isFull(); n++ {
		t.settleOne(batch[n], age)
	}
	t.ended = append(batch[n:], t.ended[due:]...)
}

func compareEnded(a, b ended) int {
	return cmp.Or(
		cmp.Compare(a.claim.finishedAt, b.claim.finishedAt),
		strings.Compare(a.workspace.name, b.workspace.name),
		strings.Compare(a.claim.key, b.claim.key),
	)
}

func (t *claims) settleOne(e ended, age LogicalTime) {
	// A call that had much time and ended soon is promised more than the retention from now.
	c := settledClaim{verdict: e.claim.verdict, expires: max(e.claim.expires, age+t.retention)}
	copy(c.digest[:], e.claim.digest[:])
	t.settled.add(newSettledKey(e.workspace.name, e.claim.key), c)
	t.remove(e.workspace.name, e.claim)
}
