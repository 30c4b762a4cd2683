package rank

import (
	"context"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafraspost/sassafraspost/internal/expertmap"
)

// Whatever is lost, late, repeated or restarted, no pass begins on two maps; and once
// things are calm a coordinator brings the group going again.
func TestNoPassBeginsOnTwoMaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(2, 4).Draw(t, "ranks"))
		isLossy := rapid.Bool().Draw(t, "lossy")
		for _, e := range w.group.engines {
			e.lose = func() bool { return isLossy && rapid.IntRange(0, 5).Draw(t, "lose") == 0 }
		}
		for range rapid.IntRange(100, 900).Draw(t, "actions") {
			w.act(t)
			if w.group.mixed {
				t.Fatal("a pass has begun on two maps")
			}
		}
		isLossy = false
		for _, a := range w.agents {
			a.coordinator = nil
		}
		w.settle()
		if w.group.mixed {
			t.Fatal("a pass has begun on two maps while things settled")
		}
		before := w.group.step
		w.calm()
		if w.group.step == before {
			t.Fatalf("the group holds: %+v", w.group.engines[0].state)
		}
	})
}

// act makes one random thing happen.
func (w *simWorld) act(t *rapid.T) {
	agent := rapid.IntRange(0, len(w.agents)-1).Draw(t, "agent")
	switch rapid.IntRange(0, 79).Draw(t, "action") {
	case 0, 1:
		w.start(agent, true)
	case 2:
		w.start(agent, false)
	case 3:
		if rapid.Bool().Draw(t, "ghost") {
			ghost := *w.agents[agent]
			w.ghosts[ghost.address] = &ghost
		}
		w.restart(agent)
	case 4, 5, 6, 7, 8:
		w.group.pass()
	case 9, 10, 11:
		e := w.group.engines[agent]
		if n := len(e.late); n > 0 {
			i := rapid.IntRange(0, n-1).Draw(t, "late")
			_ = e.carryOut(e.late[i])
			e.late = slices.Delete(e.late, i, i+1)
		}
	case 12, 13, 14:
		w.tick()
	default:
		w.someMessage(t)
	}
}

// someMessage delivers, repeats or loses one of the messages on their way.
func (w *simWorld) someMessage(t *rapid.T) {
	if len(w.net) == 0 {
		return
	}
	i := rapid.IntRange(0, min(len(w.net)-1, 5)).Draw(t, "message")
	p := w.net[i]
	switch rapid.IntRange(0, 29).Draw(t, "fate") {
	case 0:
		w.net = slices.Delete(w.net, i, i+1)
	case 1:
		w.deliver(p)
	case 2, 3, 4:
		w.net = slices.Delete(w.net, i, i+1)
		if ghost := w.ghosts[p.to]; ghost != nil && !p.isReply {
			w.work(ghost, ghost.participant.Step(p.from, p.message))
			return
		}
		w.deliver(p)
	default:
		w.net = slices.Delete(w.net, i, i+1)
		w.deliver(p)
	}
}

func TestChangeGoesThrough(t *testing.T) {
	w := newWorld(3)
	w.start(1, true)
	w.calm()
	require.False(t, w.group.mixed)
	for _, e := range w.group.engines {
		require.NotZero(t, e.state.Map)
		require.Zero(t, e.state.PauseStep)
	}
	require.Equal(t, expertmap.OutcomeChanged, w.agents[1].coordinator.Outcome())
}

// An order that got no answer and is carried out after its repeat has no effect.
func TestLateOrderRefusesItself(t *testing.T) {
	g := newGroup(1)
	e := g.engines[0]
	lost := 1
	e.lose = func() bool { lost--; return lost >= 0 }
	engine := New(e, 1, 1)
	m := expertmap.Map{Version: expertmap.Ballot{Counter: 7, Coordinator: 3}, SlotsPerRank: 1, Layers: [][]uint16{{0}}}
	require.NoError(t, engine.Stage(t.Context(), m))
	require.Len(t, e.late, 1)
	c := expertmap.Change{Version: m.Version, Ballot: m.Version, Step: 5}
	require.NoError(t, engine.Arm(t.Context(), c))
	require.NoError(t, engine.Commit(t.Context(), m.Version))
	before := e.state
	require.Error(t, e.carryOut(e.late[0]))
	require.Equal(t, before, e.state)
}

// While a rank holds its whole group waits, so an order that got no answer is given
// again by the same call.
func TestUnansweredOrderIsRepeatedAtOnce(t *testing.T) {
	g := newGroup(1)
	e := g.engines[0]
	engine := New(e, 1, 1)
	m := expertmap.Map{Version: expertmap.Ballot{Counter: 7, Coordinator: 3}, SlotsPerRank: 1, Layers: [][]uint16{{0}}}
	every := 0
	e.lose = func() bool { every++; return every%2 == 1 }
	require.NoError(t, engine.Stage(t.Context(), m))
	require.NoError(t, engine.Arm(t.Context(), expertmap.Change{Version: m.Version, Ballot: m.Version, Step: 5}))
	require.NoError(t, engine.Commit(t.Context(), m.Version))
	require.Zero(t, e.state.PauseStep)
	require.Equal(t, Version(m.Version), e.state.ArmedVersion)
	require.EqualValues(t, 4, e.state.Sequence)
	require.Len(t, e.late, 4)
	for _, late := range e.late {
		require.Error(t, e.carryOut(late))
	}
}

