// Package group runs an agent's part in its group of ranks. Every agent runs the participant of
// the expert map protocol that acts for the ranks of its host. The agent of the first rank also
// plans changes of the expert map. An agent runs a coordinator when it has a change to make or
// an unfinished one to recover from.
//
// The decisions are made by packages expertmap and planner. This package passes messages,
// engine states and ticks to them, one at a time, from one goroutine.
package group

import (
	"context"
	"log/slog"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/expertmap"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/placement"
	"github.com/sassafraspost/sassafraspost/internal/planner"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// tickInterval is the length of a tick of the participant and the coordinator. The state of
	// the engines is read once per tick, for example whether they have loaded the experts of a
	// map.
	tickInterval = 25 * time.Millisecond
	// retryTicks is how many ticks a coordinator waits for an answer before it sends a request
	// again. Live sessions lose no messages and participants answer as soon as they can, so an
	// earlier retry would only load the links.
	retryTicks = 8
	// minPausedRetryTicks is the lower limit of the interval, in ticks, at which requests are
	// sent again while ranks may be paused. The ticks of two hosts aren't aligned, so on each
	// of them up to one tick may pass unused.
	minPausedRetryTicks = 3
	// maxPausedRetryTicks is the upper limit of that interval. Participants answer at once, so
	// some answer arrives sooner unless all are lost.
	maxPausedRetryTicks = 4
	// baseRecoveryTicks is the recovery delay: how many ticks a participant waits to hear from
	// a coordinator before it starts a recovery.
	baseRecoveryTicks = 40
	// recoverySpacingTicks is added to the recovery delay for each rank before the host's first
	// one, so that a host hears of a recovery before its own is due. A recovery that begins
	// while another one runs ends that one.
	recoverySpacingTicks = retryTicks
	// maxRecoveryDoublings limits how often the recovery delay of a host is doubled.
	maxRecoveryDoublings = 5
	// firstHostRecoveryTicks is the recovery delay of the first rank's host. This host
	// coordinates all changes. If it finds an unfinished change and has no coordinator itself,
	// its previous process left the change behind, and no other host is working on it.
	firstHostRecoveryTicks = 4
	inboxLength            = 1024
	// DefaultPlanInterval is the default of Config.PlanInterval.
	DefaultPlanInterval = 10 * time.Second
)

// Rank is the engine of one rank of this host.
type Rank interface {
	expertmap.Engine
	// Load returns what the rank has measured since the last call.
	Load(ctx context.Context) (wire.RankLoad, error)
}

// Config holds the parameters of a Runner.
type Config struct {
	// Group is the name of the group, and FirstRank the lowest rank of this host.
	Group     string
	FirstRank uint32
	// Ranks lists the engines of this host, starting with that of FirstRank.
	Ranks []Rank
	Pool  *peer.Pool
	// Members looks up the hosts of the group.
	Members func(ctx context.Context) ([]wire.GroupMember, error)
	// PlanningHost returns the address of the first rank's host, which plans. If nil, the host
	// is looked up with Members.
	PlanningHost func(ctx context.Context) (string, bool)
	// Shape returns the group's shape according to the current configuration document, or nil
	// if the document doesn't define the group.
	Shape func() *wire.GroupShape
	// Initial is the map that the group starts with, if all hosts know it by a common rule.
	// Otherwise it has no content.
	Initial expertmap.Map
	// LinkRate is the bandwidth of the host's link, in bytes per second; 0 if unknown.
	LinkRate float64
	// NewID returns a number that no other start of any host has been given.
	NewID func() uint64
	// Load is the popularity of the experts known from an earlier epoch of the group, as
	// Runner.Load returned it; nil if unknown.
	Load placement.Load
	// Start returns a ballot counter that is higher than those of all earlier coordinators, as
	// far as this host can tell. Optional.
	Start        func() uint64
	PlanInterval time.Duration
	// ArmAhead is the maximum number of steps ahead for which a change is armed; see
	// Runner.armAhead. Default DefaultArmAhead.
	ArmAhead uint64
	// MaxArmAhead replaces ArmAhead as the maximum after changes were aborted because a rank
	// had started the step before it was armed. Default ArmAhead.
	MaxArmAhead uint64
	// MaxStepTime returns how long a step may take before streams are late; 0 if unknown.
	// Optional.
	MaxStepTime func() time.Duration
	Log         *slog.Logger
	Metrics     metrics.Registry
}

