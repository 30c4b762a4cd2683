package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

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
	// lookInterval is how often the agent reads its engine's load, and looks whether its
	// rank belongs to another group or epoch.
	lookInterval = 100 * time.Millisecond
	// askTimeout bounds a question to another agent, which answers from memory.
	askTimeout = 300 * time.Millisecond
	// tellTime is how long after a group has formed its agents are given to tell a control
	// host of their ranks, before each of them is asked: several times lookInterval.
	tellTime = 600 * time.Millisecond
	// planInterval is how often the first rank of a group plans. Popularity shifts
	// within seconds; a change takes about half a one.
	planInterval = 100 * time.Millisecond
	// armAhead is how many passes ahead a change is armed at most, where orders were seen to
	// take that long: ranks that hold make all streams late, and so does a map that is behind
	// for longer.
	armAhead = 8
	// mostAhead bounds that where orders get lost.
	mostAhead = 16
	// coordinatorBits is how many of a coordinator's number are drawn at its start; the
	// rest is its rank.
	coordinatorBits = 9
	// ballotStart and ballotUnit let ballots start above those that were used before a
	// restart, which nobody remembers: they count tenths of a second from a fixed day.
	ballotStart = 1_700_000_000
	ballotUnit  = 100
)

// agentRole stands beside one engine and takes part in its group.
type agentRole struct {
	n        *Node
	follower *follower
	client   rank.Client
	table    atomic.Pointer[routetable.Table]

	// mu guards the fields below.
	mu     sync.Mutex
	view   *registry.View
	runner *group.Runner
	// whole are the members of the present epoch once all were found: within an epoch
	// ranks stay where they are.
	whole []wire.GroupMember
	// since is when the runner began.
	since time.Time
	// first is where the agent of the first rank is, empty until it was found.
	first string

	// load is the popularity that the last epoch knew. It belongs to the goroutine of run.
	load placement.Load
	// isSlow is what was last said of the engine's pace; it belongs to that goroutine too.
	isSlow bool
	// isLost tells that the engine could not be reached the last time, born which start of it
	// was; they belong to it too.
	isLost bool
	born   int64
	// progress belongs to it as well.
	progress progress
}

func (n *Node) buildAgent() (role, error) {
	n.openPool("")
	a := &agentRole{n: n, view: registry.NewView(), client: n.platform.Engine(n.set.Agent.Upstream)}
	a.follower = newFollower(n, "agent")
	// The shape of a group is all that an agent needs; an older one will do.
	a.follower.isCurrent = true
	a.follower.rest = agentRest
	a.follower.merge = a.merge
	a.follower.configure = a.configure
	follow := n.handle
	n.handle = func(s *peer.Session, call uint64, m wire.Message) {
		if r := a.current(); r != nil && r.HandlePeer(s, call, m) {
			return
		}
		if _, ok := m.(*wire.GroupQuery); ok {
			_ = s.Reply(call, &wire.GroupAnswer{})
			return
		}
		follow(s, call, m)
	}
	return a, nil
}

func (a *agentRole) merge(source string, all []registry.Upstream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.view.Merge(source, all)
}

func (a *agentRole) configure(t *routetable.Table) bool {
	a.table.Store(t)
	return true
}

func (a *agentRole) current() *group.Runner {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.runner
}

func (a *agentRole) setRunner(r *group.Runner) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runner = r
	a.whole, a.first, a.since = nil, "", time.Now()
}

func (a *agentRole) run(ctx context.Context) error {
	go a.follower.run(ctx)
	for ctx.Err() == nil {
		r, err := a.look(ctx)
		if shape := a.shape(r); err == nil && r.IsOpen && shape != nil {
			a.serve(ctx, r, shape)
			continue
		}
		pause.For(ctx, lookInterval)
	}
	return nil
}

func (a *agentRole) drain(context.Context) {}

func (a *agentRole) keeper() *quarantine.Keeper { return nil }

// shape is what the configuration says of the engine's group, nil if nothing.
func (a *agentRole) shape(r rank.Report) *wire.GroupShape {
	t := a.table.Load()
	if t == nil || r.Group == "" || r.Size == 0 {
		return nil
	}
	s := t.Service(a.n.set.Agent.Service)
	if s == nil || s.Engine == nil || s.Engine.Experts.Sets == 0 {
		return nil
	}
	x := s.Engine.Experts
	return &wire.GroupShape{
		Ranks: uint32(r.Size), Experts: uint32(x.Count), Layers: uint32(x.Sets), SlotsPerRank: uint32(x.Slots),
		Spare: uint32(x.Spare), CopyUS: uint32(x.Copy.Microseconds()),
	}
}

