package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/backpressure"
	"github.com/sassafraspost/sassafraspost/internal/document"
	"github.com/sassafraspost/sassafraspost/internal/group"
	"github.com/sassafraspost/sassafraspost/internal/pause"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/placement"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/rank"
	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// pollInterval is how often the agent reads its engine's load and checks whether the engine's
	// rank, group or epoch has changed.
	pollInterval = 100 * time.Millisecond
	// queryTimeout bounds a query to a control host or another agent, which answer from memory.
	queryTimeout = 300 * time.Millisecond
	// memberReportTime is how long the agents of a newly formed group have to report their ranks
	// to a control host, before each of them is queried. It is several times pollInterval.
	memberReportTime = 600 * time.Millisecond
	// planInterval is how often the agent of a group's first rank plans a change of the expert
	// map. Expert popularity shifts within seconds, and a change takes about half a second.
	planInterval = 100 * time.Millisecond
	// maxArmAhead bounds how many steps ahead a map change is armed. The number of steps depends
	// on how long orders take to reach the engines. If it is too small, ranks pause until the
	// change is committed; if it is too large, the group uses an outdated map for longer. Both
	// delay all streams.
	maxArmAhead = 8
	// maxExtendedArmAhead is the bound that replaces maxArmAhead while orders get lost.
	maxExtendedArmAhead = 16
	// coordinatorRandomBits is the number of random low bits in a coordinator's number, drawn
	// when the coordinator starts. The bits above them hold the rank.
	coordinatorRandomBits = 9
	// Ballot counters start at the number of units of ballotUnitMillis since the Unix time
	// ballotOriginSeconds. They are therefore above the counters used before a restart, which
	// are not stored.
	ballotOriginSeconds = 1_700_000_000
	ballotUnitMillis    = 100
)

// agentRole runs on the host of one engine. It reports the engine's load to a control host and
// takes part in the expert map protocol of the engine's group.
type agentRole struct {
	n        *Node
	follower *follower
	client   rank.Client
	table    atomic.Pointer[routetable.Table]
	started  time.Time

	// mu guards the fields below.
	mu        sync.Mutex
	upstreams *registry.View
	runner    *group.Runner
	// completeMembers are the members of the current epoch, nil until all of them are found. They
	// don't change, because ranks don't move to other hosts within an epoch.
	completeMembers []wire.GroupMember
	// runnerStart is the time at which the runner was created.
	runnerStart time.Time
	// planningAgent is the address of the agent of the first rank, empty until it is found.
	planningAgent string

	// expertLoad is the expert popularity at the end of the previous epoch. Only the goroutine of
	// run uses it and the fields below.
	expertLoad placement.Load
	// isSlow tells whether the engine was last logged as slow.
	isSlow bool
	// isUnreachable is set if the last request to the engine failed. born is the start time of the
	// engine when it last became reachable, in Unix milliseconds.
	isUnreachable bool
	born          int64
	stalls        stallDetector
}

func (n *Node) buildAgent() (role, error) {
	n.openPool("")
	a := &agentRole{n: n, started: time.Now(), upstreams: registry.NewView(), client: n.platform.NewEngine(n.settings.Agent.Upstream)}
	a.follower = newFollower(n, "agent")
	// An agent uses only the group shape in the configuration, so it need not wait for the newest
	// configuration when it starts.
	a.follower.isCurrent = true
	a.follower.minFetchInterval = agentFetchInterval
	a.follower.mergeUpstreams = a.mergeUpstreams
	a.follower.applyTable = a.applyTable
	handleAsFollower := n.handleMessage
	n.handleMessage = func(s *peer.Session, call uint64, m wire.Message) {
		if r := a.currentRunner(); r != nil && r.HandlePeer(s, call, m) {
			return
		}
		if _, ok := m.(*wire.GroupQuery); ok {
			_ = s.Reply(call, &wire.GroupAnswer{})
			return
		}
		handleAsFollower(s, call, m)
	}
	return a, nil
}

func (a *agentRole) mergeUpstreams(source string, all []registry.Upstream) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, err := a.upstreams.Merge(source, all, time.Since(a.started))
	return err
}

func (a *agentRole) applyTable(t *routetable.Table) bool {
	a.table.Store(t)
	return true
}

