package expertmap

import (
	"math/bits"
	"slices"

	"github.com/pkg/errors"
)

// Outcome is the result of a coordinator's ballot.
type Outcome uint8

const (
	// OutcomeRunning means that the ballot hasn't ended.
	OutcomeRunning Outcome = iota
	// OutcomeChanged means that all ranks have committed the proposed map.
	OutcomeChanged
	// OutcomeSettled means that no unfinished change is left and that the proposal, if any,
	// wasn't tried; it may be proposed again.
	OutcomeSettled
	// OutcomeAborted means that the proposed change was aborted and no rank is armed.
	OutcomeAborted
	// OutcomeStale means that the proposal was planned on a map that isn't the group's current
	// one.
	OutcomeStale
	// OutcomeSuperseded means that another ballot, or the restart of a participant, ended this
	// ballot. The next ballot completes or aborts the change that this one has begun.
	OutcomeSuperseded
	// OutcomeTimedOut means that some participant didn't answer in time, before any rank was
	// armed.
	OutcomeTimedOut
)

// Config holds a coordinator's parameters.
type Config struct {
	// ID must be unique for each start of a coordinator; see [Ballot].
	ID uint64
	// Participants lists every participant of the group. If one is missing, the protocol is
	// unsafe.
	Participants []Address
	// LastKnownBallot is the highest ballot that the agent knows of; the coordinator starts above
	// it. With the promise of the agent's own participant, the first attempt isn't refused by
	// that participant. Default zero.
	LastKnownBallot Ballot
	// RetryTicks is the number of ticks after which unanswered requests are sent again, counted from
	// the last message of any participant. While messages arrive, the missing answers are probably
	// queued behind them, and repeated requests would only delay them. Default 1.
	RetryTicks int
	// PausedRetryTicks replaces RetryTicks in the rounds in which ranks may be paused: arming and
	// all later ones. Default RetryTicks.
	PausedRetryTicks int
	// KeepaliveTicks is the interval, in ticks of a round, at which a request that needs no answer
	// (see [Message.IsKeepalive]) is sent to all participants. The ranks of a participant may be
	// paused, and if it hears nothing for its recovery delay (see [NewParticipant]) it starts a
	// recovery, which supersedes the ballot that it waits for. The interval must be well below that
	// delay. Default 20.
	KeepaliveTicks int
	// DeadlineTicks is the number of ticks, counted from the last answer to the round, after which
	// it is given up if some participant hasn't answered. It doesn't apply to commit, abort and
	// release, which are repeated until answered or superseded. Default 50.
	DeadlineTicks int
	// ArmAhead is the number of steps between the last started step and the step at which the map
	// changes; it should cover a round trip to all participants. Default 16. With 1,
	// LocalParticipant is armed before the others are asked: see [Coordinator.SetArmAhead].
	ArmAhead uint64
	// LocalParticipant is the participant on the coordinator's own host, which messages reach
	// without delay.
	LocalParticipant Address
}

func (c Config) withDefaults() Config {
	if c.RetryTicks == 0 {
		c.RetryTicks = 1
	}
	if c.PausedRetryTicks == 0 {
		c.PausedRetryTicks = c.RetryTicks
	}
	if c.KeepaliveTicks == 0 {
		c.KeepaliveTicks = 20
	}
	if c.DeadlineTicks == 0 {
		c.DeadlineTicks = 50
	}
	if c.ArmAhead == 0 {
		c.ArmAhead = 16
	}
	return c
}

// Proposal asks for a change to a new map.
type Proposal struct {
	// Base is the version of the map that the new one was planned on; zero for a group that has
	// no map yet.
	Base Version
	// Map is the new map. Its version is set by the coordinator.
	Map Map
}

// Round is a round of the protocol: one request to every participant, and their answers.
type Round uint8

const (
	idle Round = iota
	promising
	fetching
	staging
	// Arming and Committing are the rounds of a change in which ranks may be paused.
	Arming
	Committing
	aborting
	releasing
	// RoundCount is the number of rounds, idle included.
	RoundCount
)

// roundNames are the rounds' names in logs.
var roundNames = [RoundCount]string{"idle", "promise", "fetch", "stage", "arm", "commit", "abort", "release"}

// String returns the round's name in logs.
func (r Round) String() string { return roundNames[r] }

// peer is what the coordinator knows about one participant in the current ballot.
type peer struct {
	addr        Address
	incarnation uint64
	ranks       []Status
	step        uint64
	answered    bool
	// knownMaps lists the maps whose content the participant has.
	knownMaps []Version
	// needsContent is set once the participant has asked for the content of the maps to stage.
	needsContent bool
}

