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

// smallOptions has limits that a few commands reach.
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

// testLog encodes commands and applies them at consecutive log indexes.
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
	f := Finish{Workspace: "w", Key: key, Attempt: attempt, Verdict: v, Response: a}
	return l.apply(FinishClaims{Finishes: []Finish{f}}).(FinishResult).Finishes[0]
}

// drawCommand draws a command from few names and keys, so that commands often concern the
// same document or claim.
func drawCommand(t *rapid.T, revisions []uint64) Command {
	draw := func(label string, values ...string) string { return rapid.SampledFrom(values).Draw(t, label) }
	switch rapid.IntRange(0, 11).Draw(t, "kind") {
	case 0:
		return Init{ClusterID: draw("cluster", "c1", "c2")}
	case 1:
		return SetVoterAddress{Replica: consensus.ReplicaID(draw("replica", "a/1", "b/2")), Host: "h", Address: draw("address", "1", "2")}
	case 2, 3:
		return AdvanceClock{
			Elapsed:   rapid.Uint64Range(0, 1500).Draw(t, "elapsed"),
			Retention: rapid.SampledFrom([]uint64{0, 0, 0, 1, 70_000}).Draw(t, "retention"),
		}
	case 4, 5:
		return SubmitDocument{
			Name:         draw("name", "d1", "d2"),
			BaseRevision: rapid.SampledFrom(revisions[max(0, len(revisions)-3):]).Draw(t, "base"),
			ChangeID:     draw("change", "x", "y", "z"),
			Author:       draw("author", "ann", "bob"),
			Text:         draw("text", "", "one", "two"),
		}
	case 6, 7:
		var b ClaimBatch
		for range rapid.IntRange(1, 3).Draw(t, "claims") {
			b.Claims = append(b.Claims, Claim{
				Workspace: draw("workspace", "v", "w"),
				Key:       draw("key", "1", "2", "3", "4"),
				Attempt:   draw("attempt", "p", "q"),
				Digest:    [32]byte{byte(rapid.IntRange(0, 1).Draw(t, "digest"))},
				Deadline:  rapid.Uint64Range(0, 4000).Draw(t, "deadline"),
			})
		}
		return b
	case 8, 9:
		return SetEvacuation{
			DataCentre:  draw("data centre", "east", "west"),
			IsEvacuated: rapid.Bool().Draw(t, "evacuated"),
			LastOrder:   rapid.Uint64Range(0, 12).Draw(t, "last order"),
			Author:      draw("author", "ann", "bob"),
		}
	}
	f := Finish{
		Workspace: draw("workspace", "v", "w"),
		Key:       draw("key", "1", "2", "3", "4"),
		Attempt:   draw("attempt", "p", "q"),
		Verdict:   verdict.Verdict(rapid.IntRange(0, 3).Draw(t, "verdict")),
	}
	if rapid.Bool().Draw(t, "answered") {
		f.Response = &RecordedResponse{Status: 200, Body: make([]byte, rapid.IntRange(0, 30).Draw(t, "body"))}
	}
	return FinishClaims{Finishes: []Finish{f}}
}

// A replica that restores snapshots at random points must return the same results and
// produce the same snapshots as one that never restores. Otherwise replicas would diverge.
func TestSnapshotAndRestorePreserveResultsAndState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reference, restored := New(smallOptions), New(smallOptions)
		revisions := []uint64{0}
		for i := uint64(1); i <= uint64(rapid.IntRange(1, 40).Draw(t, "commands")); i++ {
			command := drawCommand(t, revisions)
			data, err := Encode(command)
			require.NoError(t, err)
			want := reference.Apply(i, data)
			require.Equal(t, want, restored.Apply(i, data))
			if r, ok := want.(SubmitResult); ok {
				revisions = append(revisions, r.Revision)
			}
			snapshot, err := reference.Snapshot()
			require.NoError(t, err)
			other, err := restored.Snapshot()
			require.NoError(t, err)
			require.Equal(t, snapshot, other)
			if rapid.IntRange(0, 3).Draw(t, "split") == 0 {
				restored = New(smallOptions)
				require.NoError(t, restored.Restore(other))
				require.Equal(t, reference.FencingToken(), restored.FencingToken())
			}
		}
	})
}

