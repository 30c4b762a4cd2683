package state

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

var smallOptions = Options{
	ClaimRetention:     3000,
	CompactAfter:       1000,
	CompactClaims:      4,
	Claims:             5,
	ClaimsPerWorkspace: 3,
	RecordedBytes:      40,
	OutcomeRetention:   2000,
	Outcomes:           4,
	AuditRecords:       5,
}

// testLog applies commands at rising indexes.
type testLog struct {
	t       testing.TB
	machine *Machine
	index   uint64
}

func newLog(t testing.TB, o Options) *testLog { return &testLog{t: t, machine: New(o)} }

func (l *testLog) apply(c Command) any {
	data, err := Encode(c)
	require.NoError(l.t, err)
	l.index++
	return l.machine.Apply(l.index, data)
}

func (l *testLog) claim(key, attempt string, digest byte) ClaimResult {
	c := Claim{Workspace: "w", Key: key, Attempt: attempt, Digest: [32]byte{digest}, Deadline: 1000}
	return l.apply(ClaimBatch{Claims: []Claim{c}}).(ClaimBatchResult).Claims[0]
}

func (l *testLog) finish(key, attempt string, v verdict.Verdict, a *RecordedResponse) FinishOutcome {
	f := Finish{Workspace: "w", Key: key, Attempt: attempt, Verdict: v, Answer: a}
	return l.apply(FinishClaims{Finishes: []Finish{f}}).(FinishResult).Finishes[0]
}

func drawCommand(t *rapid.T, revisions []uint64) Command {
	pick := func(label string, values ...string) string { return rapid.SampledFrom(values).Draw(t, label) }
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		return Init{ClusterID: pick("cluster", "c1", "c2")}
	case 1:
		return SetVoterAddress{Replica: consensus.ReplicaID(pick("replica", "a/1", "b/2")), Host: "h", Address: pick("address", "1", "2")}
	case 2, 3:
		return AdvanceClock{
			Elapsed:   rapid.Uint64Range(0, 1500).Draw(t, "elapsed"),
			Retention: rapid.SampledFrom([]uint64{0, 0, 0, 1, 70_000}).Draw(t, "retention"),
		}
	case 4, 5:
		return SubmitDocument{
			Name:     pick("name", "d1", "d2"),
			Base:     rapid.SampledFrom(revisions[max(0, len(revisions)-3):]).Draw(t, "base"),
			ChangeID: pick("change", "x", "y", "z"),
			Author:   pick("author", "ann", "bob"),
			Text:     pick("text", "", "one", "two"),
		}
	case 6, 7:
		var b ClaimBatch
		for range rapid.IntRange(1, 3).Draw(t, "claims") {
			b.Claims = append(b.Claims, Claim{
				Workspace: pick("workspace", "v", "w"),
				Key:       pick("key", "1", "2", "3", "4"),
				Attempt:   pick("attempt", "p", "q"),
				Digest:    [32]byte{byte(rapid.IntRange(0, 1).Draw(t, "digest"))},
				Deadline:  rapid.Uint64Range(0, 4000).Draw(t, "deadline"),
			})
		}
		return b
	}
	f := Finish{
		Workspace: pick("workspace", "v", "w"),
		Key:       pick("key", "1", "2", "3", "4"),
		Attempt:   pick("attempt", "p", "q"),
		Verdict:   verdict.Verdict(rapid.IntRange(0, 3).Draw(t, "verdict")),
	}
	if rapid.Bool().Draw(t, "answered") {
		f.Answer = &RecordedResponse{Status: 200, Body: make([]byte, rapid.IntRange(0, 30).Draw(t, "body"))}
	}
	return FinishClaims{Finishes: []Finish{f}}
}

// TestSnapshotKeepsResultsAndState: tables that are snapshot and restored at any
// points give the same results and end in the same state.
func TestSnapshotAndRestorePreserveResultsAndState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		straight, split := New(smallOptions), New(smallOptions)
		revisions := []uint64{0}
		for i := uint64(1); i <= uint64(rapid.IntRange(1, 40).Draw(t, "commands")); i++ {
			command := drawCommand(t, revisions)
			data, err := Encode(command)
			require.NoError(t, err)
			want := straight.Apply(i, data)
			require.Equal(t, want, split.Apply(i, data))
			if r, ok := want.(SubmitResult); ok {
				revisions = append(revisions, r.Revision)
			}
			image, err := straight.Snapshot()
			require.NoError(t, err)
			other, err := split.Snapshot()
			require.NoError(t, err)
			require.Equal(t, image, other)
			if rapid.IntRange(0, 3).Draw(t, "split") == 0 {
				split = New(smallOptions)
				require.NoError(t, split.Restore(other))
				require.Equal(t, straight.Fence(), split.Fence())
			}
		}
	})
}