// Coordinator runs one ballot at a time, either to change the map or to recover from an
// unfinished change. It isn't safe for concurrent use. Any number of coordinators may run in a
// group at once.
type Coordinator struct {
	cfg     Config
	counter uint64
	ballot  Ballot
	round   Round
	outcome Outcome
	ticks   int

	proposal  *Proposal
	peers     []peer
	knownMaps []Map
	// delta is the proposed map as its difference from a known map, nil if there is none. content
	// holds the maps that are staged.
	delta   *Delta
	content []Map
	state   groupState
	// decided is the map that the group uses as far as known: the one found in the promises, or
	// the proposed one once it may be committed.
	decided CurrentMap
	// recovering is set when this ballot completes or aborts an unfinished change, or gives a
	// group its first map.
	recovering bool
	armStep    uint64
	// lastStarted is a step that the group has started; see SetArmAhead.
	lastStarted uint64
	// armsLocalOnly is set while only LocalParticipant has been asked to arm.
	armsLocalOnly bool
	// transferEnd is the tick of the round by which the content sent in it has reached all
	// participants.
	transferEnd int
	// lastAnswer is the tick of the round at which a participant answered it last, and lastHeard
	// the tick at which any message arrived; 0 if none has.
	lastAnswer, lastHeard int
	// resends counts how often this ballot has sent content again.
	resends int
}

// NewCoordinator returns an idle coordinator.
func NewCoordinator(cfg Config) (*Coordinator, error) {
	if cfg.ID == 0 || len(cfg.Participants) == 0 {
		return nil, errors.New("a coordinator needs an ID and participants")
	}
	return &Coordinator{cfg: cfg.withDefaults(), counter: cfg.LastKnownBallot.Counter}, nil
}

// Start begins a new ballot, either with a proposal or, if p is nil, only to complete or abort an
// unfinished change. known are maps whose content the coordinator has. A participant that has one
// of them too is sent only the difference from it; the map that the proposal was planned on is
// preferred. Start abandons a running ballot, which is safe at any point.
func (c *Coordinator) Start(p *Proposal, known ...Map) []Envelope {
	c.counter++
	c.ballot = Ballot{Counter: c.counter, Coordinator: c.cfg.ID}
	c.proposal = p
	c.knownMaps = slices.Clone(known)
	c.prepareProposal()
	c.outcome = OutcomeRunning
	c.recovering = false
	c.resends = 0
	c.peers = c.peers[:0]
	for _, a := range c.cfg.Participants {
		c.peers = append(c.peers, peer{addr: a})
	}
	return c.enterRound(promising)
}

// SetArmAhead changes [Config.ArmAhead] from the next arm round on. The steps count from
// lastStarted, a step that the group has started, or from a later one that a participant has
// reported: the answers of a large group are old by the time that all of them are handled.
//
// With steps at 1, the change is armed for the very next step, which may start before the arm
// round ends. LocalParticipant is therefore armed alone at first: once its ranks are armed, the
// whole group waits for them before that step. If they have already started the step,
// LocalParticipant is asked to arm the step after it; no other participant has been told a step by
// then.
func (c *Coordinator) SetArmAhead(steps, lastStarted uint64) {
	c.cfg.ArmAhead, c.lastStarted = max(steps, 1), lastStarted
}

// Round returns the round that the coordinator is in.
func (c *Coordinator) Round() Round { return c.round }

// IsStaging reports whether the coordinator waits for ranks that load weights, which takes long.
func (c *Coordinator) IsStaging() bool { return c.round == staging }

// Unanswered returns the participants that have not answered the current round.
func (c *Coordinator) Unanswered() []Address {
	var out []Address
	for i := range c.peers {
		if !c.peers[i].answered {
			out = append(out, c.peers[i].addr)
		}
	}
	return out
}

// ArmedStep returns the step for which the last change was armed, 0 before the first change.
func (c *Coordinator) ArmedStep() uint64 { return c.armStep }

// Outcome returns how the ballot ended, or OutcomeRunning.
func (c *Coordinator) Outcome() Outcome { return c.outcome }

// Ballot returns the current or last ballot, which is also the version of the proposed map.
func (c *Coordinator) Ballot() Ballot { return c.ballot }

// CurrentMap returns the map that the group uses, as found or decided by this ballot.
func (c *Coordinator) CurrentMap() CurrentMap { return c.decided }

