package expertmap

import (
	"math/bits"
	"slices"

	"github.com/pkg/errors"
)

// Outcome is how a coordinator's ballot ended.
type Outcome uint8

const (
	// OutcomeRunning means that the ballot hasn't ended.
	OutcomeRunning Outcome = iota
	// OutcomeChanged means that all ranks have committed the proposed map.
	OutcomeChanged
	// OutcomeSettled means that nothing is open any more and the proposal, if any,
	// wasn't tried; it may be proposed again.
	OutcomeSettled
	// OutcomeAborted means that the proposal was given up and no rank is armed.
	OutcomeAborted
	// OutcomeStale means that the proposal was made for another map than the present.
	OutcomeStale
	// OutcomeSuperseded means that another ballot, or a participant's restart, ended
	// this one. What the ballot has begun is left to the next ballot.
	OutcomeSuperseded
	// OutcomeTimedOut means that some participant didn't answer before anything was
	// armed.
	OutcomeTimedOut
)

// Config holds a coordinator's parameters.
type Config struct {
	// ID must be unique for each start of a coordinator; see [Ballot].
	ID uint64
	// Participants are all participants of the group. One left out breaks the
	// protocol's safety.
	Participants []Address
	// LastKnownBallot is the highest ballot that the agent knows of; its own participant's
	// promise saves a refused first attempt. Default zero.
	LastKnownBallot Ballot
	// RetryTicks is the number of ticks after which a message without an answer
	// is sent again. Default 1.
	RetryTicks int
	// PausedRetryTicks is the same in the rounds in which ranks may hold, from arming on. Default
	// RetryTicks.
	PausedRetryTicks int
	// KeepaliveTicks is the number of ticks of a round after which all participants are asked
	// again, those that have answered too. They may hold, and start a recovery of their own
	// once they have heard nothing for their patience, which supersedes the ballot that they
	// wait for: it has to be well below that. Default 20.
	KeepaliveTicks int
	// DeadlineTicks is the number of ticks after which a round that hasn't been
	// answered by all is given up. It doesn't apply to commit, abort and release, which
	// go on until answered or superseded. Default 50.
	DeadlineTicks int
	// ArmAhead is the number of steps between the last started step and the
	// armed one; it should cover a round trip to all participants. Default 16. With
	// one, Own is armed before the others are asked: see [Coordinator.SetArmAhead].
	ArmAhead uint64
	// LocalParticipant is the participant on the coordinator's host, which it reaches at once.
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

// Proposal is a map to change to.
type Proposal struct {
	// Base is the version that the map was planned on; zero for the first map.
	Base Version
	// Map is the new map. Its version is set by the coordinator.
	Map Map
}

// Round is the round of messages that a coordinator is in.
type Round uint8

const (
	idle Round = iota
	promising
	fetching
	staging
	// Arming and Committing are the rounds in which ranks may hold.
	Arming
	Committing
	aborting
	releasing
	// RoundCount is how many there are.
	RoundCount
)

// roundNames are the names used in logs.
var roundNames = [RoundCount]string{"idle", "promise", "fetch", "stage", "arm", "commit", "abort", "release"}

// String returns the form used in logs.
func (r Round) String() string { return roundNames[r] }

// peer is what a coordinator knows of one participant in its ballot.
type peer struct {
	addr        Address
	incarnation uint64
	ranks       []Status
	step        uint64
	answered    bool
	// known are the maps whose content it knows.
	known []Version
	// lacks: it has asked for the content of the maps to stage.
	lacks bool
}

// Coordinator runs one ballot at a time, for a change or for recovery. It
// isn't safe for concurrent use. Any number of coordinators may run at once.
type Coordinator struct {
	cfg     Config
	counter uint64
	ballot  Ballot
	phase   Round
	outcome Outcome
	ticks   int

	proposal *Proposal
	peers    []peer
	maps     []Map
	// delta is the proposal as its difference from a map that is known, nil where none is;
	// content are the maps that are staged.
	delta   *Delta
	content []Map
	found   finding
	// decided is the map to commit, once known.
	decided CurrentMap
	// recovering: this ballot closes what another one left open.
	recovering bool
	armStep    uint64
	// alone: only Own has been asked to arm so far.
	alone bool
	// onWay is the tick of the round by which its content has reached everyone.
	onWay int
	// again counts the content sent again in this ballot.
	again int
}

// NewCoordinator returns an idle coordinator.
func NewCoordinator(cfg Config) (*Coordinator, error) {
	if cfg.ID == 0 || len(cfg.Participants) == 0 {
		return nil, errors.New("a coordinator needs an ID and participants")
	}
	return &Coordinator{cfg: cfg.withDefaults(), counter: cfg.LastKnownBallot.Counter}, nil
}

// Start takes a new ballot, with a proposal or (nil) only to settle what is
// open. Known are maps whose content is known here: participants that know one of them too,
// that which the proposal was planned on before others, get the difference only. Start
// gives up a running ballot, which is safe at any point.
func (c *Coordinator) Start(p *Proposal, known ...Map) []Envelope {
	c.counter++
	c.ballot = Ballot{Counter: c.counter, Coordinator: c.cfg.ID}
	c.proposal = p
	c.maps = slices.Clone(known)
	c.prepare()
	c.outcome = OutcomeRunning
	c.recovering = false
	c.again = 0
	c.peers = c.peers[:0]
	for _, a := range c.cfg.Participants {
		c.peers = append(c.peers, peer{addr: a})
	}
	return c.enter(promising)
}

// SetArmAhead changes how many steps ahead a change is armed, from the next time on. One
// is the very next step: it may begin before the round of messages ends, so Own alone is
// armed at first, and the group waits for it before that step. If the step has begun, Own
// is asked for the next one; no other participant knows of a step by then.
func (c *Coordinator) SetArmAhead(steps uint64) { c.cfg.ArmAhead = max(steps, 1) }

// Round returns the round that the coordinator is in.
func (c *Coordinator) Round() Round { return c.phase }

// ArmedStep returns the step at which the last change was armed, 0 before the first.
func (c *Coordinator) ArmedStep() uint64 { return c.armStep }

// Outcome returns how the ballot ended, or OutcomeRunning.
func (c *Coordinator) Outcome() Outcome { return c.outcome }

// Ballot returns the present or last ballot; it is also the proposal's version.
func (c *Coordinator) Ballot() Ballot { return c.ballot }

// CurrentMap returns the map that the group was found or decided to use.
func (c *Coordinator) CurrentMap() CurrentMap { return c.decided }

// Tick sends again what hasn't been answered and gives up at the deadline.
func (c *Coordinator) Tick() []Envelope {
	if c.phase == idle {
		return nil
	}
	c.ticks++
	if c.ticks >= c.cfg.DeadlineTicks+c.onWay && c.phase < Committing {
		return c.giveUp()
	}
	if c.isHeard() {
		return c.sendAll()
	}
	if !c.isDue() {
		return nil
	}
	return c.send()
}

// isHeard reports whether it is time that all hear of the ballot. Nobody waits for one that
// loads the weights of a change.
func (c *Coordinator) isHeard() bool {
	if c.phase == staging && !c.recovering {
		return false
	}
	since := c.ticks - c.onWay
	return since > 0 && since%c.cfg.KeepaliveTicks == 0
}

// isDue reports whether it is time to send again what wasn't answered. While weights are
// loaded, each time takes twice as long as the one before: loading takes what it takes, and
// asking does not speed it up.
func (c *Coordinator) isDue() bool {
	since, every := c.ticks-c.onWay, c.cfg.RetryTicks
	if c.phase >= Arming {
		every = c.cfg.PausedRetryTicks
	}
	if since <= 0 || since%every != 0 {
		return false
	}
	return c.phase != staging || bits.OnesCount(uint(since/every)) == 1
}

// isRepeated reports whether the round's requests have been sent before.
func (c *Coordinator) isRepeated() bool { return c.ticks > 0 }

// giveUp ends a round that wasn't answered by all. After arming it must abort:
// this ballot has sent no commit, and the participants refuse lower ones.
func (c *Coordinator) giveUp() []Envelope {
	if c.phase == Arming {
		return c.enter(aborting)
	}
	return c.finish(OutcomeTimedOut)
}

// Step takes an answer of a participant.
func (c *Coordinator) Step(from Address, m Message) []Envelope {
	p := c.peer(from)
	if m.Refused != nil && m.Refused.Reason == ReasonContent {
		return c.lacking(p, m.Refused)
	}
	if m.Refused != nil {
		return c.refused(m.Refused)
	}
	if p == nil || p.answered || !c.take(p, m) {
		return nil
	}
	p.answered = true
	if c.alone {
		c.alone = false
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

// take reports whether the message answers the present round, and keeps what it
// says. The incarnation is taken once a ballot, from the promise.
func (c *Coordinator) take(p *peer, m Message) bool {
	switch {
	case c.phase == promising && m.Promised != nil && m.Promised.Ballot == c.ballot && !m.Promised.HasRequestedMaps:
		p.incarnation = m.Promised.Incarnation
		p.ranks = m.Promised.Ranks
		p.known = m.Promised.KnownMaps
		return true
	case c.phase == fetching && m.Promised != nil && m.Promised.Ballot == c.ballot && m.Promised.HasRequestedMaps:
		c.learn(m.Promised.Maps)
		return true
	case c.phase == staging && m.Staged != nil:
		p.step = m.Staged.Step
		return m.Staged.Ballot == c.ballot
	case c.phase == Arming && m.Armed != nil:
		return m.Armed.Ballot == c.ballot && m.Armed.Step == c.armStep
	case c.phase == Committing && m.Committed != nil:
		return m.Committed.Ballot == c.ballot
	case c.phase == aborting && m.Aborted != nil:
		return m.Aborted.Ballot == c.ballot
	case c.phase == releasing && m.Released != nil:
		return m.Released.Ballot == c.ballot
	}
	return false
}

// refused ends the ballot, or aborts a change armed too late.
func (c *Coordinator) refused(r *Refused) []Envelope {
	if r.Ballot != c.ballot || c.phase == idle {
		return nil
	}
	if r.Reason == ReasonStep && (c.phase != Arming || r.LastStartedStep < c.armStep) {
		// An arm at an earlier step came late, or twice.
		return nil
	}
	c.counter = max(c.counter, r.Promised.Counter)
	late := r.Reason == ReasonStep || r.Reason == ReasonState
	switch {
	case !late:
		return c.finish(OutcomeSuperseded)
	case c.phase == Arming && c.alone && r.Reason == ReasonStep:
		c.armStep = r.LastStartedStep + 1
		return c.send()
	case c.phase == Arming:
		return c.enter(aborting)
	case c.phase == aborting, c.phase == releasing:
		// A late answer to an arm.
		return nil
	}
	return c.finish(OutcomeSuperseded)
}

// advance goes to the next round after all have answered.
func (c *Coordinator) advance() []Envelope {
	switch c.phase {
	case promising:
		return c.resolve()
	case fetching:
		return c.enter(staging)
	case staging:
		return c.staged()
	case Arming:
		c.decided = c.proposed(c.armStep)
		return c.enter(Committing)
	case aborting:
		return c.enter(releasing)
	case releasing:
		if c.recovering && c.found.behind {
			return c.enter(Committing)
		}
		return c.finish(c.ended(OutcomeAborted))
	default:
		return c.finish(c.ended(OutcomeChanged))
	}
}

// ended returns the outcome of a ballot that has done all rounds.
func (c *Coordinator) ended(o Outcome) Outcome {
	if c.recovering && c.decided.Installed.Version != c.ballot {
		return OutcomeSettled
	}
	return o
}

func (c *Coordinator) finish(o Outcome) []Envelope {
	c.phase = idle
	c.outcome = o
	return nil
}

// enter begins a round.
func (c *Coordinator) enter(p Round) []Envelope {
	c.phase = p
	c.alone = p == Arming && c.cfg.ArmAhead == 1 && c.peer(c.cfg.LocalParticipant) != nil
	c.ticks, c.onWay = 0, 0
	for i := range c.peers {
		c.peers[i].answered, c.peers[i].lacks = p == fetching && !c.isSource(&c.peers[i]), false
	}
	if p == staging {
		c.content = c.toStage()
	}
	return c.send()
}

// send asks everyone who hasn't answered the present round.
func (c *Coordinator) send() []Envelope {
	return c.ask(func(p *peer) bool { return !p.answered })
}

// sendAll asks everyone, whether they have answered or not.
func (c *Coordinator) sendAll() []Envelope {
	return c.ask(func(*peer) bool { return true })
}

func (c *Coordinator) ask(isAsked func(*peer) bool) []Envelope {
	var out []Envelope
	for i := range c.peers {
		p := &c.peers[i]
		if !isAsked(p) || c.alone && p.addr != c.cfg.LocalParticipant {
			continue
		}
		out = append(out, Envelope{To: p.addr, Message: c.message(p)})
	}
	return out
}

func (c *Coordinator) message(p *peer) Message {
	b, inc := c.ballot, p.incarnation
	switch c.phase {
	case promising:
		return Message{Promise: &Promise{Ballot: b}}
	case fetching:
		if p.answered {
			return Message{Promise: &Promise{Ballot: b}}
		}
		return Message{Promise: &Promise{Ballot: b, RequestedMaps: c.wanted()}}
	case staging:
		return Message{Stage: c.stage(p)}
	case Arming:
		return Message{Arm: &Arm{Ballot: b, Incarnation: inc, Version: b, Step: c.armStep}}
	case Committing:
		return Message{Commit: &Commit{Ballot: b, Incarnation: inc, Current: c.decided}}
	case aborting:
		return Message{Abort: &Abort{Ballot: b, Incarnation: inc, Current: c.found.present.Installed.Version}}
	default:
		return Message{Release: &Release{Ballot: b, Incarnation: inc, Current: c.found.present.Installed.Version}}
	}
}