type grantedClaim struct {
	attempt       string
	retainedUntil LogicalTime
}

// TestRevisionsNeverDecreaseAndClaimsAreGrantedOnce checks both over any history, in which
// old entries and old snapshots come again. A key is granted again only after a
// NotRun finish of the attempt that holds it, or once its retention has passed.
func TestRevisionsNeverDecreaseAndClaimsAreGrantedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(smallOptions)
		revisions := []uint64{0}
		seen := map[string]uint64{}
		held := map[[2]string]grantedClaim{}
		entries := [][]byte{nil}
		images := [][]byte{nil}
		for i := uint64(1); i <= 40; i++ {
			again := rapid.IntRange(0, int(i)-1).Draw(t, "again")
			if again > 0 && rapid.Bool().Draw(t, "old entry") {
				m.Apply(uint64(again), entries[again])
			} else if again > 0 && again < int(i)-1 {
				require.Error(t, m.Restore(images[again]))
			}
			command := drawCommand(t, revisions)
			data, err := Encode(command)
			require.NoError(t, err)
			switch result := m.Apply(i, data).(type) {
			case SubmitResult:
				revisions = append(revisions, result.Revision)
			case ClaimBatchResult:
				for n, c := range command.(ClaimBatch).Claims {
					if result.Claims[n].Outcome != ClaimGranted {
						continue
					}
					key := [2]string{c.Workspace, c.Key}
					if g, ok := held[key]; ok {
						require.GreaterOrEqual(t, m.LogicalTime(), g.retainedUntil, "granted twice")
					}
					held[key] = grantedClaim{c.Attempt, m.LogicalTime() + LogicalTime(c.Deadline) + smallOptions.ClaimRetention}
				}
			case FinishResult:
				f := command.(FinishClaims).Finishes[0]
				key := [2]string{f.Workspace, f.Key}
				if result.Finishes[0] == FinishFreed {
					require.Equal(t, held[key].attempt, f.Attempt, "freed by another attempt")
					require.Equal(t, verdict.NotRun, f.Verdict)
					delete(held, key)
				}
			}
			for _, doc := range m.Documents() {
				require.GreaterOrEqual(t, doc.Revision, seen[doc.Name], "revision fell")
				require.LessOrEqual(t, doc.Revision, m.Fence())
				seen[doc.Name] = doc.Revision
			}
			image, err := m.Snapshot()
			require.NoError(t, err)
			entries, images = append(entries, data), append(images, image)
		}
	})
}

func TestApplyIsDeterministicForArbitraryBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOf(rapid.Byte()).Draw(t, "data")
		if rapid.Bool().Draw(t, "wrapped") {
			raw, err := cbor.Marshal(data)
			require.NoError(t, err)
			kind := commandKind(rapid.IntRange(0, 8).Draw(t, "kind"))
			data, err = encoding.Marshal(envelope{Version: commandVersion, Kind: kind, Body: raw})
			require.NoError(t, err)
		}
		a, b := New(smallOptions), New(smallOptions)
		require.Equal(t, a.Apply(1, data), b.Apply(1, data))
		require.Equal(t, uint64(1), a.AppliedIndex())
	})
}

func TestInvalidCommandsAreRejected(t *testing.T) {
	body, err := encoding.Marshal(AdvanceClock{Elapsed: 5})
	require.NoError(t, err)
	for want, e := range map[Reason]envelope{
		ReasonUnknownVersion: {Version: commandVersion + 1, Kind: kindAdvanceAge, Body: body},
		ReasonUnknownKind:    {Version: commandVersion, Kind: 99, Body: body},
	} {
		data, err := encoding.Marshal(e)
		require.NoError(t, err)
		require.Equal(t, Rejected{want}, New(smallOptions).Apply(1, data))
	}
	m := New(smallOptions)
	require.Equal(t, Rejected{ReasonEmpty}, m.Apply(1, nil))
	data, err := Encode(AdvanceClock{Elapsed: 5})
	require.NoError(t, err)
	require.Equal(t, ClockResult{LogicalTime: 5}, m.Apply(2, data))
	require.Equal(t, Rejected{ReasonAlreadyApplied}, m.Apply(2, data))
	l := newLog(t, smallOptions)
	require.Equal(t, Rejected{ReasonInvalidName}, l.apply(SubmitDocument{Author: "ann", ChangeID: "x"}))
	long := strings.Repeat("x", MaxDocumentBytes+1)
	require.Equal(t, Rejected{ReasonTooLarge}, l.apply(SubmitDocument{Name: "d", Author: "ann", ChangeID: "x", Text: long}))
	require.Equal(t, ClockResult{LogicalTime: MaxAdvance}, l.apply(AdvanceClock{Elapsed: 1 << 60}))
}