// Tick tells the coordinator that one tick has passed. It sends unanswered requests again, and
// gives up the round at its deadline.
func (c *Coordinator) Tick() []Envelope {
	if c.round == idle {
		return nil
	}
	c.ticks++
	if c.ticks-max(c.lastAnswer, c.transferEnd) >= c.cfg.DeadlineTicks && c.round < Committing {
		return c.giveUp()
	}
	var out []Envelope
	if c.isRetryDue() {
		out = c.send()
	}
	if c.isKeepaliveDue() {
		out = append(out, c.keepalives()...)
	}
	return out
}

// isKeepaliveDue reports whether keepalives have to be sent; see [Config.KeepaliveTicks]. It never
// is while ranks load the weights for a change: no rank is paused then.
func (c *Coordinator) isKeepaliveDue() bool {
	if c.round == staging && !c.recovering {
		return false
	}
	elapsed := c.ticks - c.transferEnd
	return elapsed > 0 && elapsed%c.cfg.KeepaliveTicks == 0
}

// isRetryDue reports whether unanswered requests have to be sent again. While weights are
// loading, the time between two retries doubles each time, because asking again doesn't speed up
// the loading.
func (c *Coordinator) isRetryDue() bool {
	elapsed, interval := c.ticks-max(c.lastHeard, c.transferEnd), c.cfg.RetryTicks
	if c.round >= Arming {
		interval = c.cfg.PausedRetryTicks
	}
	if elapsed <= 0 || elapsed%interval != 0 {
		return false
	}
	return c.round != staging || bits.OnesCount(uint(elapsed/interval)) == 1
}

// isRetry reports whether the requests of this round have been sent before.
func (c *Coordinator) isRetry() bool { return c.ticks > 0 }

// giveUp ends a round that not all participants have answered in time. A change that may be armed
// is aborted. That is safe: this ballot has sent no commit, and the participants refuse lower
// ballots.
func (c *Coordinator) giveUp() []Envelope {
	if c.round == Arming {
		return c.enterRound(aborting)
	}
	return c.finish(OutcomeTimedOut)
}

// Step handles an answer from a participant.
func (c *Coordinator) Step(from Address, m Message) []Envelope {
	p := c.peer(from)
	c.lastHeard = c.ticks
	if m.Refused != nil && m.Refused.Reason == ReasonContent {
		return c.resendContent(p, m.Refused)
	}
	if m.Refused != nil {
		return c.handleRefusal(m.Refused)
	}
	if p == nil || p.answered || !c.acceptReply(p, m) {
		return nil
	}
	p.answered = true
	c.lastAnswer = c.ticks
	if c.armsLocalOnly {
		c.armsLocalOnly = false
		return c.send()
	}
	for i := range c.peers {
		if !c.peers[i].answered {
			return nil
		}
	}
	return c.advance()
}

func (c *Coordinator) peer(a Address) *peer {
	for i := range c.peers {
		if c.peers[i].addr == a {
			return &c.peers[i]
		}
	}
	return nil
}

// acceptReply reports whether a message answers the current round, and stores its content. The
// incarnation is taken once per ballot, from the promise.
func (c *Coordinator) acceptReply(p *peer, m Message) bool {
	switch {
	case c.round == promising && m.Promised != nil && m.Promised.Ballot == c.ballot && !m.Promised.HasRequestedMaps:
		p.incarnation = m.Promised.Incarnation
		p.ranks = m.Promised.Ranks
		p.knownMaps = m.Promised.KnownMaps
		return true
	case c.round == fetching && m.Promised != nil && m.Promised.Ballot == c.ballot && m.Promised.HasRequestedMaps:
		c.addMaps(m.Promised.Maps)
		return true
	case c.round == staging && m.Staged != nil:
		p.step = m.Staged.Step
		return m.Staged.Ballot == c.ballot
	case c.round == Arming && m.Armed != nil:
		return m.Armed.Ballot == c.ballot && m.Armed.Step == c.armStep
	case c.round == Committing && m.Committed != nil:
		return m.Committed.Ballot == c.ballot
	case c.round == aborting && m.Aborted != nil:
		return m.Aborted.Ballot == c.ballot
	case c.round == releasing && m.Released != nil:
		return m.Released.Ballot == c.ballot
	}
	return false
}

