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
	gatherTimeout = 2 * time.Second
	// DefaultArmAhead covers a round trip to all hosts at the shortest steps of the target.
	DefaultArmAhead = 32
)

// intent is what a coordinator is to begin with once all members are known.
type intent struct {
	isRecovery bool
	proposal   *expertmap.Proposal
	known      []expertmap.Map
}

// ahead is how many steps ahead a change is armed: the first that begins once the round
// of orders is over, since until then all wait for the slowest rank of the old map. Where
// a step takes so long that its streams are late anyway, it is the next one, and the
// group may wait for the round.
func (r *Runner) ahead(now time.Time) uint64 {
	step := r.pace.mean()
	if step == 0 {
		return min(r.cfg.ArmAhead+r.extra, r.cfg.MaxArmAhead)
	}
	if late := r.lateStep(); late > 0 && step >= late {
		return 1
	}
	short := max(r.orders.expect()-r.pace.toNext(now), 0)
	steps := 1 + uint64((short+step-1)/step)
	return min(min(steps, r.cfg.ArmAhead)+r.extra, r.cfg.MaxArmAhead)
}

// lateStep is how long a step may take without its streams being late, 0 if unknown.
func (r *Runner) lateStep() time.Duration {
	if r.cfg.MaxStepTime == nil {
		return 0
	}
	return r.cfg.MaxStepTime()
}

// gather asks the directory for the group's hosts, beside the loop.
func (r *Runner) gather(ctx context.Context, want intent) {
	if r.isGathering {
		return
	}
	r.isGathering = true
	r.want = want
	go func() {
		ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
		defer cancel()
		members, _ := r.cfg.Members(ctx)
		r.ready <- members
	}()
}

// begin starts a ballot, unless the hosts found are not exactly all ranks of the
// group: a participant left out could be the one that has committed.
func (r *Runner) begin(members []wire.GroupMember) {
	shape := r.cfg.Shape()
	if r.coordinator != nil || shape == nil || !CoversAllRanks(members, shape.Ranks) {
		return
	}
	r.members = make(map[expertmap.Address]string, len(members))
	cfg := expertmap.Config{
		ID: r.cfg.NewID(), LastKnownBallot: r.participant.Promised(), LocalParticipant: r.address, RetryTicks: retryTicks, PausedRetryTicks: r.heldTicks(),
		KeepaliveTicks: basePatience / 2,
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
	r.rounds = rounds{}
	proposal := r.want.proposal
	if r.want.isRecovery {
		proposal = &expertmap.Proposal{Map: InitialMap(shape)}
	}
	known := r.want.known
	if proposal != nil {
		if base, ok := r.participant.Map(proposal.Base); ok {
			known = append(known, base)
		}
		if first := r.cfg.Initial; proposal.Base != first.Version && len(first.Layers) > 0 {
			known = append(known, first)
		}
	}
	r.send(c.Start(proposal, known...), false)
	r.rounds.enter(c.Round(), time.Now())
}

// heldTicks is how many ticks the coordinator waits, while ranks may hold, before it asks
// those again that have not answered: as long as both rounds of orders of a change take on
// the mean. One round is then late, by a message that was lost, and its connection repeats
// it later than this. It is never longer than where nothing is known: rounds that were long
// since messages were lost in them must not make the next ones wait longer.
func (r *Runner) heldTicks() int {
	if r.orders.usual() == 0 {
		return retryTicks
	}
	usual := int((r.orders.usual() + tickInterval - 1) / tickInterval)
	return min(max(usual, leastHeld), retryTicks)
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

// conclude drops a coordinator whose ballot has ended.
func (r *Runner) conclude() {
	r.rounds.enter(r.coordinator.Round(), time.Now())
	outcome := r.coordinator.Outcome()
	if outcome == expertmap.OutcomeRunning {
		return
	}
	version := r.coordinator.CurrentMap().Installed.Version
	step := r.coordinator.ArmedStep()
	r.counters.again.Inc(int64(r.coordinator.ContentResends()))
	r.counters.sent.Inc(int64(r.rounds.bytes))
	r.counters.repeated.Inc(int64(r.rounds.repeated))
	r.coordinator = nil
	switch outcome {
	case expertmap.OutcomeChanged:
		if p := r.want.proposal; p != nil && !r.want.isRecovery {
			r.planner.Adopt(rank.Version(version), p.Map)
		}
		r.extra -= min(r.extra, 1)
		if took := r.rounds.orders(); took > 0 {
			r.orders.observe(took)
		}
		r.counters.changed.Inc(1)
		r.cfg.Log.Info("expert map changed", append(r.rounds.attrs(), "group", r.cfg.Group, "version", version.String(),
			"armed_step", step)...)
	case expertmap.OutcomeAborted:
		// Some rank began the step before it was armed: orders take longer than thought.
		r.extra = max(2*r.extra, 1)
		r.counters.aborted.Inc(1)
		r.cfg.Log.Info("change of the expert map given up", append(r.rounds.attrs(), "group", r.cfg.Group)...)
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