func TestSubmit(t *testing.T) {
	l := newLog(t, smallOptions)
	ann := SubmitDocument{Name: "d", ChangeID: "x", Author: "ann", Text: "one"}
	bob := SubmitDocument{Name: "d", ChangeID: "y", Author: "bob", Text: "two"}
	first := l.apply(ann)
	require.Equal(t, SubmitResult{Outcome: SubmitAccepted, Revision: 1}, first)
	conflict := SubmitResult{Outcome: SubmitConflict, Revision: 1, Winner: &Winner{Revision: 1, Author: "ann", ChangeID: "x"}}
	require.Equal(t, conflict, l.apply(bob))
	changed := l.machine.DocumentsChanged()
	carl := SubmitDocument{Name: "d", Base: 1, ChangeID: "z", Author: "carl", Text: "three"}
	require.Equal(t, SubmitResult{Outcome: SubmitAccepted, Revision: 3}, l.apply(carl))
	<-changed
	// A resend returns the first outcome whatever happened since.
	require.Equal(t, SubmitResult{Outcome: SubmitAccepted, Revision: 1, Repeated: true}, l.apply(ann))
	conflict.Repeated = true
	require.Equal(t, conflict, l.apply(bob))
	bob.Text = "other"
	require.Equal(t, SubmitResult{Outcome: SubmitChangeIDReused, Revision: 3, Repeated: true}, l.apply(bob))
	doc, ok := l.machine.Document("d")
	require.True(t, ok)
	require.Equal(t, "three", doc.Text)
	require.Equal(t, uint64(3), l.machine.Fence())
	require.Empty(t, l.machine.DocumentsSince(3))
	l.apply(SubmitDocument{Name: "c", ChangeID: "x", Author: "ann"})
	c, d := "c", "d"
	require.Equal(t, []string{d, c}, documentNames(l.machine.DocumentsSince(2)))
	require.Equal(t, []string{c}, documentNames(l.machine.DocumentsSince(3)))
	require.Equal(t, []string{c, d}, documentNames(l.machine.Documents()))
}

func documentNames(docs []Document) (list []string) {
	for _, d := range docs {
		list = append(list, d.Name)
	}
	return list
}

func TestOutcomesAreBoundedByCountAndAge(t *testing.T) {
	l := newLog(t, smallOptions)
	submit := func(change string) SubmitResult {
		return l.apply(SubmitDocument{Name: "d", ChangeID: change, Author: "ann"}).(SubmitResult)
	}
	require.Equal(t, SubmitAccepted, submit("0").Outcome)
	for i := range smallOptions.Outcomes {
		submit(fmt.Sprint(i + 1))
	}
	require.Equal(t, SubmitConflict, submit("0").Outcome, "forgotten by count, and then judged by its base")
	require.True(t, submit("0").Repeated)
	l.apply(AdvanceClock{Elapsed: uint64(smallOptions.OutcomeRetention)})
	require.False(t, submit("0").Repeated)
}

