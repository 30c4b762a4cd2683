package expertmap

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// loaded is a rank in the middle of step 5 with map v1 in use and v2 loaded.
func loaded() Status {
	return Status{Step: 5, Active: Installed{Version: v1, FromStep: 1}, Maps: []Map{{Version: v1}, {Version: v2}}}
}

var (
	v1 = Ballot{Counter: 1, Coordinator: 1}
	v2 = Ballot{Counter: 2, Coordinator: 1}
	v3 = Ballot{Counter: 3, Coordinator: 2}
)

// ask has a participant with one engine carry out a request.
func ask(p *Participant, e *fakeEngine, m Message) Message {
	out := p.Step(0, m)
	for out.HasWork {
		for _, o := range out.Orders {
			e.do(o)
		}
		out = p.Done([]Status{e.copied()}, nil)
	}
	if out.Reply == nil {
		return Message{}
	}
	return out.Reply.Message
}

// reason returns why a request was refused, or zero.
func reason(m Message) Reason {
	if m.Refused == nil {
		return 0
	}
	return m.Refused.Reason
}

func promised(t *testing.T, b Ballot) (*Participant, *fakeEngine) {
	p, e := NewParticipant(7, 5, Map{}), &fakeEngine{status: loaded()}
	require.NotNil(t, ask(p, e, Message{Promise: &Promise{Ballot: b}}).Promised)
	return p, e
}

func armed(t *testing.T) (*Participant, *fakeEngine) {
	p, e := promised(t, v2)
	require.NotNil(t, ask(p, e, Message{Arm: &Arm{v2, 7, v2, 6}}).Armed)
	return p, e
}

func TestStaleCoordinatorIsRefused(t *testing.T) {
	p, e := armed(t)
	require.NotNil(t, ask(p, e, Message{Promise: &Promise{Ballot: v3}}).Promised)
	commit := Message{Commit: &Commit{v2, 7, CurrentMap{Installed: Installed{v2, 6}}}}
	for _, m := range []Message{{Promise: &Promise{Ballot: v2}}, {Arm: &Arm{v2, 7, v2, 6}}, commit, {Abort: &Abort{Ballot: v2, Incarnation: 7}}} {
		refused := ask(p, e, m).Refused
		require.NotNil(t, refused)
		require.Equal(t, ReasonBallot, refused.Reason)
		require.Equal(t, v3, refused.Promised)
	}
	require.True(t, e.status.HasUncommittedChange())
}

func TestRestartedParticipantHoldsUntilTheNextBallot(t *testing.T) {
	_, e := armed(t)
	p := NewParticipant(8, 5, Map{})
	commit := Message{Commit: &Commit{v2, 7, CurrentMap{Installed: Installed{v2, 6}}}}
	require.Equal(t, ReasonIncarnation, reason(ask(p, e, commit)))
	// The late duplicate of a promise must not open the way for the late commit.
	require.NotNil(t, ask(p, e, Message{Promise: &Promise{Ballot: v2}}).Promised)
	require.Equal(t, ReasonIncarnation, reason(ask(p, e, commit)))
	require.True(t, e.status.HasUncommittedChange())
}

func TestLateArmDoesNotUndoAbort(t *testing.T) {
	p, e := armed(t)
	require.NotNil(t, ask(p, e, Message{Abort: &Abort{Ballot: v2, Incarnation: 7}}).Aborted)
	require.Equal(t, ReasonState, reason(ask(p, e, Message{Arm: &Arm{v2, 7, v2, 6}})))
	require.Nil(t, e.status.Armed)
}

func TestArmIsRefusedAtAStartedStep(t *testing.T) {
	p, e := promised(t, v2)
	require.Equal(t, ReasonStep, reason(ask(p, e, Message{Arm: &Arm{v2, 7, v2, 5}})))
	require.Nil(t, e.status.Armed)
}

// drain delivers all packets but commits, while the engines start no step.
func (w *world) drain() []packet {
	return w.drainTo(func(m Message) bool { return m.Commit != nil })
}

// drainTo delivers all packets but those to hold back, which it returns.
func (w *world) drainTo(hold func(Message) bool) (held []packet) {
	for len(w.net) > 0 {
		if hold(w.net[0].msg) {
			held = append(held, w.net[0])
			w.net = w.net[1:]
			continue
		}
		w.deliver(0)
		w.agentsWork()
	}
	return held
}