// handleRefusal ends the ballot, or aborts a change if some rank had already started the step to
// arm.
func (c *Coordinator) handleRefusal(r *Refused) []Envelope {
	if r.Ballot != c.ballot || c.round == idle {
		return nil
	}
	if r.Reason == ReasonStep && (c.round != Arming || r.LastStartedStep < c.armStep) {
		// The refusal is for an arm request of an earlier step that was delayed or duplicated.
		return nil
	}
	c.counter = max(c.counter, r.Promised.Counter)
	isAboutRankState := r.Reason == ReasonStep || r.Reason == ReasonState
	switch {
	case !isAboutRankState:
		return c.finish(OutcomeSuperseded)
	case c.round == Arming && c.armsLocalOnly && r.Reason == ReasonStep:
		c.armStep = r.LastStartedStep + 1
		return c.send()
	case c.round == Arming:
		return c.enterRound(aborting)
	case c.round == aborting, c.round == releasing:
		// The refusal is a delayed answer to an arm request.
		return nil
	}
	return c.finish(OutcomeSuperseded)
}

// advance starts the next round, once all participants have answered the current one.
func (c *Coordinator) advance() []Envelope {
	switch c.round {
	case promising:
		return c.decide()
	case fetching:
		return c.enterRound(staging)
	case staging:
		return c.afterStaging()
	case Arming:
		c.decided = c.proposedMap(c.armStep)
		return c.enterRound(Committing)
	case aborting:
		return c.enterRound(releasing)
	case releasing:
		if c.recovering && c.state.isBehind {
			return c.enterRound(Committing)
		}
		return c.finish(c.finalOutcome(OutcomeAborted))
	default:
		return c.finish(c.finalOutcome(OutcomeChanged))
	}
}

// finalOutcome returns the outcome of a ballot that has completed all its rounds: o, or
// OutcomeSettled for a recovery that left the group with the map of another ballot.
func (c *Coordinator) finalOutcome(o Outcome) Outcome {
	if c.recovering && c.decided.Installed.Version != c.ballot {
		return OutcomeSettled
	}
	return o
}

func (c *Coordinator) finish(o Outcome) []Envelope {
	c.round = idle
	c.outcome = o
	return nil
}

// enterRound starts a round and returns its requests.
func (c *Coordinator) enterRound(round Round) []Envelope {
	c.round = round
	c.armsLocalOnly = round == Arming && c.cfg.ArmAhead == 1 && c.peer(c.cfg.LocalParticipant) != nil
	c.ticks, c.transferEnd, c.lastAnswer, c.lastHeard = 0, 0, 0, 0
	for i := range c.peers {
		c.peers[i].answered, c.peers[i].needsContent = round == fetching && !c.isMapSource(&c.peers[i]), false
	}
	if round == staging {
		c.content = c.mapsToStage()
	}
	return c.send()
}

// send sends the round's request to the participants that haven't answered it.
func (c *Coordinator) send() []Envelope {
	return c.sendTo(func(p *peer) bool { return !p.answered })
}

// keepalives returns the round's request as a keepalive to all participants.
func (c *Coordinator) keepalives() []Envelope {
	out := c.sendTo(func(*peer) bool { return true })
	for i := range out {
		out[i].Message.IsKeepalive = true
	}
	return out
}

func (c *Coordinator) sendTo(include func(*peer) bool) []Envelope {
	var out []Envelope
	for i := range c.peers {
		p := &c.peers[i]
		if !include(p) || c.armsLocalOnly && p.addr != c.cfg.LocalParticipant {
			continue
		}
		out = append(out, Envelope{To: p.addr, Message: c.message(p)})
	}
	return out
}

func (c *Coordinator) message(p *peer) Message {
	b, incarnation := c.ballot, p.incarnation
	switch c.round {
	case promising:
		return Message{Promise: &Promise{Ballot: b}}
	case fetching:
		if p.answered {
			return Message{Promise: &Promise{Ballot: b}}
		}
		return Message{Promise: &Promise{Ballot: b, RequestedMaps: c.missingMaps()}}
	case staging:
		return Message{Stage: c.stageMessage(p)}
	case Arming:
		return Message{Arm: &Arm{Ballot: b, Incarnation: incarnation, Version: b, Step: c.armStep}}
	case Committing:
		return Message{Commit: &Commit{Ballot: b, Incarnation: incarnation, Current: c.decided}}
	case aborting:
		return Message{Abort: &Abort{Ballot: b, Incarnation: incarnation, Current: c.state.current.Installed.Version}}
	default:
		return Message{Release: &Release{Ballot: b, Incarnation: incarnation, Current: c.state.current.Installed.Version}}
	}
}