// inbound is a message to the participant or coordinator of this host.
type inbound struct {
	// replyRoute tells where the reply goes. It is zero if the sender is on this host.
	replyRoute
	from    expertmap.Address
	isReply bool
	message expertmap.Message
	// relay is the received request, which lists the hosts to relay it to. It is nil for
	// replies and for messages within this host.
	relay *wire.MapRequest
}

// statuses holds the states of all engines of this host, or the error of the first engine that
// couldn't be read.
type statuses struct {
	ranks []expertmap.Status
	err   error
}

// Runner runs an agent's part in its group. Only the goroutine of Run accesses the fields after
// membersFound, except those with a lock of their own.
type Runner struct {
	cfg      Config
	address  expertmap.Address
	counters counters

	inbox        chan inbound
	loads        chan receivedReport
	executed     chan statuses
	polled       chan statuses
	membersFound chan []wire.GroupMember

	participant *expertmap.Participant
	// replyRoute holds the way back to each coordinator that has sent a request.
	replyRoute  map[expertmap.Address]replyRoute
	isExecuting bool
	isPolling   bool
	ranks       []expertmap.Status

	coordinator      *expertmap.Coordinator
	members          map[expertmap.Address]string
	isFindingMembers bool
	nextBallot       intent
	roundDeadline    roundDeadline
	// failedRecoveries counts the recoveries of this host that have failed in a row.
	failedRecoveries int
	// stepTimer measures the step time. extraAhead is the number of steps that are added to
	// armAhead because changes were aborted.
	stepTimer  stepTimer
	extraAhead uint64
	// orderTime estimates the time from the first arm order until all ranks have committed.
	orderTime roundTripEstimator
	// ballotStats measures the coordinator's current ballot, and pauseMeter how long changes
	// pause the ranks.
	ballotStats ballotStats
	pauseMeter  pauseMeter
	planner     *planner.Planner
	// watch monitors the session with the planning host, and reporter decides when a report is
	// sent to that host and what it contains.
	watch    sessionWatch
	reporter reporter
}

type counters struct {
	changed, aborted, settled, superseded, timedOut, dropped, unreadLoads metrics.Counter
	// waiting counts the rounds of ballots that waited for waitReportDelay.
	waiting metrics.Counter
	// contentSent counts participants to which this host's coordinator sent map content, and
	// contentResent those to which it sent content again because they lacked it. relayed counts
	// requests that this host relayed for coordinators of other hosts.
	contentSent, contentResent, relayed metrics.Counter
	// sentBytes counts the bytes that this host's ballots sent for the first time, and
	// resentBytes those that they sent again.
	sentBytes, resentBytes metrics.Counter
}

func newCounters(reg metrics.Registry) counters {
	get := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("group."+name, reg) }
	return counters{
		changed: get("changes.made"), aborted: get("changes.aborted"), settled: get("ballots.settled"),
		superseded: get("ballots.superseded"), timedOut: get("ballots.timed-out"), waiting: get("ballots.waiting"), dropped: get("messages.dropped"),
		unreadLoads: get("loads.unread"), contentSent: get("content.sent"), contentResent: get("content.sent-again"), relayed: get("requests.passed-on"),
		sentBytes: get("ballots.sent-bytes"), resentBytes: get("ballots.repeated-bytes"),
	}
}