// Rank 0 promises ballot 3, restarts, forgets it and promises ballot 2, which
// then arms everyone. When ranks 1 and 2 promise ballot 3 too, its coordinator
// has all promises, and has seen no commit; yet ballot 2 can still commit.
func TestPromisesAreConfirmedBeforeTheyCount(t *testing.T) {
	w := newWorld(3, 1)
	w.newCoordinator(w.hosts[0], 10)
	v, _ := w.change(w.hosts[0])
	require.False(t, v.IsZero())
	w.newCoordinator(w.hosts[1], 1)
	w.newCoordinator(w.hosts[2], 1)
	w.drain()
	w.propose(w.hosts[1], v)
	lower := w.net
	w.net = nil
	w.sendAll(w.hosts[2], w.hosts[2].coord.Start(nil))
	higher := slices.Clone(w.net[1:])
	w.net = w.net[:1]
	w.drain()
	w.restartAgent(w.hosts[0])
	w.net = lower
	commits := w.drain()
	require.Len(t, commits, 3, "ballot 2 has armed all")
	w.net = higher
	w.drain()
	w.net = commits
	w.round()
	for range 6 {
		w.enginesWork(w.engines)
		require.NoError(t, w.err)
	}
	w.recovered(t)
}

// The coordinator dies after each possible number of deliveries of one change;
// another agent notices by itself and brings the group on.
func TestAnotherAgentRecoversWhereverTheCoordinatorDies(t *testing.T) {
	for deliveries := range 4 * 2 * 3 {
		w := newWorld(3, 2)
		w.newCoordinator(w.hosts[0], 10)
		v, _ := w.change(w.hosts[0])
		w.net = nil
		w.newCoordinator(w.hosts[0], 1)
		w.propose(w.hosts[0], v)
		for range deliveries {
			w.deliver(0)
			w.agentsWork()
		}
		w.hosts[0].coord = nil
		before := w.engines[0].finished
		for range 40 {
			w.round()
			w.observe()
		}
		for i, e := range w.engines {
			require.Greater(t, e.finished, before+10, "rank %d, %d deliveries", i, deliveries)
			require.Equal(t, w.engines[0].status.Active.Version, e.status.Active.Version)
		}
		require.NoError(t, w.err)
	}
}

// agentsWork finishes the work of all agents, with weights loaded at once.
func (w *world) agentsWork() {
	for _, h := range w.hosts {
		for h.work {
			for _, e := range h.engines {
				e.loadAll()
			}
			w.agentWork(h)
		}
	}
}

// observe lets each agent start a recovery where its participant says so.
func (w *world) observe() {
	for _, h := range w.hosts {
		if h.coord != nil {
			w.sendAll(h, h.coord.Tick())
			continue
		}
		if h.part.RecoveryDue(h.statuses()) {
			w.newCoordinator(h, 10)
			w.sendAll(h, h.coord.Start(nil))
		}
	}
}

// staged brings a proposal of host 0, to be armed at the next step, up to the arm that is
// sent to that host alone.
func staged(t *testing.T) *world {
	t.Helper()
	w := newWorld(3, 1)
	w.newCoordinator(w.hosts[0], 10)
	v, _ := w.change(w.hosts[0])
	require.False(t, v.IsZero())
	w.newCoordinator(w.hosts[0], 1)
	w.propose(w.hosts[0], v)
	isArm := func(m Message) bool { return m.Arm != nil }
	for range 5 {
		arms := w.drainTo(isArm)
		w.net = append(w.net, arms...)
		if len(arms) > 0 {
			break
		}
		w.enginesWorkWithoutSteps()
		w.sendAll(w.hosts[0], w.hosts[0].coord.Tick())
	}
	require.Len(t, w.net, 1, "only the own participant is asked")
	require.Equal(t, Address(0), w.net[0].to)
	return w
}

// enginesWorkWithoutSteps loads what is staged.
func (w *world) enginesWorkWithoutSteps() {
	for _, e := range w.engines {
		e.loadAll()
	}
}