// lateStep is the longest pass with which some stream of the service is on time, 0 if that
// is not known.
func (a *agentRole) lateStep() time.Duration {
	t := a.table.Load()
	if t == nil {
		return 0
	}
	return t.LongestGap(a.n.set.Agent.Service)
}

// serve takes part in one epoch of a group, until the rank belongs to another one.
func (a *agentRole) serve(ctx context.Context, r rank.Report, shape *wire.GroupShape) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	name := r.Group + "/" + strconv.FormatUint(r.Epoch, 10)
	a.n.log.Info("rank takes part in a group", "group", name, "rank", r.Rank, "size", r.Size, "map", r.Map, "step", r.Step)
	runner := group.New(group.Config{
		Group: name, FirstRank: uint32(r.Rank),
		Ranks:        []group.Rank{rank.New(a.client, r.Epoch, int(shape.Layers))},
		Pool:         a.n.pool,
		Members:      func(ctx context.Context) ([]wire.GroupMember, error) { return a.members(ctx, name, r), nil },
		PlanningHost: func(ctx context.Context) (string, bool) { return a.firstHost(ctx, name, r) },
		Shape:        func() *wire.GroupShape { return shape },
		NewID:        func() uint64 { return unique(r.Rank) },
		Start:        ballotNow,
		Initial:      rank.InitialMap(r.Size, int(shape.SlotsPerRank), int(shape.Layers), int(shape.Experts)),
		LinkRate:     a.n.set.LinkRate,
		Load:         a.load,
		MaxStepTime:  a.lateStep,
		PlanInterval: planInterval, ArmAhead: armAhead, MaxArmAhead: mostAhead, Log: a.n.log, Metrics: a.n.metrics,
	})
	a.setRunner(runner)
	defer a.setRunner(nil)
	ended := make(chan struct{})
	go func() {
		runner.Run(ctx)
		close(ended)
	}()
	defer func() {
		cancel()
		<-ended
		a.load = runner.Load()
	}()
	for ctx.Err() == nil {
		pause.For(ctx, lookInterval)
		now, err := a.look(ctx)
		if err == nil && (now.Group != r.Group || now.Epoch != r.Epoch || now.Rank != r.Rank || now.Born != r.Born || !now.IsOpen) {
			a.n.log.Info("group does not serve as it did", "group", name, "rank", r.Rank, "epoch_now", now.Epoch,
				"rank_now", now.Rank, "open", now.IsOpen, "step", now.Step)
			return
		}
	}
}

// look reads the engine's state and tells its load.
func (a *agentRole) look(ctx context.Context) (rank.Report, error) {
	r, err := a.client.Report(ctx)
	a.noteReach(r, err)
	if err != nil {
		return r, err
	}
	a.notePace(r)
	if s := a.n.controlSession(); s != nil {
		_ = s.Post(&wire.EngineLoad{
			Address: a.n.set.Agent.Upstream.String(), Running: r.Running, Waiting: r.Waiting, Pace: r.Pace,
			IsOpen: r.IsOpen, IsStanding: a.noteProgress(r, time.Now()), Group: r.Group, Epoch: r.Epoch, Born: r.Born,
			Rank: uint32(r.Rank),
		})
	}
	return r, nil
}

// noteReach says when the engine can't be reached any more, and when it can again.
func (a *agentRole) noteReach(r rank.Report, err error) {
	isLost := err != nil
	if isLost == a.isLost {
		return
	}
	a.isLost = isLost
	if isLost {
		a.n.log.Warn("engine can't be reached", "upstream", a.n.set.Agent.Upstream.String(), "born", a.born, "error", err.Error())
		return
	}
	a.n.log.Info("engine is reached", "upstream", a.n.set.Agent.Upstream.String(), "born", r.Born, "born_before", a.born,
		"group", r.Group, "epoch", r.Epoch)
	a.born = r.Born
}

// slowPace is the pace from which an engine counts as slow: a rank that slow sets the
// pace of its whole group.
const slowPace = 1.2

// notePace says when the engine becomes slow, and when it is no more.
func (a *agentRole) notePace(r rank.Report) {
	isSlow := r.Pace > slowPace
	if isSlow != a.isSlow {
		a.n.log.Warn("pace of the engine has changed", "rank", r.Rank, "pace", r.Pace, "slow", isSlow, "step", r.Step)
	}
	a.isSlow = isSlow
}

