// Package group runs an agent's part in its group of ranks: the participant that
// speaks for the ranks of its host, and, where it is the agent's turn, the
// coordinator and the planner of changes to the expert map.
//
// The decisions are those of packages expertmap and planner. This package gives
// them messages, engine states and ticks, one at a time on one goroutine.
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
	// tickInterval is how often a participant looks whether experts are copied.
	tickInterval = 25 * time.Millisecond
	// retryTicks is how many ticks a coordinator waits before it asks again what was not
	// answered. Sessions lose nothing while they live, and a participant answers a request as
	// soon as it can, so asking sooner only fills the links.
	retryTicks = 8
	// minPausedRetryTicks is the least of that while ranks may hold: a tick is lost on either side.
	minPausedRetryTicks = 3
	// baseRecoveryTicks is how many ticks a participant waits for a coordinator before it
	// starts a recovery; each host adds its own number, so that they don't start together.
	baseRecoveryTicks = 40
	// firstHostRecoveryTicks is that of the first rank's host. It coordinates all changes, so what it
	// finds open without a coordinator of its own is what it left behind when it ended, and
	// nobody but itself goes on with it.
	firstHostRecoveryTicks = 4
	inboxLength            = 1024
	// DefaultPlanInterval is how often the first host of a group plans.
	DefaultPlanInterval = 10 * time.Second
)

// Rank is one rank of this host.
type Rank interface {
	expertmap.Engine
	// Load returns what the rank measured since the last call.
	Load(ctx context.Context) (wire.RankLoad, error)
}

// Config is what a Runner needs.
type Config struct {
	// Group is the group's name, FirstRank the first rank of this host.
	Group     string
	FirstRank uint32
	// Ranks are the engines of this host, from FirstRank on.
	Ranks []Rank
	Pool  *peer.Pool
	// Members returns the hosts of the group that the directory knows.
	Members func(ctx context.Context) ([]wire.GroupMember, error)
	// PlanningHost returns where the first rank's host is; nil lets it be looked for among
	// Members.
	PlanningHost func(ctx context.Context) (string, bool)
	// Shape returns what the document in force says of the group, nil if nothing.
	Shape func() *wire.GroupShape
	// Initial is the map that the group begins with, where a rule gives it; without content
	// otherwise.
	Initial expertmap.Map
	// LinkRate is what the host's link carries, in bytes a second; 0 if that is not known.
	LinkRate float64
	// NewID returns numbers that differ between all starts of all hosts.
	NewID func() uint64
	// Load is what was known of popularity when the host took part in an earlier epoch of
	// the group, nil if nothing; see Runner.Load.
	Load placement.Load
	// Start returns a counter that is above those of earlier coordinators, as far as
	// this host can tell; nil is no such knowledge.
	Start        func() uint64
	PlanInterval time.Duration
	// ArmAhead is how many steps ahead a change is armed at most; DefaultArmAhead if zero.
	// Fewer are taken where steps are long.
	ArmAhead uint64
	// MaxArmAhead bounds it where changes had to be given up since a step came too soon;
	// ArmAhead if zero.
	MaxArmAhead uint64
	// MaxStepTime is how long a step may take without its streams being late; nil or 0 if
	// nothing is known of that.
	MaxStepTime func() time.Duration
	Log         *slog.Logger
	Metrics     metrics.Registry
}

// inbound is a message of another host, or of this one to itself.
type inbound struct {
	// replyRoute is where a reply goes; nothing for this host's own messages.
	replyRoute
	from    expertmap.Address
	isReply bool
	message expertmap.Message
	// relay is the request as it came, with the hosts to pass it on to; nil for others.
	relay *wire.MapRequest
}

// statuses is what the engines said.
type statuses struct {
	ranks []expertmap.Status
	err   error
}

// Runner is an agent's part in its group. Its fields below inbox belong to the
// goroutine of Run.
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
	// replyRoute is where the coordinators are that have asked the participant.
	replyRoute  map[expertmap.Address]replyRoute
	isExecuting bool
	isPolling   bool
	ranks       []expertmap.Status

	coordinator      *expertmap.Coordinator
	members          map[expertmap.Address]string
	isFindingMembers bool
	nextBallot       intent
	// stepTimer measures the steps; extra is how many steps further ahead the next change is
	// armed, since changes had to be given up.
	stepTimer  stepTimer
	extraAhead uint64
	// orderTime is how long it takes to arm all ranks and to let them go.
	orderTime roundTripEstimator
	// ballotStats measures the coordinator's ballot, holds what changes cost the ranks.
	ballotStats ballotStats
	pauseMeter  pauseMeter
	planner     *planner.Planner
	// watch is on the session to the planning host, reporter decides what goes there.
	watch    sessionWatch
	reporter reporter
}