func (a *agentRole) currentRunner() *group.Runner {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.runner
}

func (a *agentRole) setRunner(r *group.Runner) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runner = r
	a.completeMembers, a.planningAgent, a.runnerStart = nil, "", time.Now()
}

func (a *agentRole) run(ctx context.Context) error {
	go a.follower.run(ctx)
	for ctx.Err() == nil {
		r, err := a.pollEngine(ctx)
		if shape := a.groupShape(r); err == nil && r.IsOpen && shape != nil {
			a.serveEpoch(ctx, r, shape)
			continue
		}
		pause.For(ctx, pollInterval)
	}
	return nil
}

func (a *agentRole) drain(context.Context) {}

func (a *agentRole) keeper() *quarantine.Keeper { return nil }

func (a *agentRole) notices() []backpressure.Notice { return nil }

// groupShape returns the shape of the engine's group according to the configuration, nil if there
// is none.
func (a *agentRole) groupShape(r rank.Report) *wire.GroupShape {
	t := a.table.Load()
	if t == nil || r.Group == "" || r.Size == 0 {
		return nil
	}
	service := t.Service(a.n.settings.Agent.Service)
	if service == nil || service.Engine == nil || service.Engine.Experts.LayerSetCount == 0 {
		return nil
	}
	experts := service.Engine.Experts
	if !isWithinLimits(r.Size, experts) {
		return nil
	}
	return &wire.GroupShape{
		Ranks: uint32(r.Size), Experts: uint32(experts.ExpertsPerSet), Layers: uint32(experts.LayerSetCount), SlotsPerRank: uint32(experts.Slots),
		MaxNewPerSet: uint32(experts.MaxNewPerSet), CopyUS: uint32(experts.CopyTime.Microseconds()),
	}
}

// isWithinLimits reports whether an agent can keep an expert map of a group. Control hosts refuse larger ones, but a
// configuration may have been accepted by a build without limits.
func isWithinLimits(ranks int, e routetable.Experts) bool {
	isBetween := func(n, low, high int) bool { return n >= low && n <= high }
	return isBetween(ranks, 1, document.MaxRanks) && isBetween(e.LayerSetCount, 1, document.MaxLayers) &&
		isBetween(e.ExpertsPerSet, 0, document.MaxExperts) && isBetween(e.Slots, 0, document.MaxSlotsPerRank) &&
		isBetween(e.MaxNewPerSet, 0, document.MaxExperts)
}

// maxOnTimeStep returns the longest step time with which at least some streams of the service are
// still on time, 0 if it is unknown.
func (a *agentRole) maxOnTimeStep() time.Duration {
	t := a.table.Load()
	if t == nil {
		return 0
	}
	return t.LongestEventGap(a.n.settings.Agent.Service)
}

// serveEpoch takes part in one epoch of a group. It returns when the engine has restarted, has
// another group, epoch or rank, or its group no longer accepts requests.
func (a *agentRole) serveEpoch(ctx context.Context, r rank.Report, shape *wire.GroupShape) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	name := r.Group + "/" + strconv.FormatUint(r.Epoch, 10)
	a.n.log.Info("rank takes part in a group", "group", name, "rank", r.Rank, "size", r.Size, "map", r.Map, "step", r.Step)
	runner := group.New(group.Config{
		Group: name, FirstRank: uint32(r.Rank),
		Ranks:        []group.Rank{rank.New(a.client, r.Epoch, int(shape.Layers))},
		Pool:         a.n.pool,
		Members:      func(ctx context.Context) ([]wire.GroupMember, error) { return a.members(ctx, name, r), nil },
		PlanningHost: func(ctx context.Context) (string, bool) { return a.findPlanningAgent(ctx, name, r) },
		Shape:        func() *wire.GroupShape { return shape },
		NewID:        func() uint64 { return newUniqueNumber(r.Rank) },
		Start:        initialBallot,
		Initial:      rank.InitialMap(r.Size, int(shape.SlotsPerRank), int(shape.Layers), int(shape.Experts)),
		LinkRate:     a.n.settings.LinkRate,
		Load:         a.expertLoad,
		MaxStepTime:  a.maxOnTimeStep,
		PlanInterval: planInterval, ArmAhead: maxArmAhead, MaxArmAhead: maxExtendedArmAhead, Log: a.n.log, Metrics: a.n.metrics,
	})
	a.setRunner(runner)
	defer a.setRunner(nil)
	runnerDone := make(chan struct{})
	go func() {
		runner.Run(ctx)
		close(runnerDone)
	}()
	defer func() {
		cancel()
		<-runnerDone
		a.expertLoad = runner.Load()
	}()
	for ctx.Err() == nil {
		pause.For(ctx, pollInterval)
		latest, err := a.pollEngine(ctx)
		if err == nil && (latest.Group != r.Group || latest.Epoch != r.Epoch || latest.Rank != r.Rank || latest.StartedAt != r.StartedAt || !latest.IsOpen) {
			a.n.log.Info("group does not serve as it did", "group", name, "rank", r.Rank, "epoch_now", latest.Epoch,
				"rank_now", latest.Rank, "open", latest.IsOpen, "step", latest.Step)
			return
		}
	}
}

