package group

import (
	"context"
	"slices"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/expertmap"
	"github.com/sassafraspost/sassafraspost/internal/rank"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	queryTimeout = 2 * time.Second
	// DefaultArmAhead covers a round trip to all hosts at the shortest steps of the target.
	DefaultArmAhead = 32
)

// intent is what a coordinator is to begin with once all members are known.
type intent struct {
	isRecovery bool
	proposal   *expertmap.Proposal
	knownMaps  []expertmap.Map
}

// armAhead is how many steps ahead a change is armed: the first that begins once the round
// of orders is over, since until then all wait for the slowest rank of the old map. Where
// a step takes so long that its streams are late anyway, it is the next one, and the
// group may wait for the round.
func (r *Runner) armAhead(now time.Time) uint64 {
	step := r.stepTimer.mean()
	if step == 0 {
		return min(r.cfg.ArmAhead+r.extraAhead, r.cfg.MaxArmAhead)
	}
	if limit := r.maxStepTime(); limit > 0 && step >= limit {
		return 1
	}
	remaining := max(r.orderTime.upperBound()-r.stepTimer.untilNext(now), 0)
	steps := 1 + uint64((remaining+step-1)/step)
	return min(min(steps, r.cfg.ArmAhead)+r.extraAhead, r.cfg.MaxArmAhead)
}

// maxStepTime is how long a step may take without its streams being late, 0 if unknown.
func (r *Runner) maxStepTime() time.Duration {
	if r.cfg.MaxStepTime == nil {
		return 0
	}
	return r.cfg.MaxStepTime()
}

// findMembers asks the directory for the group's hosts, beside the loop.
func (r *Runner) findMembers(ctx context.Context, next intent) {
	if r.isFindingMembers {
		return
	}
	r.isFindingMembers = true
	r.nextBallot = next
	go func() {
		ctx, cancel := context.WithTimeout(ctx, queryTimeout)
		defer cancel()
		members, _ := r.cfg.Members(ctx)
		r.membersFound <- members
	}()
}

// startBallot starts a ballot, unless the hosts found are not exactly all ranks of the
// group: a participant left out could be the one that has committed.
func (r *Runner) startBallot(members []wire.GroupMember) {
	shape := r.cfg.Shape()
	if r.coordinator != nil || shape == nil || !CoversAllRanks(members, shape.Ranks) {
		return
	}
	r.members = make(map[expertmap.Address]string, len(members))
	cfg := expertmap.Config{
		ID: r.cfg.NewID(), LastKnownBallot: r.participant.Promised(), LocalParticipant: r.address, RetryTicks: retryTicks, PausedRetryTicks: r.pausedRetryTicks(),
		KeepaliveTicks: baseRecoveryTicks / 2,
	}
	if r.cfg.Start != nil {
		cfg.LastKnownBallot.Counter = max(cfg.LastKnownBallot.Counter, r.cfg.Start())
	}
	for _, m := range members {
		r.members[expertmap.Address(m.FirstRank)] = m.Address
		cfg.Participants = append(cfg.Participants, expertmap.Address(m.FirstRank))
	}
	c, err := expertmap.NewCoordinator(cfg)
	if err != nil {
		return
	}
	r.coordinator = c
	r.ballotStats = ballotStats{}
	proposal := r.nextBallot.proposal
	if r.nextBallot.isRecovery {
		proposal = &expertmap.Proposal{Map: InitialMap(shape)}
	}
	knownMaps := r.nextBallot.knownMaps
	if proposal != nil {
		if base, ok := r.participant.Map(proposal.Base); ok {
			knownMaps = append(knownMaps, base)
		}
		if initial := r.cfg.Initial; proposal.Base != initial.Version && len(initial.Layers) > 0 {
			knownMaps = append(knownMaps, initial)
		}
	}
	r.send(c.Start(proposal, knownMaps...), false)
	r.ballotStats.enter(c.Round(), time.Now())
}

// pausedRetryTicks is how many ticks the coordinator waits, while ranks may hold, before it asks
// those again that have not answered: as long as both rounds of orders of a change take on
// the mean. One round is then late, by a message that was lost, and its connection repeats
// it later than this. It is never longer than where nothing is known: rounds that were long
// since messages were lost in them must not make the next ones wait longer.
func (r *Runner) pausedRetryTicks() int {
	if r.orderTime.average() == 0 {
		return retryTicks
	}
	ticks := int((r.orderTime.average() + tickInterval - 1) / tickInterval)
	return min(max(ticks, minPausedRetryTicks), retryTicks)
}

// CoversAllRanks reports whether the members hold each rank of a group once.
func CoversAllRanks(members []wire.GroupMember, ranks uint32) bool {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b wire.GroupMember) int { return int(a.FirstRank) - int(b.FirstRank) })
	next := uint32(0)
	for _, m := range sorted {
		if m.FirstRank != next || m.Ranks == 0 {
			return false
		}
		next += m.Ranks
	}
	return next == ranks && ranks > 0
}

// finishBallot drops a coordinator whose ballot has ended.
func (r *Runner) finishBallot() {
	r.ballotStats.enter(r.coordinator.Round(), time.Now())
	outcome := r.coordinator.Outcome()
	if outcome == expertmap.OutcomeRunning {
		return
	}
	version := r.coordinator.CurrentMap().Installed.Version
	step := r.coordinator.ArmedStep()
	r.counters.contentResent.Inc(int64(r.coordinator.ContentResends()))
	r.counters.sentBytes.Inc(int64(r.ballotStats.bytes))
	r.counters.resentBytes.Inc(int64(r.ballotStats.resentBytes))
	r.coordinator = nil
	switch outcome {
	case expertmap.OutcomeChanged:
		if p := r.nextBallot.proposal; p != nil && !r.nextBallot.isRecovery {
			r.planner.Adopt(rank.Version(version), p.Map)
		}
		r.extraAhead -= min(r.extraAhead, 1)
		if took := r.ballotStats.orderTime(); took > 0 {
			r.orderTime.observe(took)
		}
		r.counters.changed.Inc(1)
		r.cfg.Log.Info("expert map changed", append(r.ballotStats.attrs(), "group", r.cfg.Group, "version", version.String(),
			"armed_step", step)...)
	case expertmap.OutcomeAborted:
		// Some rank began the step before it was armed: orders take longer than thought.
		r.extraAhead = max(2*r.extraAhead, 1)
		r.counters.aborted.Inc(1)
		r.cfg.Log.Info("change of the expert map given up", append(r.ballotStats.attrs(), "group", r.cfg.Group)...)
	case expertmap.OutcomeSettled, expertmap.OutcomeStale:
		r.counters.settled.Inc(1)
	case expertmap.OutcomeSuperseded:
		r.counters.superseded.Inc(1)
	case expertmap.OutcomeTimedOut:
		r.counters.timedOut.Inc(1)
	}
}

// InitialMap places the experts of a new group in turn, spare slots included.
func InitialMap(shape *wire.GroupShape) expertmap.Map {
	m := expertmap.Map{SlotsPerRank: int(shape.SlotsPerRank)}
	slots := int(shape.Ranks * shape.SlotsPerRank)
	for range shape.Layers {
		layer := make([]uint16, slots)
		for s := range layer {
			layer[s] = uint16(s % int(shape.Experts))
		}
		m.Layers = append(m.Layers, layer)
	}
	return m
}