func TestClaimLifecycle(t *testing.T) {
	l := newLog(t, smallOptions)
	answer := &RecordedResponse{Status: 201, ContentType: "text/plain", Body: []byte("slot 7")}
	require.Equal(t, ClaimGranted, l.claim("k", "a", 1).Outcome)
	require.Equal(t, ClaimResult{Outcome: ClaimInProgress, Remaining: 1000}, l.claim("k", "b", 1))
	require.Equal(t, ClaimKeyReused, l.claim("k", "b", 2).Outcome)
	require.Equal(t, FinishIgnored, l.finish("k", "b", verdict.NotRun, nil))
	l.apply(AdvanceClock{Elapsed: 1000})
	require.Equal(t, ClaimInProgress, l.claim("k", "b", 1).Outcome)
	l.apply(AdvanceClock{Elapsed: 1})
	require.Equal(t, ClaimResult{Outcome: ClaimUnknown}, l.claim("k", "b", 1))
	require.Equal(t, FinishRecorded, l.finish("k", "a", verdict.MayHaveRun, nil))
	require.Equal(t, ClaimResult{Outcome: ClaimFinished}, l.claim("k", "b", 1))
	require.Equal(t, FinishIgnored, l.finish("k", "a", verdict.NotRun, nil))
	require.Equal(t, FinishRecorded, l.finish("k", "a", verdict.Ran, answer))
	require.Equal(t, FinishIgnored, l.finish("k", "a", verdict.MayHaveRun, nil))
	require.Equal(t, ClaimResult{Outcome: ClaimFinished, Verdict: verdict.Ran, Answer: answer}, l.claim("k", "b", 1))
	l.apply(AdvanceClock{Elapsed: uint64(smallOptions.ClaimRetention)})
	require.Zero(t, l.machine.ClaimCount())
	require.Equal(t, ClaimGranted, l.claim("k", "b", 1).Outcome)
	require.Equal(t, FinishFreed, l.finish("k", "b", verdict.NotRun, nil))
	require.Equal(t, ClaimGranted, l.claim("k", "c", 1).Outcome)
	require.Equal(t, FinishIgnored, l.finish("k", "b", verdict.NotRun, nil))
}

// TestFreedClaimLeavesItsSuccessor: the queue still holds a freed claim, whose
// expiry must not touch the one that took the key after it.
func TestExpiryOfFreedClaimKeepsNextClaim(t *testing.T) {
	l := newLog(t, smallOptions)
	l.claim("k", "a", 1)
	require.Equal(t, FinishFreed, l.finish("k", "a", verdict.NotRun, nil))
	l.apply(AdvanceClock{Elapsed: 2000})
	require.Equal(t, ClaimGranted, l.claim("k", "b", 1).Outcome)
	require.Equal(t, ClockResult{LogicalTime: 4000}, l.apply(AdvanceClock{Elapsed: 2000}))
	require.Equal(t, ClaimUnknown, l.claim("k", "c", 1).Outcome)
	require.Equal(t, ClockResult{LogicalTime: 6000, Expired: 1}, l.apply(AdvanceClock{Elapsed: 2000}))
}

