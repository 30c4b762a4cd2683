package rank

import (
	"context"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafraspost/sassafraspost/internal/expertmap"
)

// Guards against a step that starts with two different maps, whatever is lost, delayed, repeated
// or restarted, and against a group that stays paused: once the faults have ended, a coordinator
// has to get it running again.
func TestNoStepRunsOnTwoMaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.IntRange(2, 4).Draw(t, "ranks"))
		countsNoOrders := rapid.Bool().Draw(t, "engines count no orders")
		for _, e := range sim.group.engines {
			e.countsNoOrders = countsNoOrders
		}
		isLossy := rapid.Bool().Draw(t, "lossy")
		for _, e := range sim.group.engines {
			e.losesNext = func() bool { return isLossy && rapid.IntRange(0, 5).Draw(t, "lose") == 0 }
		}
		for range rapid.IntRange(100, 900).Draw(t, "actions") {
			sim.randomAction(t)
			if sim.group.hasMixedMaps {
				t.Fatal("a step has started with two maps")
			}
		}
		isLossy = false
		for _, a := range sim.agents {
			a.coordinator = nil
		}
		sim.finishRecovery()
		if sim.group.hasMixedMaps {
			t.Fatal("a step has started with two maps during the recovery")
		}
		before := sim.group.step
		sim.runWithoutFaults()
		if sim.group.step == before {
			t.Fatalf("the group stays paused: %+v", sim.group.engines[0].state)
		}
	})
}

// randomAction performs one random action.
func (sim *simulation) randomAction(t *rapid.T) {
	agent := rapid.IntRange(0, len(sim.agents)-1).Draw(t, "agent")
	switch rapid.IntRange(0, 79).Draw(t, "action") {
	case 0, 1:
		sim.startCoordinator(agent, true)
	case 2:
		sim.startCoordinator(agent, false)
	case 3:
		if rapid.Bool().Draw(t, "stale agent") {
			stale := *sim.agents[agent]
			sim.staleAgents[stale.address] = &stale
		}
		sim.restart(agent)
	case 4, 5, 6, 7, 8:
		sim.group.startStep()
	case 9, 10, 11:
		e := sim.group.engines[agent]
		if n := len(e.lateOrders); n > 0 {
			i := rapid.IntRange(0, n-1).Draw(t, "late")
			_ = e.execute(e.lateOrders[i])
			e.lateOrders = slices.Delete(e.lateOrders, i, i+1)
		}
	case 12, 13, 14:
		sim.tickCoordinators()
	default:
		sim.handleRandomMessage(t)
	}
}

// handleRandomMessage delivers, duplicates or drops one of the messages in transit. It may also
// deliver it to the stale agent of its host.
func (sim *simulation) handleRandomMessage(t *rapid.T) {
	if len(sim.network) == 0 {
		return
	}
	i := rapid.IntRange(0, min(len(sim.network)-1, 5)).Draw(t, "message")
	p := sim.network[i]
	switch rapid.IntRange(0, 29).Draw(t, "fate") {
	case 0:
		sim.network = slices.Delete(sim.network, i, i+1)
	case 1:
		sim.deliver(p)
	case 2, 3, 4:
		sim.network = slices.Delete(sim.network, i, i+1)
		if stale := sim.staleAgents[p.to]; stale != nil && !p.isReply {
			sim.handleOutput(stale, stale.participant.Step(p.from, p.message))
			return
		}
		sim.deliver(p)
	default:
		sim.network = slices.Delete(sim.network, i, i+1)
		sim.deliver(p)
	}
}

// Guards against a change without faults that doesn't complete, or leaves a rank paused.
func TestMapChangeCompletes(t *testing.T) {
	sim := newSimulation(3)
	sim.startCoordinator(1, true)
	sim.runWithoutFaults()
	require.False(t, sim.group.hasMixedMaps)
	for _, e := range sim.group.engines {
		require.NotZero(t, e.state.Map)
		require.Zero(t, e.state.PauseStep)
	}
	require.Equal(t, expertmap.OutcomeChanged, sim.agents[1].coordinator.Outcome())
}

// Guards against an order that got no answer and is executed after its repetition: the engine
// must refuse it.
func TestLateOrderIsRefused(t *testing.T) {
	g := newGroup(1)
	e := g.engines[0]
	lossesLeft := 1
	e.losesNext = func() bool { lossesLeft--; return lossesLeft >= 0 }
	engine := New(e, 1, 1)
	m := expertmap.Map{Version: expertmap.Ballot{Counter: 7, Coordinator: 3}, SlotsPerRank: 1, Layers: [][]uint16{{0}}}
	require.NoError(t, engine.Stage(t.Context(), m))
	require.Len(t, e.lateOrders, 1)
	c := expertmap.Change{Version: m.Version, Ballot: m.Version, Step: 5}
	require.NoError(t, engine.Arm(t.Context(), c))
	require.NoError(t, engine.Commit(t.Context(), m.Version))
	before := e.state
	require.Error(t, e.execute(e.lateOrders[0]))
	require.Equal(t, before, e.state)
}

