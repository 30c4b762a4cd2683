package control

import (
	"bytes"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/adminapi"
	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/replica"
	"github.com/sassafraspost/sassafraspost/internal/state"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Guards against what is accepted at its writer and can't pass one of the readers on its way, so that it is sent
// again for ever: the message to the leader, the answer to entry hosts, and the chunks to a replica that joins.
func TestLargestAcceptedStateFitsEveryReader(t *testing.T) {
	var e wire.Evacuations
	for i := range state.MaxDataCentres {
		e.DataCentres = append(e.DataCentres, strings.Repeat("x", state.MaxNameBytes-4)+strconv.Itoa(1000+i))
	}
	large := make([]byte, state.MaxCommandBytes)
	for name, m := range map[string]wire.Message{
		"command":       &wire.Propose{Data: large},
		"configuration": &wire.ConfigurationAnswer{Number: 1, Data: large[:state.MaxConfigurationBytes], Evacuations: &e},
		"document":      &wire.Changes{Documents: []wire.Document{{Text: large[:state.MaxDocumentBytes]}}, Evacuations: &e},
		"response":      &wire.ClaimReply{Response: &wire.Response{Body: large[:state.MaxResponseBytes]}},
	} {
		data, err := wire.Encode(1, false, m)
		require.NoError(t, err, name)
		require.LessOrEqual(t, len(data), wire.MaxMessageBytes, name)
		_, decoded, err := wire.Decode(data)
		require.NoError(t, err, name)
		require.Equal(t, m, decoded, name)
	}
	empty, err := wire.Marshal(consensus.Message{Snapshot: &consensus.Snapshot{Meta: consensus.SnapshotMeta{Membership: consensus.Membership{
		Voters: make([]consensus.ReplicaID, 100), Learners: make([]consensus.ReplicaID, 100),
	}}}})
	require.NoError(t, err)
	const namesBytes = 200 * state.MaxNameBytes
	require.LessOrEqual(t, replica.DefaultMaxSnapshotBytes+len(empty)+namesBytes, chunkBytes*maxChunks)
}

// Guards against documents that are accepted until no snapshot of them can be taken or sent.
func TestDocumentsBeyondTheirCommonLimitAreRefused(t *testing.T) {
	const limit = 10 * documentOverhead
	text := func(n int) []byte { return bytes.Repeat([]byte("x"), n) }
	all := []state.Document{
		{Name: "a", Text: string(text(4 * documentOverhead))},
		{Name: "b", Text: string(text(3 * documentOverhead))},
	}
	for name, c := range map[string]struct {
		document  string
		bytes     int
		isRefused bool
	}{
		"another that fits":          {"c", 0, false},
		"another that does not fit":  {"c", 1, true},
		"a larger one that fits":     {"a", 5 * documentOverhead, false},
		"a larger one that does not": {"a", 5*documentOverhead + 1, true},
		"a smaller one":              {"a", documentOverhead, false},
	} {
		err := checkTotalSize(all, adminapi.SubmitRequest{Name: c.document, Text: text(c.bytes)}, limit)
		if !c.isRefused {
			require.NoError(t, err, name)
			continue
		}
		require.Equal(t, verdict.CodeTooLarge, verdict.FromError(err).Code, name)
		require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict, name)
	}
	over := []state.Document{{Name: "a", Text: string(text(2 * limit))}}
	require.NoError(t, checkTotalSize(over, adminapi.SubmitRequest{Name: "a", Text: text(limit)}, limit), "it becomes smaller")
}

// Guards against a configuration that is too large for the tables and is committed all the same, so that each host
// writes it to its disk, and is answered with 'rejected' without a reason. The largest one must be accepted.
func TestConfigurationThatIsTooLargeIsRefusedAtItsProposer(t *testing.T) {
	h, _ := startLeader(t)
	data := make([]byte, state.MaxConfigurationBytes+1)
	// A read waits until the first entry of the leader's term is committed.
	_, err := h.Configuration(t.Context())
	require.NoError(t, err)
	before := h.replica.Status().Commit
	for name, c := range map[string]struct {
		data   []byte
		author string
		code   verdict.Code
	}{
		"data":                    {data, "ann", verdict.CodeTooLarge},
		"beyond a message":        {make([]byte, 2*state.MaxCommandBytes), "ann", verdict.CodeTooLarge},
		"author that is no text":  {nil, invalidText, verdict.CodeBadRequest},
		"author that is too long": {nil, strings.Repeat("x", state.MaxNameBytes+1), verdict.CodeBadRequest},
	} {
		_, err := h.PutConfiguration(t.Context(), 1, c.data, c.author)
		require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict, name)
		require.Equal(t, c.code, verdict.FromError(err).Code, name)
	}
	require.Equal(t, before, h.replica.Status().Commit, "nothing is in the log")
	number, err := h.PutConfiguration(t.Context(), 1, data[:state.MaxConfigurationBytes], "ann")
	require.NoError(t, err)
	require.Equal(t, uint64(1), number)
	require.Len(t, h.tables.Configuration().Data, state.MaxConfigurationBytes)
}