// noteProgress reports whether the group stands still with work to do: a rank holds whose
// agent is away, or waits for one that is cut off. It says so when that begins and ends.
func (a *agentRole) noteProgress(r rank.Report, now time.Time) bool {
	wasStalled := a.progress.isStalled
	isStalled := a.progress.observe(r.Step, r.Running+r.Waiting > 0, r.PauseStep == r.Step+1, now)
	if isStalled != wasStalled {
		a.n.log.Warn("progress of the group has changed", "rank", r.Rank, "stalled", isStalled, "step", r.Step,
			"held", r.PauseStep, "running", r.Running, "waiting", r.Waiting)
	}
	return isStalled
}

// unique returns a coordinator's number, or a participant's incarnation.
func unique(rank int) uint64 {
	return uint64(rank)<<coordinatorBits&(1<<16-1) | uint64(rand.IntN(1<<coordinatorBits))
}

func ballotNow() uint64 { return uint64(time.Now().UnixMilli()-ballotStart*1000) / ballotUnit }

// members returns the agents of a group's ranks: those that a control host has heard of, or
// where it does not know all of them, those that answer.
func (a *agentRole) members(ctx context.Context, name string, r rank.Report) []wire.GroupMember {
	a.mu.Lock()
	whole, since := a.whole, a.since
	a.mu.Unlock()
	if whole != nil {
		return whole
	}
	found := a.askControl(ctx, &wire.GroupQuery{Group: r.Group, Epoch: r.Epoch})
	if !group.CoversAllRanks(found, uint32(r.Size)) && time.Since(since) > tellTime {
		found = a.find(ctx, name)
	}
	if group.CoversAllRanks(found, uint32(r.Size)) {
		a.mu.Lock()
		a.whole = found
		a.mu.Unlock()
	}
	return found
}

// firstHost returns the agent of a group's first rank, which plans. One that each agent
// found by asking all the others would make a session between any two of them.
func (a *agentRole) firstHost(ctx context.Context, name string, r rank.Report) (string, bool) {
	a.mu.Lock()
	first := a.first
	a.mu.Unlock()
	if first != "" {
		return first, true
	}
	query := &wire.GroupQuery{Group: r.Group, Epoch: r.Epoch, IsFirst: true}
	found := a.askControl(ctx, query)
	if len(found) == 0 && a.n.controlSession() == nil {
		found = a.find(ctx, name)
	}
	for _, m := range found {
		if m.FirstRank == 0 {
			a.mu.Lock()
			a.first = m.Address
			a.mu.Unlock()
			return m.Address, true
		}
	}
	return "", false
}

// askControl asks the control host that hears of all engines.
func (a *agentRole) askControl(ctx context.Context, m *wire.GroupQuery) []wire.GroupMember {
	s := a.n.controlSession()
	if s == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, _, err := s.Call(ctx, m)
	answer, ok := reply.(*wire.GroupAnswer)
	if err != nil || !ok {
		return nil
	}
	return answer.Members
}

// find asks the agents of the service's upstreams for their ranks in the group.
func (a *agentRole) find(ctx context.Context, name string) []wire.GroupMember {
	addresses := a.addresses()
	found := make([][]wire.GroupMember, len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() { found[i] = a.ask(ctx, address, name) })
	}
	wg.Wait()
	var out []wire.GroupMember
	for _, list := range found {
		out = append(out, list...)
	}
	return out
}

// addresses returns where the agents of the service's upstreams are: beside them.
func (a *agentRole) addresses() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	seen := make(map[string]bool)
	var out []string
	for _, u := range a.view.All() {
		at, err := netip.ParseAddrPort(u.Address)
		if err != nil || u.Service != a.n.set.Agent.Service || u.State == registry.Gone {
			continue
		}
		if address := a.n.set.peerAddress(at.Addr()); !seen[address] {
			seen[address] = true
			out = append(out, address)
		}
	}
	return out
}

// ask asks one agent, this one included.
func (a *agentRole) ask(ctx context.Context, address, name string) []wire.GroupMember {
	var members []wire.GroupMember
	if address == a.n.set.peerAddress(a.n.set.IP) {
		if r := a.current(); r != nil {
			members = r.LocalMembers()
		}
	} else if s, err := a.n.pool.Get(ctx, address); err == nil {
		reply, _, err := s.CallWithin(ctx, askTimeout, &wire.GroupQuery{Group: name})
		if answer, ok := reply.(*wire.GroupAnswer); err == nil && ok {
			members = answer.Members
		}
	}
	for i := range members {
		members[i].Address = address
	}
	return members
}