// grantedClaim is the claim that the test expects a key to have.
type grantedClaim struct {
	attempt                 string
	deadline, retainedUntil LogicalTime
	finished                bool
}

// Revisions must never decrease and a key must not be granted to two attempts, also when old
// log entries and old snapshots are applied again. A key may be granted to another attempt only
// after the one that holds it finished with NotRun or its retention has passed; otherwise a
// non-idempotent call would run twice. The attempt that holds it may be told so again until it
// has finished or its deadline has passed.
func TestRevisionsNeverDecreaseAndClaimsAreGrantedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(smallOptions)
		revisions := []uint64{0}
		lastRevision := map[string]uint64{}
		granted := map[[2]string]grantedClaim{}
		entries := [][]byte{nil}
		snapshots := [][]byte{nil}
		for i := uint64(1); i <= 40; i++ {
			old := rapid.IntRange(0, int(i)-1).Draw(t, "again")
			if old > 0 && rapid.Bool().Draw(t, "old entry") {
				m.Apply(uint64(old), entries[old])
			} else if old > 0 && old < int(i)-1 {
				require.Error(t, m.Restore(snapshots[old]))
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
					g, ok := granted[key]
					if ok && g.attempt == c.Attempt && m.LogicalTime() < g.retainedUntil {
						require.False(t, g.finished, "granted again after its end")
						require.LessOrEqual(t, m.LogicalTime(), g.deadline, "granted again after its deadline")
						continue
					}
					if ok {
						require.GreaterOrEqual(t, m.LogicalTime(), g.retainedUntil, "granted twice")
					}
					deadline := m.LogicalTime() + LogicalTime(c.Deadline)
					granted[key] = grantedClaim{attempt: c.Attempt, deadline: deadline, retainedUntil: deadline + smallOptions.ClaimRetention}
				}
			case FinishResult:
				f := command.(FinishClaims).Finishes[0]
				key := [2]string{f.Workspace, f.Key}
				if result.Finishes[0] == FinishFreed {
					require.Equal(t, granted[key].attempt, f.Attempt, "freed by another attempt")
					require.Equal(t, verdict.NotRun, f.Verdict)
					delete(granted, key)
				}
				if result.Finishes[0] == FinishRecorded {
					g := granted[key]
					g.finished = true
					granted[key] = g
				}
			}
			for _, doc := range m.Documents() {
				require.GreaterOrEqual(t, doc.Revision, lastRevision[doc.Name], "revision decreased")
				require.LessOrEqual(t, doc.Revision, m.FencingToken())
				lastRevision[doc.Name] = doc.Revision
			}
			snapshot, err := m.Snapshot()
			require.NoError(t, err)
			entries, snapshots = append(entries, data), append(snapshots, snapshot)
		}
	})
}