// pollEngine reads the engine's state and reports its load to a control host.
func (a *agentRole) pollEngine(ctx context.Context) (rank.Report, error) {
	r, err := a.client.Report(ctx)
	a.logReachability(r, err)
	if err != nil {
		return r, err
	}
	a.logSlowdown(r)
	if s := a.n.controlSession(); s != nil {
		_ = s.Post(&wire.EngineLoad{
			Address: a.n.settings.Agent.Upstream.String(), Running: r.Running, Waiting: r.Waiting, Slowdown: r.Slowdown,
			IsOpen: r.IsOpen, IsStalled: a.checkProgress(r, time.Now()), Group: r.Group, Epoch: r.Epoch, StartedAt: r.StartedAt,
			Rank: uint32(r.Rank),
		})
	}
	return r, nil
}

// logReachability logs when the engine becomes unreachable or reachable.
func (a *agentRole) logReachability(r rank.Report, err error) {
	isUnreachable := err != nil
	if isUnreachable == a.isUnreachable {
		return
	}
	a.isUnreachable = isUnreachable
	if isUnreachable {
		a.n.log.Warn("engine can't be reached", "upstream", a.n.settings.Agent.Upstream.String(), "born", a.born, "error", err.Error())
		return
	}
	a.n.log.Info("engine is reached", "upstream", a.n.settings.Agent.Upstream.String(), "born", r.StartedAt, "born_before", a.born,
		"group", r.Group, "epoch", r.Epoch)
	a.born = r.StartedAt
}

// slowThreshold is the slowdown (step time divided by usual step time) above which an engine is
// logged as slow. Every step of a group takes as long as that of its slowest rank.
const slowThreshold = 1.2

// logSlowdown logs when the engine becomes slow and when it is no longer slow.
func (a *agentRole) logSlowdown(r rank.Report) {
	isSlow := r.Slowdown > slowThreshold
	if isSlow != a.isSlow {
		a.n.log.Warn("pace of the engine has changed", "rank", r.Rank, "pace", r.Slowdown, "slow", isSlow, "step", r.Step)
	}
	a.isSlow = isSlow
}

// checkProgress reports whether the group is stalled, which means that it makes no steps although
// it has work. Causes are a rank that stays paused because its agent is unreachable, and a rank
// that waits for one that is isolated. Each begin and end of a stall is logged.
func (a *agentRole) checkProgress(r rank.Report, now time.Time) bool {
	wasStalled := a.stalls.isStalled
	isStalled := a.stalls.observe(r.Step, r.Running+r.Waiting > 0, r.PauseStep == r.Step+1, now)
	if isStalled != wasStalled {
		a.n.log.Warn("progress of the group has changed", "rank", r.Rank, "stalled", isStalled, "step", r.Step,
			"held", r.PauseStep, "running", r.Running, "waiting", r.Waiting)
	}
	return isStalled
}

// newUniqueNumber returns the ID of a coordinator or the incarnation of a participant: a number of
// 16 bits with the rank in the high bits and random low bits.
func newUniqueNumber(rank int) uint64 {
	return uint64(rank)<<coordinatorRandomBits&(1<<16-1) | uint64(rand.IntN(1<<coordinatorRandomBits))
}