// New returns a Runner. Call Run to start it.
func New(cfg Config) *Runner {
	if cfg.ArmAhead == 0 {
		cfg.ArmAhead = DefaultArmAhead
	}
	cfg.MaxArmAhead = max(cfg.MaxArmAhead, cfg.ArmAhead)
	if cfg.PlanInterval <= 0 {
		cfg.PlanInterval = DefaultPlanInterval
	}
	return &Runner{
		cfg:          cfg,
		address:      expertmap.Address(cfg.FirstRank),
		counters:     newCounters(cfg.Metrics),
		inbox:        make(chan inbound, inboxLength),
		loads:        make(chan receivedReport, inboxLength),
		executed:     make(chan statuses, 1),
		polled:       make(chan statuses, 1),
		membersFound: make(chan []wire.GroupMember, 1),
		participant:  expertmap.NewParticipant(cfg.NewID(), recoveryTicks(cfg.FirstRank, 0), cfg.Initial),
		replyRoute:   make(map[expertmap.Address]replyRoute),
		planner:      planner.New(cfg.Load),
		pauseMeter:   pauseMeter{pausedMS: metrics.GetOrRegisterCounter("group.held-ms", cfg.Metrics)},
	}
}

// recoveryTicks returns the recovery delay of the host with the given first rank, in ticks. For all
// hosts but the first it doubles with each recovery of theirs that has failed in a row: another
// host's recovery may need longer than the delay, and each new one ends it.
func recoveryTicks(firstRank uint32, failures int) int {
	if firstRank == 0 {
		return firstHostRecoveryTicks
	}
	return (baseRecoveryTicks + recoverySpacingTicks*int(firstRank)) << min(failures, maxRecoveryDoublings)
}

// HandlePeer handles a message of another host and returns false if it isn't a message for this
// package. It never blocks. If a queue is full, it drops the message; the sender sends requests
// again that get no answer.
func (r *Runner) HandlePeer(s *peer.Session, call uint64, m wire.Message) bool {
	switch m := m.(type) {
	case *wire.MapRequest:
		r.receiveRequest(s, m)
	case *wire.MapReply:
		r.receiveReply(m)
	case *wire.GroupQuery:
		r.answerQuery(s, call, m)
	case *wire.ExpertsWanted:
		r.resendExperts(s, m)
	case *wire.ExpertLoad:
		if m.Group != r.cfg.Group {
			return true
		}
		select {
		case r.loads <- receivedReport{ExpertLoad: m, from: s}:
		default:
			r.counters.dropped.Inc(1)
		}
	default:
		return false
	}
	return true
}

// LocalMembers returns the ranks of this host. The address is left empty.
func (r *Runner) LocalMembers() []wire.GroupMember {
	return []wire.GroupMember{{FirstRank: r.cfg.FirstRank, Ranks: uint32(len(r.cfg.Ranks))}}
}

// answerQuery answers which ranks of the group this host has.
func (r *Runner) answerQuery(s *peer.Session, call uint64, m *wire.GroupQuery) {
	answer := &wire.GroupAnswer{}
	if m.Group == r.cfg.Group {
		answer.Members = r.LocalMembers()
	}
	_ = s.Reply(call, answer)
}

// receiveRequest queues a request of another host's coordinator.
func (r *Runner) receiveRequest(s *peer.Session, m *wire.MapRequest) {
	in := inbound{replyRoute: replyRoute{session: s, coordinator: m.CoordinatorAddress}, from: expertmap.Address(m.From), relay: m}
	if m.Group != r.cfg.Group || wire.Unmarshal(m.Data, &in.message) != nil {
		r.counters.dropped.Inc(1)
		return
	}
	in.message = in.message.WithIncarnation(m.Incarnation)
	r.enqueue(in)
}

func (r *Runner) receiveReply(m *wire.MapReply) {
	in := inbound{from: expertmap.Address(m.From), isReply: true}
	if m.Group != r.cfg.Group || wire.Unmarshal(m.Data, &in.message) != nil {
		r.counters.dropped.Inc(1)
		return
	}
	r.enqueue(in)
}

func (r *Runner) enqueue(in inbound) {
	select {
	case r.inbox <- in:
	default:
		r.counters.dropped.Inc(1)
	}
}