// Guards against leaving the repetition of an unanswered order to the coordinator: while a rank
// is paused its whole group waits, so the same call has to send the order again.
func TestUnansweredOrderIsRetried(t *testing.T) {
	g := newGroup(1)
	e := g.engines[0]
	engine := New(e, 1, 1)
	m := expertmap.Map{Version: expertmap.Ballot{Counter: 7, Coordinator: 3}, SlotsPerRank: 1, Layers: [][]uint16{{0}}}
	sent := 0
	e.losesNext = func() bool { sent++; return sent%2 == 1 }
	require.NoError(t, engine.Stage(t.Context(), m))
	require.NoError(t, engine.Arm(t.Context(), expertmap.Change{Version: m.Version, Ballot: m.Version, Step: 5}))
	require.NoError(t, engine.Commit(t.Context(), m.Version))
	require.Zero(t, e.state.PauseStep)
	require.Equal(t, Version(m.Version), e.state.ArmedVersion)
	require.EqualValues(t, 4, e.state.Sequence)
	require.Len(t, e.lateOrders, 4)
	for _, late := range e.lateOrders {
		require.Error(t, e.execute(late))
	}
}

// Guards against repeating an order that was executed although its answer got lost: the engine
// could only refuse the repetition.
func TestExecutedOrderIsNotRetried(t *testing.T) {
	g := newGroup(1)
	c := &silentEngine{simEngine: g.engines[0]}
	engine := New(c, 1, 1)
	m := expertmap.Map{Version: expertmap.Ballot{Counter: 7, Coordinator: 3}, SlotsPerRank: 1, Layers: [][]uint16{{0}}}
	require.ErrorIs(t, engine.Stage(t.Context(), m), ErrUnanswered)
	require.Equal(t, 1, c.orderCount)
	require.ErrorIs(t, engine.Arm(t.Context(), expertmap.Change{Version: m.Version, Ballot: m.Version, Step: 5}), ErrUnanswered)
	require.Equal(t, 3, c.orderCount, "a pause that was executed is followed by the arm")
	require.EqualValues(t, 5, c.state.ArmedStep)
}

// Guards against sending a whole map to an engine again and again while it loads the experts. The
// engine refuses the order after the first time. One whose answer is missing has to be sent again.
func TestAcceptedMapIsSentOnce(t *testing.T) {
	c := &countingEngine{simEngine: newGroup(1).engines[0]}
	engine := New(c, 1, 1)
	m := expertmap.Map{Version: expertmap.Ballot{Counter: 7, Coordinator: 3}, SlotsPerRank: 1, Layers: [][]uint16{{0}}}
	c.losesNext = func() bool { return true }
	require.Error(t, engine.Stage(t.Context(), m))
	c.losesNext, c.orderCount = func() bool { return false }, 0
	for range 3 {
		require.NoError(t, engine.Stage(t.Context(), m))
	}
	require.Equal(t, 1, c.orderCount)
	m.Version.Counter++
	require.NoError(t, engine.Stage(t.Context(), m))
	require.Equal(t, 2, c.orderCount, "another map")
}

// countingEngine counts the orders that it is sent.
type countingEngine struct {
	*simEngine
	orderCount int
}

func (e *countingEngine) Order(ctx context.Context, o Order) error {
	e.orderCount++
	return e.simEngine.Order(ctx, o)
}

// silentEngine executes every order and answers none.
type silentEngine struct {
	*simEngine
	orderCount int
}

func (e *silentEngine) Order(_ context.Context, o Order) error {
	e.orderCount++
	_ = e.execute(o)
	return ErrUnanswered
}

// Guards against versions that order differently from their ballots, or don't decode to them.
func TestVersionOrderMatchesBallotOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func() expertmap.Ballot {
			return expertmap.Ballot{
				Counter:     rapid.Uint64Range(2, 1<<36).Draw(t, "counter"),
				Coordinator: rapid.Uint64Range(0, MaxCoordinator).Draw(t, "coordinator"),
			}
		}
		a, b := draw(), draw()
		if Ballot(Version(a)) != a || a.Less(b) != (Version(a) < Version(b)) {
			t.Fatalf("%v and %v", a, b)
		}
	})
	require.Equal(t, initialBallot, Ballot(0))
	require.Zero(t, Version(initialBallot))
}

// Guards against orders to an engine whose group has formed again.
func TestOldEpochIsRejected(t *testing.T) {
	g := newGroup(1)
	engine := New(g.engines[0], 1, 1)
	g.engines[0].state.Epoch = 2
	_, err := engine.Status(t.Context())
	require.ErrorIs(t, err, ErrEpoch)
	require.ErrorIs(t, engine.Stage(t.Context(), expertmap.Map{}), ErrEpoch)
}