// initialBallot returns the ballot counter at which a coordinator starts.
func initialBallot() uint64 {
	return uint64(time.Now().UnixMilli()-ballotOriginSeconds*1000) / ballotUnitMillis
}

// members returns the agents of a group's ranks. It queries a control host first. If that doesn't
// know all of them within memberReportTime, it queries the agents.
func (a *agentRole) members(ctx context.Context, name string, r rank.Report) []wire.GroupMember {
	a.mu.Lock()
	complete, runnerStart := a.completeMembers, a.runnerStart
	a.mu.Unlock()
	if complete != nil {
		return complete
	}
	found := a.queryControlHost(ctx, &wire.GroupQuery{Group: r.Group, Epoch: r.Epoch})
	if !group.CoversAllRanks(found, uint32(r.Size)) && time.Since(runnerStart) > memberReportTime {
		found = a.queryAllAgents(ctx, name)
	}
	if group.CoversAllRanks(found, uint32(r.Size)) {
		a.mu.Lock()
		a.completeMembers = found
		a.mu.Unlock()
	}
	return found
}

// findPlanningAgent returns the address of the agent of a group's first rank, which plans the
// changes of the map. It queries the other agents only if there is no session with a control
// host: if every agent did that, there would be a session between every two agents.
func (a *agentRole) findPlanningAgent(ctx context.Context, name string, r rank.Report) (string, bool) {
	a.mu.Lock()
	address := a.planningAgent
	a.mu.Unlock()
	if address != "" {
		return address, true
	}
	query := &wire.GroupQuery{Group: r.Group, Epoch: r.Epoch, FirstRankOnly: true}
	found := a.queryControlHost(ctx, query)
	if len(found) == 0 && a.n.controlSession() == nil {
		found = a.queryAllAgents(ctx, name)
	}
	for _, m := range found {
		if m.FirstRank == 0 {
			a.mu.Lock()
			a.planningAgent = m.Address
			a.mu.Unlock()
			return m.Address, true
		}
	}
	return "", false
}

// queryControlHost queries the control host to which all agents report, see controlSession.
func (a *agentRole) queryControlHost(ctx context.Context, m *wire.GroupQuery) []wire.GroupMember {
	s := a.n.controlSession()
	if s == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	reply, _, err := s.Call(ctx, m)
	answer, ok := reply.(*wire.GroupAnswer)
	if err != nil || !ok {
		return nil
	}
	return answer.Members
}

// queryAllAgents queries the agents of the service's upstreams for their ranks in the group.
func (a *agentRole) queryAllAgents(ctx context.Context, name string) []wire.GroupMember {
	addresses := a.agentAddresses()
	found := make([][]wire.GroupMember, len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() { found[i] = a.queryAgent(ctx, address, name) })
	}
	wg.Wait()
	var members []wire.GroupMember
	for _, list := range found {
		members = append(members, list...)
	}
	return members
}

// agentAddresses returns the peer addresses of the agents of the service's upstreams. An agent runs
// on the same host as its upstream.
func (a *agentRole) agentAddresses() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	seen := make(map[string]bool)
	var agents []string
	for _, u := range a.upstreams.All() {
		upstream, err := netip.ParseAddrPort(u.Address)
		if err != nil || u.Service != a.n.settings.Agent.Service || u.State == registry.Gone {
			continue
		}
		if address := a.n.settings.peerAddress(upstream.Addr()); !seen[address] {
			seen[address] = true
			agents = append(agents, address)
		}
	}
	return agents
}

// queryAgent queries one agent for its ranks in the group. If address is this host's own, it asks
// the local runner.
func (a *agentRole) queryAgent(ctx context.Context, address, name string) []wire.GroupMember {
	var members []wire.GroupMember
	if address == a.n.settings.peerAddress(a.n.settings.IP) {
		if r := a.currentRunner(); r != nil {
			members = r.LocalMembers()
		}
	} else if s, err := a.n.pool.Get(ctx, address); err == nil {
		reply, _, err := s.CallWithin(ctx, queryTimeout, &wire.GroupQuery{Group: name})
		if answer, ok := reply.(*wire.GroupAnswer); err == nil && ok {
			members = answer.Members
		}
	}
	for i := range members {
		members[i].Address = address
	}
	return members
}