// TestRestoredClaimsExpireAlike: a claim that finished long before its deadline
// goes at the same age in tables that were restored, and bounds count alike.
func TestRestoredClaimsExpireAtTheSameTime(t *testing.T) {
	l := newLog(t, smallOptions)
	c := Claim{Workspace: "w", Key: "k", Attempt: "a", Deadline: 10_000}
	l.apply(ClaimBatch{Claims: []Claim{c}})
	require.Equal(t, FinishRecorded, l.finish("k", "a", verdict.Ran, &RecordedResponse{Body: make([]byte, 30)}))
	image, err := l.machine.Snapshot()
	require.NoError(t, err)
	restored := &testLog{t: t, machine: New(smallOptions), index: l.index}
	require.NoError(t, restored.machine.Restore(image))
	for i := range 5 {
		advance := AdvanceClock{Elapsed: uint64(smallOptions.ClaimRetention)}
		require.Equal(t, l.apply(advance), restored.apply(advance))
		key := fmt.Sprint(i)
		for _, other := range []*testLog{l, restored} {
			require.Equal(t, ClaimGranted, other.claim(key, "a", 1).Outcome)
			answer := &RecordedResponse{Body: make([]byte, 30)}
			require.Equal(t, FinishRecorded, other.finish(key, "a", verdict.Ran, answer))
		}
		want, err := l.machine.Snapshot()
		require.NoError(t, err)
		got, err := restored.machine.Snapshot()
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
	require.Equal(t, 2, l.machine.ClaimCount())
}

func TestClaimLimits(t *testing.T) {
	l := newLog(t, smallOptions)
	for i := range smallOptions.ClaimsPerWorkspace {
		require.Equal(t, ClaimGranted, l.claim(fmt.Sprint(i), "a", 1).Outcome)
	}
	require.Equal(t, ClaimResult{Outcome: ClaimRefused, Verdict: verdict.NotRun}, l.claim("more", "a", 1))
	require.Equal(t, ClaimInProgress, l.claim("0", "b", 1).Outcome, "a known key is answered all the same")
	body := make([]byte, smallOptions.RecordedBytes-10)
	require.Equal(t, FinishRecorded, l.finish("0", "a", verdict.Ran, &RecordedResponse{Body: body}))
	require.Equal(t, FinishRecorded, l.finish("1", "a", verdict.Ran, &RecordedResponse{Body: body}))
	require.NotNil(t, l.claim("0", "b", 1).Answer)
	require.Equal(t, ClaimResult{Outcome: ClaimFinished, Verdict: verdict.Ran}, l.claim("1", "b", 1))
	other := ClaimBatch{}
	for i := range 3 {
		other.Claims = append(other.Claims, Claim{Workspace: "v", Key: fmt.Sprint(i), Attempt: "a"})
	}
	results := l.apply(other).(ClaimBatchResult).Claims
	require.Equal(t, ClaimGranted, results[1].Outcome)
	require.Equal(t, ClaimRefused, results[2].Outcome, "too many altogether")
	require.Equal(t, smallOptions.Claims, l.machine.ClaimCount())
	wide := newLog(t, Options{})
	wide.claim("k", "a", 1)
	require.Equal(t, FinishRecorded, wide.finish("k", "a", verdict.Ran, &RecordedResponse{Body: make([]byte, MaxResponseBytes+1)}))
	require.Equal(t, ClaimResult{Outcome: ClaimFinished, Verdict: verdict.Ran}, wide.claim("k", "b", 1))
}

func TestClusterAndAuditTrail(t *testing.T) {
	l := newLog(t, smallOptions)
	require.Equal(t, InitResult{Accepted: true, ClusterID: "c1"}, l.apply(Init{ClusterID: "c1", Author: "ann", At: 7}))
	require.Equal(t, InitResult{ClusterID: "c1"}, l.apply(Init{ClusterID: "c2", Author: "bob"}))
	set := SetVoterAddress{Replica: "a/1", Host: "a", Address: "127.0.0.1:1"}
	require.Equal(t, VoterAddressResult{Changed: true}, l.apply(set))
	require.Equal(t, VoterAddressResult{}, l.apply(set))
	l.apply(SetVoterAddress{Replica: "b/2", Host: "b", Address: "127.0.0.1:2"})
	l.index++
	l.machine.ApplyMembership(l.index, consensus.Membership{Voters: []consensus.ReplicaID{"a/1"}})
	l.index++
	l.machine.ApplyMembership(l.index, consensus.Membership{Learners: []consensus.ReplicaID{"b/2"}})
	c := l.machine.Cluster()
	require.Equal(t, "c1", c.ID)
	require.Equal(t, []VoterAddress{{Replica: "b/2", Host: "b", Address: "127.0.0.1:2"}}, c.Addresses)
	page := l.machine.History(0, 2, nil)
	require.Equal(t, []uint64{7, 6}, []uint64{page.Records[0].Index, page.Records[1].Index})
	var rest []uint64
	for page.Next != 0 {
		page = l.machine.History(page.Next, 2, nil)
		for _, r := range page.Records {
			rest = append(rest, r.Index)
		}
	}
	require.Equal(t, []uint64{5, 3, 2}, rest, "an unchanged address leaves no record; the oldest is dropped")
	require.Equal(t, "refused", page.Records[0].Outcome)
}

// TestAuditTrailTellsOfEachSubmission: who, what and with what outcome; a filter
// goes before the limit, so that a page is full where there is more.
func TestAuditTrailRecordsEachSubmission(t *testing.T) {
	l := newLog(t, Options{})
	a := SubmitDocument{Name: "a", ChangeID: "x", Author: "ann", Text: "one", At: 7}
	l.apply(a)
	for i := range 3 {
		l.apply(SubmitDocument{Name: "b", Base: l.index * uint64(min(i, 1)), ChangeID: fmt.Sprint(i), Author: "bob"})
	}
	l.apply(SubmitDocument{Name: "a", ChangeID: "y", Author: "bob", Text: "two"})
	l.apply(a)
	page := l.machine.History(0, 2, func(r AuditRecord) bool { return r.IsSubmissionOf([]string{"a"}) })
	require.Equal(t, uint64(5), page.Next)
	one := sha256.Sum256([]byte("one"))
	require.Equal(t, AuditRecord{Index: 6, At: 7, Author: "ann", Action: ActionSubmit, Subject: "a",
		Outcome: "accepted (repeated)", Revision: 1, ChangeID: "x", Digest: one}, page.Records[0])
	require.Equal(t, AuditRecord{Index: 5, Author: "bob", Action: ActionSubmit, Subject: "a",
		Outcome: "conflict", Revision: 1, ChangeID: "y", Digest: sha256.Sum256([]byte("two"))}, page.Records[1])
	page = l.machine.History(page.Next, 2, func(r AuditRecord) bool { return r.IsSubmissionOf([]string{"a"}) })
	require.Zero(t, page.Next)
	require.Len(t, page.Records, 1)
	require.Equal(t, AuditRecord{Index: 1, At: 7, Author: "ann", Action: ActionSubmit, Subject: "a",
		Outcome: "accepted", Revision: 1, ChangeID: "x", Digest: one}, page.Records[0])
	require.True(t, l.machine.HasOutcome("a", "ann", "x"))
	require.False(t, l.machine.HasOutcome("a", "bob", "x"))
}

// TestRetentionComesFromTheLog: replicas of other options, one of them restored, keep
// claims alike once an AdvanceAge has stated how long.
func TestRetentionComesFromTheLog(t *testing.T) {
	a, b := newLog(t, Options{}), newLog(t, Options{ClaimRetention: 3 * day})
	both := func(c Command) any {
		got := a.apply(c)
		require.Equal(t, got, b.apply(c))
		return got
	}
	both(AdvanceClock{Retention: uint64(2 * MinRetention)})
	image, err := a.machine.Snapshot()
	require.NoError(t, err)
	a.machine = New(Options{ClaimRetention: day / 2})
	require.NoError(t, a.machine.Restore(image))
	both(ClaimBatch{Claims: []Claim{{Workspace: "w", Key: "k", Attempt: "p"}}})
	require.Equal(t, ClockResult{LogicalTime: MinRetention}, both(AdvanceClock{Elapsed: uint64(MinRetention)}))
	require.Equal(t, ClockResult{LogicalTime: 2 * MinRetention, Expired: 1}, both(AdvanceClock{Elapsed: uint64(MinRetention)}))
	both(AdvanceClock{Retention: 1})
	both(ClaimBatch{Claims: []Claim{{Workspace: "w", Key: "k", Attempt: "q"}}})
	require.Equal(t, 1, both(AdvanceClock{Elapsed: uint64(MinRetention)}).(ClockResult).Expired, "not below the least")
}

func TestRestoreRefusesAnOlderOrBadSnapshot(t *testing.T) {
	l := newLog(t, smallOptions)
	old, err := l.machine.Snapshot()
	require.NoError(t, err)
	l.apply(SubmitDocument{Name: "d", ChangeID: "x", Author: "ann"})
	require.ErrorContains(t, l.machine.Restore(old), "older")
	require.Error(t, l.machine.Restore([]byte{1, 2}))
	require.Equal(t, uint64(1), l.machine.Fence())
}

// TestConcurrentReadsAndChanges is for the race detector.
func TestConcurrentReadsAndChanges(t *testing.T) {
	l := newLog(t, smallOptions)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 200 {
			l.machine.Documents()
			l.machine.History(0, 3, nil)
			l.machine.Cluster()
			l.machine.ClaimCount()
		}
	}()
	for i := range 200 {
		l.apply(SubmitDocument{Name: "d", Base: l.machine.Fence(), ChangeID: fmt.Sprint(i), Author: "ann"})
		l.claim(fmt.Sprint(i), "a", 1)
		image, err := l.machine.Snapshot()
		require.NoError(t, err)
		require.NoError(t, l.machine.Restore(image))
	}
	<-done
}

// No log entry ends the control host that applies it, since it would end each of them in turn,
// at every start: what can't be read or is out of bounds is rejected.
func TestCorruptEntriesDoNotPanic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(smallOptions)
		for i := range uint64(rapid.IntRange(1, 20).Draw(t, "entries")) {
			data, err := Encode(drawCommand(t, []uint64{1, 2, 3}))
			require.NoError(t, err)
			for range rapid.IntRange(0, 4).Draw(t, "changes") {
				at := rapid.IntRange(0, len(data)-1).Draw(t, "at")
				switch rapid.IntRange(0, 2).Draw(t, "how") {
				case 0:
					data[at] = rapid.Byte().Draw(t, "byte")
				case 1:
					data = data[:at+1]
				default:
					data = append(data[:at:at], append(rapid.SliceOfN(rapid.Byte(), 1, 8).Draw(t, "bytes"), data[at:]...)...)
				}
			}
			m.Apply(i+1, data)
		}
		snapshot, err := m.Snapshot()
		require.NoError(t, err)
		require.NoError(t, New(smallOptions).Restore(snapshot))
	})
}