// Two replicas must return the same result for a log entry of arbitrary bytes, and must count
// the entry as applied. Otherwise they would diverge.
func TestApplyIsDeterministicForArbitraryBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOf(rapid.Byte()).Draw(t, "data")
		if rapid.Bool().Draw(t, "wrapped") {
			raw, err := cbor.Marshal(data)
			require.NoError(t, err)
			kind := commandKind(rapid.IntRange(0, 9).Draw(t, "kind"))
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
		ReasonUnknownVersion: {Version: commandVersion + 1, Kind: kindAdvanceClock, Body: body},
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
	carl := SubmitDocument{Name: "d", BaseRevision: 1, ChangeID: "z", Author: "carl", Text: "three"}
	require.Equal(t, SubmitResult{Outcome: SubmitAccepted, Revision: 3}, l.apply(carl))
	<-changed
	// A resend gets the result of the first submission, although the document has changed.
	require.Equal(t, SubmitResult{Outcome: SubmitAccepted, Revision: 1, Repeated: true}, l.apply(ann))
	conflict.Repeated = true
	require.Equal(t, conflict, l.apply(bob))
	bob.Text = "other"
	require.Equal(t, SubmitResult{Outcome: SubmitChangeIDReused, Revision: 3, Repeated: true}, l.apply(bob))
	doc, ok := l.machine.Document("d")
	require.True(t, ok)
	require.Equal(t, "three", doc.Text)
	require.Equal(t, uint64(3), l.machine.FencingToken())
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
	require.Equal(t, SubmitConflict, submit("0").Outcome, "the oldest outcome is dropped beyond the limit, so the resend counts as a new change")
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
	require.Equal(t, ClaimGranted, l.claim("k", "a", 1).Outcome, "the attempt that holds the claim asks again")
	require.Equal(t, ClaimKeyReused, l.claim("k", "a", 2).Outcome)
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
	require.Equal(t, ClaimResult{Outcome: ClaimFinished, Verdict: verdict.Ran, Response: answer}, l.claim("k", "b", 1))
	l.apply(AdvanceClock{Elapsed: uint64(smallOptions.ClaimRetention)})
	require.Zero(t, l.machine.ClaimCount())
	require.Equal(t, ClaimGranted, l.claim("k", "b", 1).Outcome)
	require.Equal(t, FinishFreed, l.finish("k", "b", verdict.NotRun, nil))
	require.Equal(t, ClaimGranted, l.claim("k", "c", 1).Outcome)
	require.Equal(t, FinishIgnored, l.finish("k", "b", verdict.NotRun, nil))
}

// A freed claim stays in the expiry queue. When that entry comes up, the next claim of the same
// key must not be deleted.
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

// Claims must expire at the same logical time on a replica that restored a snapshot, and count
// towards the same limits. The expiry queue is rebuilt there, so its entries differ for a claim
// that finished long before its deadline.
func TestRestoredClaimsExpireAtTheSameTime(t *testing.T) {
	l := newLog(t, smallOptions)
	c := Claim{Workspace: "w", Key: "k", Attempt: "a", Deadline: 10_000}
	l.apply(ClaimBatch{Claims: []Claim{c}})
	require.Equal(t, FinishRecorded, l.finish("k", "a", verdict.Ran, &RecordedResponse{Body: make([]byte, 30)}))
	snapshot, err := l.machine.Snapshot()
	require.NoError(t, err)
	restored := &testLog{t: t, machine: New(smallOptions), index: l.index}
	require.NoError(t, restored.machine.Restore(snapshot))
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
	require.Equal(t, ClaimInProgress, l.claim("0", "b", 1).Outcome, "a key that has a claim is answered although the limit is reached")
	body := make([]byte, smallOptions.RecordedBytes-10)
	require.Equal(t, FinishRecorded, l.finish("0", "a", verdict.Ran, &RecordedResponse{Body: body}))
	require.Equal(t, FinishRecorded, l.finish("1", "a", verdict.Ran, &RecordedResponse{Body: body}))
	require.NotNil(t, l.claim("0", "b", 1).Response)
	require.Equal(t, ClaimResult{Outcome: ClaimFinished, Verdict: verdict.Ran}, l.claim("1", "b", 1))
	other := ClaimBatch{}
	for i := range 3 {
		other.Claims = append(other.Claims, Claim{Workspace: "v", Key: fmt.Sprint(i), Attempt: "a"})
	}
	results := l.apply(other).(ClaimBatchResult).Claims
	require.Equal(t, ClaimGranted, results[1].Outcome)
	require.Equal(t, ClaimRefused, results[2].Outcome, "the limit of all workspaces is reached")
	require.Equal(t, smallOptions.Claims, l.machine.ClaimCount())
	defaults := newLog(t, Options{})
	defaults.claim("k", "a", 1)
	require.Equal(t, FinishRecorded, defaults.finish("k", "a", verdict.Ran, &RecordedResponse{Body: make([]byte, MaxResponseBytes+1)}))
	require.Equal(t, ClaimResult{Outcome: ClaimFinished, Verdict: verdict.Ran}, defaults.claim("k", "b", 1))
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
	require.Equal(t, []uint64{5, 3, 2}, rest, "an unchanged address makes no record, and the oldest record is dropped")
	require.Equal(t, "refused", page.Records[0].Outcome)
}

