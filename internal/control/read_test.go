package control

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/journal"
	"github.com/sassafraspost/sassafraspost/internal/peer"
)

// conditionTimeout bounds the wait for any condition. It is reached only in tests that fail.
const conditionTimeout = 10 * time.Second

// openSingleHost opens the only control host of a cluster on a data folder. Run is not called,
// so the log gets no entries but those of the test and of elections.
func openSingleHost(t *testing.T, dir string) (*Host, func()) {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	j, recovered, err := journal.Open(journal.Options{Dir: dir, Logger: log})
	require.NoError(t, err)
	reg := metrics.NewRegistry()
	h, err := Open(Config{
		Name: "a", Journal: j, Recovered: recovered, Transport: NewTransport(reg),
		Pool: peer.NewPool(peer.Config{}), Tick: 5 * time.Millisecond, Log: log, Metrics: reg,
	})
	require.NoError(t, err)
	return h, func() {
		require.NoError(t, h.Close(context.Background()))
		require.NoError(t, j.Close())
	}
}

// The last log entry after an election is the leader's empty one, which does not change the
// state machine. A read at its index must return without waiting for an entry that does.
func TestReadAfterElectionNeedsNoFurtherEntry(t *testing.T) {
	dir := t.TempDir()
	h, closeHost := openSingleHost(t, dir)
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	require.NoError(t, h.replica.Bootstrap(ctx, consensus.Membership{Voters: []consensus.ReplicaID{h.id}}))
	require.Eventually(t, h.replica.IsLeader, conditionTimeout, time.Millisecond)
	closeHost()

	h, closeHost = openSingleHost(t, dir)
	defer closeHost()
	require.Eventually(t, h.replica.IsLeader, conditionTimeout, time.Millisecond)
	index, err := h.replica.Read(ctx)
	require.NoError(t, err)
	require.NoError(t, h.awaitApplied(ctx, index))
}