// An order that was taken although its answer got lost is not given again: the repeat
// could only be refused.
func TestOrderThatWasTakenIsNotRepeated(t *testing.T) {
	g := newGroup(1)
	c := &unheardEngine{simEngine: g.engines[0]}
	engine := New(c, 1, 1)
	m := expertmap.Map{Version: expertmap.Ballot{Counter: 7, Coordinator: 3}, SlotsPerRank: 1, Layers: [][]uint16{{0}}}
	require.ErrorIs(t, engine.Stage(t.Context(), m), ErrUnanswered)
	require.Equal(t, 1, c.orders)
	require.ErrorIs(t, engine.Arm(t.Context(), expertmap.Change{Version: m.Version, Ballot: m.Version, Step: 5}), ErrUnanswered)
	require.Equal(t, 3, c.orders, "a hold that was taken is followed by the arm")
	require.EqualValues(t, 5, c.state.ArmedStep)
}

// unheardEngine carries out every order and answers none.
type unheardEngine struct {
	*simEngine
	orders int
}

func (e *unheardEngine) Order(_ context.Context, o Order) error {
	e.orders++
	_ = e.carryOut(o)
	return ErrUnanswered
}

func TestVersionsKeepTheOrderOfBallots(t *testing.T) {
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
	require.Equal(t, firstMap, Ballot(0))
	require.Zero(t, Version(firstMap))
}

func TestEpochThatIsOverIsLeft(t *testing.T) {
	g := newGroup(1)
	engine := New(g.engines[0], 1, 1)
	g.engines[0].state.Epoch = 2
	_, err := engine.Status(t.Context())
	require.ErrorIs(t, err, ErrEpoch)
	require.ErrorIs(t, engine.Stage(t.Context(), expertmap.Map{}), ErrEpoch)
}

// An abort is carried out on all ranks before any of them goes on. Here rank 0 was told
// to go on by an agent that died, by an order that is still on its way, when another
// coordinator finds that nobody has committed and aborts. Were rank 1 let go with its
// abort, that order would let the group begin the step with rank 0 still armed.
func TestAbortLetsNobodyGoBeforeAllHaveDisarmed(t *testing.T) {
	w := newWorld(2)
	first, second := w.group.engines[0], w.group.engines[1]
	w.start(0, true)
	for first.state.ArmedVersion == 0 || second.state.ArmedVersion == 0 || w.net[0].message.Commit == nil {
		p := w.net[0]
		w.net = w.net[1:]
		w.deliver(p)
	}
	first.lose = func() bool { return true }
	for _, p := range w.net {
		if p.message.Commit != nil && p.to == 0 {
			w.deliver(p)
		}
	}
	first.lose = func() bool { return false }
	require.Len(t, first.late, mostSends)
	require.Equal(t, Resume, first.late[0].Operation)
	w.net = nil
	w.restart(0)
	w.restart(1)

	w.start(1, false)
	var kept []packet
	for len(w.net) > 0 {
		p := w.net[0]
		w.net = w.net[1:]
		if p.message.Abort != nil && p.to == 0 {
			kept = append(kept, p)
			continue
		}
		w.deliver(p)
	}
	require.NotEmpty(t, kept)
	require.Zero(t, second.state.ArmedVersion)
	require.NoError(t, first.carryOut(first.late[0]))
	for range 10 {
		w.group.pass()
	}
	require.False(t, w.group.mixed)
	w.net = kept
	w.calm()
	require.False(t, w.group.mixed)
	require.Zero(t, first.state.ArmedVersion)
	require.Zero(t, second.state.PauseStep)
}

// A coordinator dies while it aborts, and an order to go on from before it comes late: a
// rank then looks as if it had committed what another has dropped. The next coordinator
// has to abort, and the group goes on.
func TestLateGoAfterAnAbortBeganIsAborted(t *testing.T) {
	w := newWorld(2)
	first, second := w.group.engines[0], w.group.engines[1]
	w.start(0, true)
	for first.state.ArmedVersion == 0 || second.state.ArmedVersion == 0 {
		p := w.net[0]
		w.net = w.net[1:]
		w.deliver(p)
	}
	late := Order{Operation: Resume, Epoch: 1, Expect: first.state.Sequence, Step: first.state.PauseStep}
	w.net = nil
	w.restart(0)
	w.start(1, false)
	for second.state.ArmedVersion != 0 {
		p := w.net[0]
		w.net = w.net[1:]
		if p.message.Abort == nil || p.to != 0 {
			w.deliver(p)
		}
	}
	w.net = nil
	w.restart(1)
	require.NoError(t, first.carryOut(late))
	w.settle()
	require.False(t, w.group.mixed)
	require.Zero(t, first.state.ArmedVersion)
	require.Zero(t, second.state.PauseStep)
	require.Zero(t, first.state.Map)
}