// The audit trail must record the author, the document and the outcome of every submission,
// also of a conflict and of a resend. The filter must apply before the limit, so that a page
// is full whenever more matching records follow.
func TestAuditTrailRecordsEachSubmission(t *testing.T) {
	l := newLog(t, Options{})
	a := SubmitDocument{Name: "a", ChangeID: "x", Author: "ann", Text: "one", At: 7}
	l.apply(a)
	for i := range 3 {
		l.apply(SubmitDocument{Name: "b", BaseRevision: l.index * uint64(min(i, 1)), ChangeID: fmt.Sprint(i), Author: "bob"})
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

// Replicas with different options, one of them restored from a snapshot, must keep claims for
// the same time once an AdvanceClock has set the retention.
func TestRetentionComesFromTheLog(t *testing.T) {
	a, b := newLog(t, Options{}), newLog(t, Options{ClaimRetention: 3 * day})
	applyToBoth := func(c Command) any {
		got := a.apply(c)
		require.Equal(t, got, b.apply(c))
		return got
	}
	applyToBoth(AdvanceClock{Retention: uint64(2 * MinRetention)})
	snapshot, err := a.machine.Snapshot()
	require.NoError(t, err)
	a.machine = New(Options{ClaimRetention: day / 2})
	require.NoError(t, a.machine.Restore(snapshot))
	applyToBoth(ClaimBatch{Claims: []Claim{{Workspace: "w", Key: "k", Attempt: "p"}}})
	require.Equal(t, ClockResult{LogicalTime: MinRetention}, applyToBoth(AdvanceClock{Elapsed: uint64(MinRetention)}))
	require.Equal(t, ClockResult{LogicalTime: 2 * MinRetention, Expired: 1}, applyToBoth(AdvanceClock{Elapsed: uint64(MinRetention)}))
	applyToBoth(AdvanceClock{Retention: 1})
	applyToBoth(ClaimBatch{Claims: []Claim{{Workspace: "w", Key: "k", Attempt: "q"}}})
	require.Equal(t, 1, applyToBoth(AdvanceClock{Elapsed: uint64(MinRetention)}).(ClockResult).Expired, "the retention is at least MinRetention")
}

func TestRestoreRefusesAnOlderOrBadSnapshot(t *testing.T) {
	l := newLog(t, smallOptions)
	old, err := l.machine.Snapshot()
	require.NoError(t, err)
	l.apply(SubmitDocument{Name: "d", ChangeID: "x", Author: "ann"})
	require.ErrorContains(t, l.machine.Restore(old), "older")
	require.Error(t, l.machine.Restore([]byte{1, 2}))
	require.Equal(t, uint64(1), l.machine.FencingToken())
}

// Readers run concurrently with changes, snapshots and restores. The race detector reports
// access without a lock.
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
		l.apply(SubmitDocument{Name: "d", BaseRevision: l.machine.FencingToken(), ChangeID: fmt.Sprint(i), Author: "ann"})
		l.claim(fmt.Sprint(i), "a", 1)
		snapshot, err := l.machine.Snapshot()
		require.NoError(t, err)
		require.NoError(t, l.machine.Restore(snapshot))
	}
	<-done
}

// A corrupt log entry must not cause a panic: what cannot be decoded or exceeds a limit is
// rejected. A panic would crash every control host that applies the entry, and again at every
// restart.
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
