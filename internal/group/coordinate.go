package group

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/expertmap"
	"github.com/sassafraspost/sassafraspost/internal/rank"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	queryTimeout = 2 * time.Second
	// DefaultArmAhead covers a round trip to all hosts at the shortest step time that has to be
	// supported.
	DefaultArmAhead = 32
)

// intent is what the next ballot should do once all members of the group are known: recover
// from an unfinished change, or make a proposal. knownMaps are further maps that can serve as
// the base of a delta.
type intent struct {
	isRecovery bool
	proposal   *expertmap.Proposal
	knownMaps  []expertmap.Map
}

// armAhead returns how many steps ahead a change should be armed. That is the first step that
// starts after the orders of the change (arm and commit) have reached all ranks. An earlier
// step would pause until then, and a later one would keep the group on the old map, and so on
// its slowest rank, for longer. If steps certainly take so long that streams are late anyway, the
// next step is armed, and the group may pause for the orders.
func (r *Runner) armAhead(now time.Time) uint64 {
	step := r.stepTimer.mean()
	if step == 0 {
		return min(r.cfg.ArmAhead+r.extraAhead, r.cfg.MaxArmAhead)
	}
	if limit := r.maxStepTime(); limit > 0 && r.stepTimer.least() >= limit {
		return 1
	}
	remaining := max(r.orderTime.upperBound()-r.stepTimer.untilNext(now), 0)
	steps := 1 + uint64((remaining+step-1)/step)
	return min(min(steps, r.cfg.ArmAhead)+r.extraAhead, r.cfg.MaxArmAhead)
}

// maxStepTime returns how long a step may take before streams are late; 0 if unknown.
func (r *Runner) maxStepTime() time.Duration {
	if r.cfg.MaxStepTime == nil {
		return 0
	}
	return r.cfg.MaxStepTime()
}

// findMembers looks up the hosts of the group in a goroutine, since that may take longer than
// Run's loop may wait. startBallot continues with the result.
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