type counters struct {
	changed, aborted, settled, superseded, timedOut, dropped, unreadLoads metrics.Counter
	// contentSent counts the participants that this host's coordinator sent content to, again those
	// that lacked it after that; passed are requests passed on for others.
	contentSent, contentResent, relayed metrics.Counter
	// sentBytes counts the bytes that ballots of this host cost it, repeated what it had to ask or
	// send again for them beside.
	sentBytes, resentBytes metrics.Counter
}

func newCounters(reg metrics.Registry) counters {
	get := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("group."+name, reg) }
	return counters{
		changed: get("changes.made"), aborted: get("changes.aborted"), settled: get("ballots.settled"),
		superseded: get("ballots.superseded"), timedOut: get("ballots.timed-out"), dropped: get("messages.dropped"),
		unreadLoads: get("loads.unread"), contentSent: get("content.sent"), contentResent: get("content.sent-again"), relayed: get("requests.passed-on"),
		sentBytes: get("ballots.sent-bytes"), resentBytes: get("ballots.repeated-bytes"),
	}
}

// New returns a Runner that Run starts.
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
		participant:  expertmap.NewParticipant(cfg.NewID(), recoveryTicks(cfg.FirstRank), cfg.Initial),
		replyRoute:   make(map[expertmap.Address]replyRoute),
		planner:      planner.New(cfg.Load),
		pauseMeter:   pauseMeter{pausedMS: metrics.GetOrRegisterCounter("group.held-ms", cfg.Metrics)},
	}
}

// recoveryTicks is how many ticks the host of a rank waits for a coordinator.
func recoveryTicks(firstRank uint32) int {
	if firstRank == 0 {
		return firstHostRecoveryTicks
	}
	return baseRecoveryTicks + int(firstRank)
}

// HandlePeer takes a message if it concerns this host's group. It never waits: what
// has no room is dropped, and sent again by whoever needs it.
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

// LocalMembers returns the ranks of this host, without its address.
func (r *Runner) LocalMembers() []wire.GroupMember {
	return []wire.GroupMember{{FirstRank: r.cfg.FirstRank, Ranks: uint32(len(r.cfg.Ranks))}}
}

// answerQuery tells which ranks of the group this host has.
func (r *Runner) answerQuery(s *peer.Session, call uint64, m *wire.GroupQuery) {
	answer := &wire.GroupAnswer{}
	if m.Group == r.cfg.Group {
		answer.Members = r.LocalMembers()
	}
	_ = s.Reply(call, answer)
}

// receiveRequest takes what a coordinator asks, and passes it on.
func (r *Runner) receiveRequest(s *peer.Session, m *wire.MapRequest) {
	in := inbound{replyRoute: replyRoute{session: s, coordinator: m.Home}, from: expertmap.Address(m.From), relay: m}
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

// Run takes part until ctx ends.
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
			r.coordinator.SetArmAhead(r.armAhead(time.Now()))
			r.send(r.coordinator.Step(in.from, in.message), false)
			r.finishBallot()
		}
		return
	}
	if in.relay != nil {
		r.counters.relayed.Inc(int64(len(in.relay.Pass)))
		r.sendToBranches(*in.relay, splitIntoBranches(in.relay.Pass), in.message.Stage != nil)
	}
	r.replyRoute[in.from] = in.replyRoute
	r.applyOutput(ctx, r.participant.Step(in.from, in.message))
}

// applyOutput does what the participant wants.
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

// executeOrders gives the orders to the engines and reads their states.
func (r *Runner) executeOrders(ctx context.Context, orders []expertmap.Order) statuses {
	for _, o := range orders {
		if err := o.Execute(ctx, r.cfg.Ranks[o.EngineIndex]); err != nil {
			// The order may or may not have been taken; the states show it.
			r.cfg.Log.Debug("engine refused an order", "error", err)
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
	}
	if r.isPolling || r.isExecuting {
		return
	}
	r.isPolling = true
	go func() { r.polled <- r.readStatuses(ctx) }()
}

// observe looks whether the ranks wait for a decision that nobody makes.
func (r *Runner) observe(ctx context.Context, s statuses) {
	if s.err != nil {
		return
	}
	r.ranks = s.ranks
	now := time.Now()
	if step, late := r.pauseMeter.observe(s.ranks[0], &r.stepTimer, now); step != 0 && r.address == 0 {
		r.cfg.Log.Info("expert map in force", "group", r.cfg.Group, "step", step, "late_ms", late.Milliseconds(),
			"pass_ms", r.stepTimer.mean().Milliseconds())
	}
	r.stepTimer.observe(s.ranks[0].Step, now)
	if r.participant.RecoveryDue(s.ranks) && r.coordinator == nil {
		r.findMembers(ctx, intent{isRecovery: true})
	}
}