// Run runs the agent's part in the group until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	defer r.watch.stop()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	plan := time.NewTicker(r.cfg.PlanInterval)
	defer plan.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-r.inbox:
			r.handle(ctx, in)
		case s := <-r.executed:
			r.isExecuting = false
			r.applyOutput(ctx, r.participant.Done(s.ranks, s.err))
		case s := <-r.polled:
			r.isPolling = false
			r.observe(ctx, s)
		case members := <-r.membersFound:
			r.isFindingMembers = false
			r.startBallot(members)
		case l := <-r.loads:
			r.addReport(l)
		case <-tick.C:
			r.tick(ctx)
		case <-plan.C:
			r.plan(ctx)
		}
	}
}

func (r *Runner) handle(ctx context.Context, in inbound) {
	if in.isReply {
		if r.coordinator != nil {
			r.coordinator.SetArmAhead(r.armAhead(time.Now()), r.stepTimer.step)
			r.send(r.coordinator.Step(in.from, in.message), false)
			r.finishBallot()
		}
		return
	}
	if in.relay != nil {
		r.counters.relayed.Inc(int64(len(in.relay.ForwardTo)))
		r.sendToBranches(*in.relay, splitIntoBranches(in.relay.ForwardTo), in.message.Stage != nil)
	}
	r.replyRoute[in.from] = in.replyRoute
	r.applyOutput(ctx, r.participant.Step(in.from, in.message))
}

// applyOutput sends the participant's reply and executes its orders.
func (r *Runner) applyOutput(ctx context.Context, o expertmap.Output) {
	if o.Reply != nil {
		r.sendReply(o.Reply)
	}
	if !o.HasWork {
		return
	}
	r.isExecuting = true
	go func() { r.executed <- r.executeOrders(ctx, o.Orders) }()
}

// executeOrders sends the orders to the engines and reads the resulting states.
func (r *Runner) executeOrders(ctx context.Context, orders []expertmap.Order) statuses {
	for _, o := range orders {
		if err := o.Execute(ctx, r.cfg.Ranks[o.EngineIndex]); err != nil {
			// The order may have been executed nevertheless. The states read below show it.
			r.cfg.Log.Debug("order to engine failed", "error", err)
		}
	}
	return r.readStatuses(ctx)
}

func (r *Runner) readStatuses(ctx context.Context) statuses {
	out := statuses{ranks: make([]expertmap.Status, len(r.cfg.Ranks))}
	for i, e := range r.cfg.Ranks {
		if out.ranks[i], out.err = e.Status(ctx); out.err != nil {
			return out
		}
	}
	return out
}

func (r *Runner) tick(ctx context.Context) {
	r.applyOutput(ctx, r.participant.Tick())
	if r.coordinator != nil {
		r.send(r.coordinator.Tick(), true)
		r.finishBallot()
		r.reportWait(time.Now())
	}
	if r.isPolling || r.isExecuting {
		return
	}
	r.isPolling = true
	go func() { r.polled <- r.readStatuses(ctx) }()
}

// observeStep records the last step that an engine has started. The step of a change that has
// taken effect is not timed, since the group may have been paused before it.
func (r *Runner) observeStep(s expertmap.Status, now time.Time) {
	step, late := r.pauseMeter.observe(s, &r.stepTimer, now)
	if step == 0 {
		r.stepTimer.observe(s.Step, now)
		return
	}
	if r.address == 0 {
		r.cfg.Log.Info("expert map in force", "group", r.cfg.Group, "step", step, "late_ms", late.Milliseconds(),
			"pass_ms", r.stepTimer.mean().Milliseconds())
	}
	r.stepTimer.skip(s.Step, now)
}

// observe takes the current states of the engines. It starts a recovery if the ranks wait for a
// decision and no coordinator has been heard from.
func (r *Runner) observe(ctx context.Context, s statuses) {
	if s.err != nil {
		return
	}
	r.ranks = s.ranks
	now := time.Now()
	r.observeStep(s.ranks[0], now)
	if r.participant.RecoveryDue(s.ranks) && r.coordinator == nil {
		r.findMembers(ctx, intent{isRecovery: true})
	}
}