// steps lets all engines begin and end some steps.
func (w *world) steps(n int) {
	for range 2 * n {
		w.enginesWork(w.engines)
	}
}

func TestNextStepIsArmedAtTheOwnRankFirst(t *testing.T) {
	w := staged(t)
	step := w.net[0].msg.Arm.Step
	w.deliver(0)
	w.agentsWork()
	require.NotNil(t, w.engines[0].status.Armed)
	w.steps(5)
	require.Less(t, w.engines[0].status.Step, step, "the armed rank waits")
	w.drain()
}

func TestAnswerOfAnotherStepArmsNobodyElse(t *testing.T) {
	w := staged(t)
	c := w.hosts[0].coord
	step := w.net[0].msg.Arm.Step
	require.Empty(t, c.Step(0, Message{Armed: &Armed{Ballot: c.Ballot(), Step: step + 1}}))
	require.Len(t, c.Step(0, Message{Armed: &Armed{Ballot: c.Ballot(), Step: step}}), 2)
}

func TestOwnRankThatCameTooLateIsAskedForTheNextStep(t *testing.T) {
	w := staged(t)
	w.steps(3)
	began := w.engines[0].status.Step
	require.GreaterOrEqual(t, began, w.net[0].msg.Arm.Step)
	commits := w.drain()
	require.Len(t, commits, 3)
	for _, e := range w.engines {
		require.Equal(t, began+1, e.status.Armed.Step)
	}
}

// The message to the own rank comes twice, and the refusal of the first makes way for a
// later step that reaches the rank: whatever comes when, all ranks are armed at one step.
func TestRepeatedArmOfTheOwnRankLeavesOneStep(t *testing.T) {
	w := staged(t)
	w.net = append(w.net, w.net[0])
	w.steps(3)
	commits := w.drain()
	require.Len(t, commits, 3)
	for _, e := range w.engines {
		require.Equal(t, w.engines[0].status.Armed.Step, e.status.Armed.Step)
	}
	old := &Refused{Ballot: w.hosts[0].coord.Ballot(), Reason: ReasonStep, LastStartedStep: 1}
	require.Empty(t, w.hosts[0].coord.Step(0, Message{Refused: old}))
	require.Equal(t, OutcomeRunning, w.hosts[0].coord.Outcome(), "an old refusal ends nothing")
}

func TestArmedRankRefusesAnotherStep(t *testing.T) {
	p, e := armed(t)
	require.Equal(t, ReasonStep, reason(ask(p, e, Message{Arm: &Arm{v2, 7, v2, 7}})))
	require.EqualValues(t, 6, e.status.Armed.Step)
}

// Where weights load for longer than a message takes, the answer must not cost the
// coordinator a message a tick: its link would be full of maps.
func TestRequestThatWaitsIsAnsweredWithoutBeingSentAgain(t *testing.T) {
	p, e := promised(t, v3)
	out := p.Step(0, Message{Stage: &Stage{Ballot: v3, Incarnation: 7, Maps: []Map{{Version: v3}}}})
	work := func() *Envelope {
		for out.HasWork {
			for _, o := range out.Orders {
				e.do(o)
			}
			out = p.Done([]Status{e.copied()}, nil)
		}
		return out.Reply
	}
	require.Nil(t, work())
	out = p.Tick()
	require.Nil(t, work(), "the weights still load")
	e.loadAll()
	out = p.Tick()
	require.NotNil(t, work().Message.Staged)
	require.Equal(t, Output{}, p.Tick())
}

// A request that came while another one was in work is judged again when its turn comes.
func TestRequestThatCameMeanwhileIsJudgedAtItsTurn(t *testing.T) {
	p, e := armed(t)
	out := p.Step(0, Message{Abort: &Abort{Ballot: v2, Incarnation: 7}})
	require.True(t, out.HasWork)
	require.Equal(t, Output{}, p.Step(0, Message{Arm: &Arm{v2, 7, v2, 6}}))
	for out.HasWork {
		for _, o := range out.Orders {
			e.do(o)
		}
		out = p.Done([]Status{e.copied()}, nil)
	}
	require.NotNil(t, out.Reply.Message.Aborted)
	require.Nil(t, e.status.Armed)
}
