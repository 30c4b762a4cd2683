package control

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/state"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// startLeader starts the only control host of a cluster, to which other hosts can connect. It has
// the lead.
func startLeader(t *testing.T) (*Host, *testHost) {
	t.Helper()
	h, closeHost := openSingleHost(t, t.TempDir())
	t.Cleanup(closeHost)
	ctx, cancel := context.WithTimeout(t.Context(), conditionTimeout)
	defer cancel()
	require.NoError(t, h.replica.Bootstrap(ctx, consensus.Membership{Voters: []consensus.ReplicaID{h.id}}))
	require.Eventually(t, h.replica.IsLeader, conditionTimeout, time.Millisecond)
	return h, startTestHost(t, "c", func(*testHost) *Host { return h })
}

// attachEntryHost attaches an entry host that handles evacuations with a function. call is zero if
// no reply is expected.
func attachEntryHost(t *testing.T, h *Host, th *testHost, name string, handle func(s *peer.Session, call uint64, m *wire.Evacuations)) *peer.Session {
	t.Helper()
	pool := peer.NewPool(peer.Config{
		Hello: wire.Hello{Host: name}, Secret: "s", Metrics: metrics.NewRegistry(), DialTimeout: conditionTimeout,
		Handler: peer.HandlerFunc(func(s *peer.Session, call uint64, m wire.Message) {
			if e, ok := m.(*wire.Evacuations); ok {
				handle(s, call, e)
			}
		}),
	})
	t.Cleanup(pool.Close)
	s, err := pool.Get(t.Context(), th.address)
	require.NoError(t, err)
	before := attachedCount(h)
	require.NoError(t, s.Post(&wire.Attach{Role: roleEntry}))
	require.Eventually(t, func() bool { return attachedCount(h) > before }, conditionTimeout, time.Millisecond)
	return s
}

func attachedCount(h *Host) int {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	return len(h.fleet.attached)
}

// Guards against an acknowledgement before the attached entry hosts obey the order, and against one
// that never comes because of an entry host that does not reply.
func TestEvacuationIsAcknowledgedOnceEntryHostsConfirm(t *testing.T) {
	h, th := startLeader(t)
	const delay = 50 * time.Millisecond
	attachEntryHost(t, h, th, "e1", func(s *peer.Session, call uint64, _ *wire.Evacuations) {
		time.AfterFunc(delay, func() { _ = s.Reply(call, &wire.Ack{}) })
	})
	began := time.Now()
	r, err := h.SetEvacuation(t.Context(), "east", true, "ann")
	require.NoError(t, err)
	require.Equal(t, []string{"east"}, r.Evacuated)
	require.GreaterOrEqual(t, time.Since(began), delay)
	attachEntryHost(t, h, th, "e2", func(*peer.Session, uint64, *wire.Evacuations) {})
	began = time.Now()
	r, err = h.SetEvacuation(t.Context(), "east", true, "ann")
	require.NoError(t, err, "a repeated order is acknowledged")
	require.Equal(t, state.EvacuationUnchanged, r.Outcome)
	require.GreaterOrEqual(t, time.Since(began), notifyTimeout, "a repeated order waits too")
}

// Guards against an entry host that does not hear of a change, because it attached only after it, or
// because another control host has handled the order.
func TestEntryHostsGetEvacuationsOnAttachAndOnChange(t *testing.T) {
	h, th := startLeader(t)
	go h.fleet.runEvacuations(t.Context())
	received := make(chan *wire.Evacuations, 100)
	attach := func(name string) {
		attachEntryHost(t, h, th, name, func(_ *peer.Session, call uint64, m *wire.Evacuations) {
			if call == 0 {
				received <- m
			}
		})
	}
	attach("e1")
	r, err := h.proposeEvacuation(t.Context(), state.SetEvacuation{DataCentre: "east", IsEvacuated: true})
	require.NoError(t, err)
	want := &wire.Evacuations{Index: r.Index, DataCentres: []string{"east"}}
	require.Equal(t, want, <-received)
	attach("e2")
	require.Equal(t, want, <-received)
}

// Guards against a host that starts during an evacuation and sends requests before it knows of it.
func TestConfigurationAnswerHasEvacuations(t *testing.T) {
	h, _ := startLeader(t)
	query := &wire.ConfigurationQuery{Linearizable: true}
	answer, err := h.handleConfigurationQuery(t.Context(), query)
	require.NoError(t, err)
	require.Nil(t, answer.(*wire.ConfigurationAnswer).Evacuations, "there was no order")
	r, err := h.SetEvacuation(t.Context(), "east", true, "ann")
	require.NoError(t, err)
	answer, err = h.handleConfigurationQuery(t.Context(), query)
	require.NoError(t, err)
	require.Equal(t, &wire.Evacuations{Index: r.Index, DataCentres: []string{"east"}}, answer.(*wire.ConfigurationAnswer).Evacuations)
}