// startBallot starts the next ballot. It does nothing unless the members found cover every rank
// of the group exactly once: a participant that is left out could be the one that has
// committed.
func (r *Runner) startBallot(members []wire.GroupMember) {
	shape := r.cfg.Shape()
	if r.coordinator != nil || shape == nil || !CoversAllRanks(members, shape.Ranks) {
		return
	}
	r.members = make(map[expertmap.Address]string, len(members))
	cfg := expertmap.Config{
		ID: r.cfg.NewID(), LastKnownBallot: r.participant.Promised(), LocalParticipant: r.address, RetryTicks: retryTicks, PausedRetryTicks: r.pausedRetryTicks(),
		KeepaliveTicks: baseRecoveryTicks / 2, DeadlineTicks: r.roundDeadline.ticks(),
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

// pausedRetryTicks returns how many ticks without any message the coordinator waits, in the rounds
// in which ranks may be paused, before it sends unanswered requests again. It is the mean time
// that the arm and commit rounds take together: if nothing arrives for that long, a message has
// probably been lost, and the connection would resend it later than that. The result never
// exceeds maxPausedRetryTicks. Otherwise rounds that were slow because they lost messages would
// make later rounds wait even longer for lost messages.
func (r *Runner) pausedRetryTicks() int {
	if r.orderTime.average() == 0 {
		return maxPausedRetryTicks
	}
	ticks := int((r.orderTime.average() + tickInterval - 1) / tickInterval)
	return min(max(ticks, minPausedRetryTicks), maxPausedRetryTicks)
}

// CoversAllRanks reports whether each of the group's ranks belongs to exactly one of the
// members.
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

// finishBallot records the result of the coordinator's ballot and removes the coordinator, if
// the ballot has ended.
func (r *Runner) finishBallot() {
	r.ballotStats.enter(r.coordinator.Round(), time.Now())
	outcome := r.coordinator.Outcome()
	if outcome == expertmap.OutcomeRunning {
		return
	}
	r.roundDeadline.record(outcome)
	r.recordRecovery(outcome)
	version := r.coordinator.CurrentMap().Installed.Version
	step := r.coordinator.ArmedStep()
	r.counters.contentResent.Inc(int64(r.coordinator.ContentResends()))
	r.counters.sentBytes.Inc(int64(r.ballotStats.bytes))
	r.counters.resentBytes.Inc(int64(r.ballotStats.resentBytes))
	r.coordinator = nil
	switch outcome {
	case expertmap.OutcomeChanged:
		if p := r.nextBallot.proposal; p != nil && !r.nextBallot.isRecovery {
			r.planner.SetMap(rank.Version(version), p.Map)
		}
		r.extraAhead -= min(r.extraAhead, 1)
		if took := r.ballotStats.orderTime(); took > 0 {
			r.orderTime.observe(took)
		}
		r.counters.changed.Inc(1)
		r.cfg.Log.Info("expert map changed", append(r.ballotStats.attrs(), "group", r.cfg.Group, "version", version.String(),
			"armed_step", step)...)
	case expertmap.OutcomeAborted:
		// Some rank had started the step before it was armed: the orders took longer than
		// estimated.
		r.extraAhead = max(2*r.extraAhead, 1)
		r.counters.aborted.Inc(1)
		r.cfg.Log.Info("change of the expert map given up", append(r.ballotStats.attrs(), "group", r.cfg.Group)...)
	case expertmap.OutcomeSettled, expertmap.OutcomeStale:
		r.counters.settled.Inc(1)
		r.logUnchanged("settled")
	case expertmap.OutcomeSuperseded:
		r.counters.superseded.Inc(1)
		r.logUnchanged("superseded")
	case expertmap.OutcomeTimedOut:
		r.counters.timedOut.Inc(1)
		r.logUnchanged("timed out")
	}
}

// reportWait logs which hosts the current ballot waits for, if it has waited for long. From the arm round on
// the group may be paused, and only an answer or another ballot ends the rounds after it.
func (r *Runner) reportWait(now time.Time) {
	if r.coordinator == nil || r.coordinator.IsStaging() {
		return
	}
	r.ballotStats.enter(r.coordinator.Round(), now)
	wait := r.ballotStats.takeWait(now)
	if wait == 0 {
		return
	}
	r.counters.waiting.Inc(1)
	level := slog.LevelInfo
	if r.coordinator.Round() >= expertmap.Arming {
		level = slog.LevelWarn
	}
	var hosts []string
	for _, rank := range r.coordinator.Unanswered() {
		hosts = append(hosts, r.members[rank])
	}
	r.cfg.Log.Log(context.Background(), level, "change of the expert map waits for hosts", "group", r.cfg.Group,
		"round", r.coordinator.Round().String(), "hosts", hosts, "ms", wait.Milliseconds())
}

// recordRecovery sets the delay of this host's next recovery.
func (r *Runner) recordRecovery(o expertmap.Outcome) {
	isFailed := o == expertmap.OutcomeSuperseded || o == expertmap.OutcomeTimedOut
	switch {
	case !isFailed:
		r.failedRecoveries = 0
	case r.nextBallot.isRecovery:
		r.failedRecoveries++
	}
	r.participant.SetRecoveryTicks(recoveryTicks(r.cfg.FirstRank, r.failedRecoveries))
}

// logUnchanged logs the end of a ballot that neither made nor aborted a change.
func (r *Runner) logUnchanged(outcome string) {
	r.cfg.Log.Debug("ballot ended without a change", append(r.ballotStats.attrs(), "group", r.cfg.Group,
		"outcome", outcome, "recovery", r.nextBallot.isRecovery)...)
}

// InitialMap returns the map that is proposed to a group whose ranks have none. It assigns the
// experts to the slots round-robin and fills the spare slots with replicas.
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