// Guards against a rank that resumes before the abort has disarmed all ranks. An agent that died
// has told rank 0 to resume, by orders that are still in transit, when another coordinator finds
// that no rank has committed and aborts. If rank 1 resumed with its abort, one of those orders
// would let the group start the step with rank 0 still armed.
func TestNoRankResumesBeforeAllAreDisarmed(t *testing.T) {
	sim := newSimulation(2)
	first, second := sim.group.engines[0], sim.group.engines[1]
	sim.startCoordinator(0, true)
	for first.state.ArmedVersion == 0 || second.state.ArmedVersion == 0 || sim.network[0].message.Commit == nil {
		p := sim.network[0]
		sim.network = sim.network[1:]
		sim.deliver(p)
	}
	first.losesNext = func() bool { return true }
	for _, p := range sim.network {
		if p.message.Commit != nil && p.to == 0 {
			sim.deliver(p)
		}
	}
	first.losesNext = func() bool { return false }
	require.Len(t, first.lateOrders, maxSends)
	require.Equal(t, Resume, first.lateOrders[0].Operation)
	sim.network = nil
	sim.restart(0)
	sim.restart(1)

	sim.startCoordinator(1, false)
	var delayedAborts []packet
	for len(sim.network) > 0 {
		p := sim.network[0]
		sim.network = sim.network[1:]
		if p.message.Abort != nil && p.to == 0 {
			delayedAborts = append(delayedAborts, p)
			continue
		}
		sim.deliver(p)
	}
	require.NotEmpty(t, delayedAborts)
	require.Zero(t, second.state.ArmedVersion)
	require.NoError(t, first.execute(first.lateOrders[0]))
	for range 10 {
		sim.group.startStep()
	}
	require.False(t, sim.group.hasMixedMaps)
	sim.network = delayedAborts
	sim.runWithoutFaults()
	require.False(t, sim.group.hasMixedMaps)
	require.Zero(t, first.state.ArmedVersion)
	require.Zero(t, second.state.PauseStep)
}

// A coordinator dies during an abort, and a resume order that was sent before arrives late. Rank
// 0 then looks committed to a change that rank 1 has dropped. Guards against a next coordinator
// that takes the change for committed: it has to abort, and the group must continue.
func TestLateResumeDuringAbortIsAborted(t *testing.T) {
	sim := newSimulation(2)
	first, second := sim.group.engines[0], sim.group.engines[1]
	sim.startCoordinator(0, true)
	for first.state.ArmedVersion == 0 || second.state.ArmedVersion == 0 {
		p := sim.network[0]
		sim.network = sim.network[1:]
		sim.deliver(p)
	}
	lateResume := Order{Operation: Resume, Epoch: 1, ExpectedSequence: first.state.Sequence, Step: first.state.PauseStep}
	sim.network = nil
	sim.restart(0)
	sim.startCoordinator(1, false)
	for second.state.ArmedVersion != 0 {
		p := sim.network[0]
		sim.network = sim.network[1:]
		if p.message.Abort == nil || p.to != 0 {
			sim.deliver(p)
		}
	}
	sim.network = nil
	sim.restart(1)
	require.NoError(t, first.execute(lateResume))
	sim.finishRecovery()
	require.False(t, sim.group.hasMixedMaps)
	require.Zero(t, first.state.ArmedVersion)
	require.Zero(t, second.state.PauseStep)
	require.Zero(t, first.state.Map)
}

// An arm order that got no answer may be carried out seconds later, when its change was aborted and
// the rank is about to be resumed. A rank that was resumed then began the step on a map that no other
// rank used. An engine need not count orders, so the count tells nothing of such an order.
func TestLateArmOrderIsNotResumed(t *testing.T) {
	b := expertmap.Ballot{Counter: 7}
	change := expertmap.Change{Version: b, Ballot: b, Step: 5}
	for name, isArmedBefore := range map[string]bool{"armed and disarmed before": true, "never armed before": false} {
		t.Run(name, func(t *testing.T) {
			g := newGroup(1)
			e := g.engines[0]
			e.countsNoOrders = true
			engine := New(e, 1, 1)
			ctx := t.Context()
			require.NoError(t, engine.Stage(ctx, expertmap.Map{Version: b, SlotsPerRank: 1, Layers: [][]uint16{{0}}}))
			lost := 0
			e.losesNext = func() bool {
				lost++
				return lost == 2 || lost > 2 && !isArmedBefore
			}
			_ = engine.Arm(ctx, change)
			require.NotEmpty(t, e.lateOrders)
			require.Equal(t, isArmedBefore, e.state.ArmedVersion != 0)
			e.losesNext = func() bool { return false }
			require.NoError(t, engine.Abort(ctx, b))
			late := e.lateOrders[0]
			resumes := 0
			e.losesNext = func() bool {
				// The late order is carried out while the first resume order is in transit.
				if resumes++; resumes == 1 {
					_ = e.execute(late)
					return true
				}
				return false
			}
			for range 10 {
				if s, err := engine.Status(ctx); err == nil && s.Armed != nil && e.state.PauseStep != 0 {
					_ = engine.Abort(ctx, b)
					continue
				}
				_ = engine.Release(ctx, b)
			}
			require.Zero(t, e.state.PauseStep, "released")
			for range 5 {
				require.True(t, g.startStep())
			}
			require.Zero(t, e.state.Map, "the change was aborted")
		})
	}
}