// Guards against a host that follows documents, starts during an evacuation and serves callers before it
// knows of it.
func TestConfirmedDocumentsHaveEvacuations(t *testing.T) {
	h, th := startLeader(t)
	changes := make(chan *wire.Changes, 100)
	pool := peer.NewPool(peer.Config{
		Hello: wire.Hello{Host: "e"}, Secret: "s", Metrics: metrics.NewRegistry(), DialTimeout: conditionTimeout,
		Handler: peer.HandlerFunc(func(_ *peer.Session, _ uint64, m wire.Message) {
			if c, ok := m.(*wire.Changes); ok {
				changes <- c
			}
		}),
	})
	t.Cleanup(pool.Close)
	s, err := pool.Get(t.Context(), th.address)
	require.NoError(t, err)
	require.NoError(t, s.Post(&wire.Watch{}))
	require.Eventually(t, h.watchers.hasWatchers, conditionTimeout, time.Millisecond)
	h.confirmUpToDate(t.Context())
	c := <-changes
	require.True(t, c.Linearizable)
	require.Nil(t, c.Evacuations, "there was no order")
	r, err := h.SetEvacuation(t.Context(), "east", true, "ann")
	require.NoError(t, err)
	h.confirmUpToDate(t.Context())
	require.Equal(t, &wire.Evacuations{Index: r.Index, DataCentres: []string{"east"}}, (<-changes).Evacuations)
}

// Guards against an order that fails because its host's table was out of date, and against one that
// is proposed again although its caller has left: a later order may have been acknowledged since.
func TestStaleEvacuationIsProposedAgainOnlyForAWaitingCaller(t *testing.T) {
	h, _ := startLeader(t)
	for _, isEvacuated := range []bool{true, false} {
		_, err := h.SetEvacuation(t.Context(), "east", isEvacuated, "ann")
		require.NoError(t, err)
	}
	stale := state.SetEvacuation{DataCentre: "east", IsEvacuated: true}
	ctx, cancel := context.WithTimeout(t.Context(), callerCheckDelay*3/2)
	defer cancel()
	_, err := h.proposeEvacuation(ctx, stale)
	require.Error(t, err)
	require.Empty(t, h.tables.Evacuations().Evacuated())
	r, err := h.proposeEvacuation(t.Context(), stale)
	require.NoError(t, err)
	require.Equal(t, state.EvacuationChanged, r.Outcome)
}

// Guards against an order that is proposed although the end of its caller's connection has arrived right
// behind it, as it does at a host that was frozen.
func TestOrderOfCallerThatHasLeftIsNotProposed(t *testing.T) {
	h, _ := startLeader(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	_, err := h.SetEvacuation(ctx, "east", true, "ann")
	require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
	e, err := h.Evacuations(t.Context())
	require.NoError(t, err)
	require.Empty(t, e.All)
}

// Guards against two operators of whom one gets an error or neither gets its way.
func TestConcurrentEvacuationOrdersAreAllAcknowledged(t *testing.T) {
	h, _ := startLeader(t)
	errs := make(chan error)
	for i := range 8 {
		go func() {
			var err error
			for range 5 {
				if _, e := h.SetEvacuation(t.Context(), "east", i%2 == 0, "ann"); e != nil {
					err = e
				}
			}
			errs <- err
		}()
	}
	for range 8 {
		require.NoError(t, <-errs)
	}
	_, err := h.SetEvacuation(t.Context(), "east", true, "ann")
	require.NoError(t, err)
	e, err := h.Evacuations(t.Context())
	require.NoError(t, err)
	require.Equal(t, []string{"east"}, e.Evacuated())
}

// Guards against an order that takes effect for a data centre that does not exist, and against a
// promise without a quorum.
func TestEvacuationIsRefused(t *testing.T) {
	h, closeHost := openSingleHost(t, t.TempDir())
	defer closeHost()
	h.cfg.DataCentres = []string{"east", "west"}
	for _, name := range []string{"", "north", strings.Repeat("x", maxDataCentreBytes+1), "\xff"} {
		_, err := h.SetEvacuation(t.Context(), name, true, "ann")
		require.Equal(t, verdict.CodeBadRequest, verdict.FromError(err).Code)
		require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := h.SetEvacuation(ctx, "east", true, "ann")
	require.Equal(t, verdict.CodeNoQuorum, verdict.FromError(err).Code)
	_, err = h.Evacuations(ctx)
	require.Error(t, err)
}

// Guards against an order that succeeds at the leader but fails at the host that has forwarded it.
func TestEvacuationResultIsForwarded(t *testing.T) {
	want := state.EvacuationResult{Outcome: state.EvacuationChanged, LastOrder: 7, Index: 7, Evacuated: []string{"east"}}
	data, err := encodeResult(want)
	require.NoError(t, err)
	got, err := decodeResult(data)
	require.NoError(t, err)
	require.Equal(t, want, got)
}
