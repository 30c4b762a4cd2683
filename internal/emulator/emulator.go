// Package emulator simulates a deployment of a model service in virtual time, so the effect of
// a scheduling policy can be computed within a second, over many seeds and at any size. The
// entry hosts use the real package schedule. Everything else is a model: groups of ranks that
// run each forward pass together, load reports that arrive late, and callers with a latency
// target and a timeout that retry once.
//
// A pass is one forward pass of a whole group. It consists of Engine.StepsPerPass token steps
// and yields one event of the answer for each running request.
//
// The simulation is deterministic: the same configuration and seed always give the same report.
// It starts no goroutine, reads no clock and does no I/O.
//
// Not modelled: plain services, workspaces, links and data centres, streams that
// are resumed at another upstream, requests that are withdrawn from a stalled group, and the
// way the expert map follows expert popularity (the skew of a group is an input).
package emulator

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/retrybudget"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
	"github.com/sassafraspost/sassafraspost/internal/schedule"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Config describes one simulation.
type Config struct {
	Seed uint64
	// ArrivalPeriod is how long new callers arrive. The simulation ends when the last caller
	// has left.
	ArrivalPeriod time.Duration
	// Hosts is the number of entry hosts. Each try of a caller goes to one of them, chosen
	// uniformly at random.
	Hosts int
	// Groups is the number of groups, and Ranks the number of engines in each of them. Engine
	// gives the properties of each engine.
	Groups, Ranks int
	Engine        routetable.Engine
	// Skew is the load of the most loaded rank divided by the mean load of the ranks. Default
	// 1. SkewPeriods are the periods in which the skew is another one.
	Skew        float64
	SkewPeriods []SkewPeriod
	// ArrivalRate is how many callers arrive per second, at a given time since the start.
	ArrivalRate func(at time.Duration) float64
	// An answer is on time if its first event arrives within Target and the time between two
	// consecutive events never exceeds MaxEventGap; 0 means no limit. CallerTimeout is the time
	// limit that a caller sets for its whole request, including a retry.
	Target, MaxEventGap, CallerTimeout time.Duration
	// SilenceTimeout is how long a caller waits for the next event, or for the first event or a
	// refusal, before it abandons its try; 0 means forever.
	SilenceTimeout time.Duration
	// ReportDelay is how old a load report is when it reaches the hosts. Default
	// DefaultReportDelay.
	ReportDelay time.Duration
	// RetryBudget limits the retries of all hosts together.
	RetryBudget retrybudget.Params
	// PlanReturns is schedule.Config.PlanReturns of all hosts.
	PlanReturns bool
	// Crowds are periods in which the balancer sends most new callers to one host.
	Crowds []Crowd
	// Outages lists the times at which groups are down.
	Outages []Outage
	// Classes are the priority classes of callers. If there are none, all callers have priority 0,
	// Target and ArrivalRate.
	Classes []Class
	// Phase names the phase of the load at a given time, such as "peak". Callers are counted by
	// the phase in which they first try. Nil means that there are no phases.
	Phase func(at time.Duration) string
}

// Class describes the callers of one priority. Its fields have the same meaning as those of
// Config.
type Class struct {
	Priority    int
	Target      time.Duration
	ArrivalRate func(at time.Duration) float64
}

// Crowd is a period in which a share of the first tries of callers goes to one host. The others, and
// the second tries, go to any host.
type Crowd struct {
	Host     int
	From, To time.Duration
	Share    float64
}

// Outage is a period in which a group accepts no requests. The requests that it had at the
// start of the outage are lost.
type Outage struct {
	Group    int
	From, To time.Duration
}

// SkewPeriod is a period in which the ranks are loaded more unevenly than usual, because the
// expert map doesn't match the popularity of the experts: after popularity has shifted, and
// after a group has formed again with its initial map.
type SkewPeriod struct {
	From, To time.Duration
	Skew     float64
}

// check returns an error if the configuration is invalid.
func (c *Config) check() error {
	switch {
	case c.ArrivalPeriod <= 0 || c.ArrivalRate == nil && len(c.Classes) == 0:
		return errors.New("emulator: ArrivalPeriod must be positive and ArrivalRate must be set")
	case c.Hosts <= 0 || c.Groups <= 0 || c.Ranks <= 0:
		return errors.New("emulator: Hosts, Groups and Ranks must be positive")
	case c.Engine.Slots <= 0 || c.Engine.StepTime <= 0 || c.Engine.MeanAnswerTokens <= 0 || c.Engine.PrefillRate <= 0:
		return errors.New("emulator: Engine.Slots, StepTime, MeanAnswerTokens and PrefillRate must be positive")
	case c.Target <= 0 || c.CallerTimeout < c.Target:
		return errors.New("emulator: Target must be positive and CallerTimeout must not be shorter than Target")
	}
	for _, class := range c.Classes {
		if class.ArrivalRate == nil || class.Target <= 0 || c.CallerTimeout < class.Target {
			return errors.Errorf("emulator: invalid class of priority %d", class.Priority)
		}
	}
	for _, o := range c.Outages {
		if o.Group < 0 || o.Group >= c.Groups || o.To <= o.From {
			return errors.Errorf("emulator: invalid outage of group %d from %s to %s", o.Group, o.From, o.To)
		}
	}
	for _, p := range c.Crowds {
		if p.Host < 0 || p.Host >= c.Hosts || p.To <= p.From || p.Share < 0 || p.Share > 1 {
			return errors.Errorf("emulator: invalid crowd of %g at host %d from %s to %s", p.Share, p.Host, p.From, p.To)
		}
	}
	for _, p := range c.SkewPeriods {
		if p.Skew < 1 || p.To <= p.From {
			return errors.Errorf("emulator: invalid skew of %g from %s to %s", p.Skew, p.From, p.To)
		}
	}
	return nil
}

const (
	// messageDelay is the time that a message takes between a host and an engine.
	messageDelay = time.Millisecond
	// reportInterval is the time between two load reports of an engine.
	reportInterval = 100 * time.Millisecond
	// DefaultReportDelay is the default of Config.ReportDelay.
	DefaultReportDelay = 50 * time.Millisecond
	// demandInterval is the time between two reports of demand, and demandDelay how old the sum of
	// them is when it reaches the hosts.
	demandInterval = time.Second
	demandDelay    = 500 * time.Millisecond
	// serviceName is the name of the simulated service.
	serviceName = "model"
)

// simulation is the state of one run.
type simulation struct {
	cfg    Config
	clock  clock
	rng    *rand.Rand
	hosts  []*host
	groups []*group
	// crowdTotals sums the demands of the hosts.
	crowdTotals schedule.CrowdTotals
	// retries is the ledger of the extra retries, and reservedRetries is how many were reserved.
	retries         *retrybudget.Ledger
	reservedRetries uint64
	// engines maps the address of each rank to its engine.
	engines       map[string]*engine
	activeCallers int
	report        Report
}

// Run simulates a configuration until all callers have left.
func Run(cfg Config) (*Report, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	if cfg.Skew < 1 {
		cfg.Skew = 1
	}
	if cfg.ReportDelay <= 0 {
		cfg.ReportDelay = DefaultReportDelay
	}
	if len(cfg.Classes) == 0 {
		cfg.Classes = []Class{{Target: cfg.Target, ArrivalRate: cfg.ArrivalRate}}
	}
	s := &simulation{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)), engines: make(map[string]*engine)}
	s.build()
	s.clock.at(0, s.publishLoads)
	s.clock.at(0, s.publishDemands)
	for i := range cfg.Classes {
		s.clock.at(0, func() { s.scheduleArrivals(&cfg.Classes[i]) })
	}
	for _, o := range cfg.Outages {
		s.clock.at(o.From, s.groups[o.Group].fail)
		s.clock.at(o.To, s.groups[o.Group].reform)
	}
	for s.clock.runNext() && !s.isDone() {
	}
	s.report.finish(s)
	return &s.report, nil
}

// build creates the engines and the hosts. Every host knows all engines from the start.
func (s *simulation) build() {
	s.retries = retrybudget.NewLedger(s.cfg.RetryBudget)
	var all []registry.Upstream
	for g := range s.cfg.Groups {
		group := newGroup(s, g)
		s.groups = append(s.groups, group)
		for _, e := range group.ranks {
			s.engines[e.address] = e
			all = append(all, registry.Upstream{ID: e.address, Address: e.address, Service: serviceName, Slots: s.cfg.Engine.Slots})
		}
	}
	for range s.cfg.Hosts {
		h := &host{sim: s, scheduler: schedule.New(schedule.Config{RetryBudget: s.cfg.RetryBudget, Random: s.rng, PlanReturns: s.cfg.PlanReturns}), waiting: make(map[*schedule.Waiter]*call)}
		h.scheduler.SetHostCount(s.cfg.Hosts, 0)
		h.scheduler.SetUpstreams(map[string][]registry.Upstream{serviceName: all}, 0)
		s.hosts = append(s.hosts, h)
	}
}

// skew returns the current skew.
func (s *simulation) skew() float64 {
	for _, p := range s.cfg.SkewPeriods {
		if p.From <= s.clock.now && s.clock.now < p.To {
			return p.Skew
		}
	}
	return s.cfg.Skew
}

func (s *simulation) isDone() bool { return s.clock.now >= s.cfg.ArrivalPeriod && s.activeCallers == 0 }

// publishLoads sends the current loads of all engines to all hosts, and repeats that every
// reportInterval.
func (s *simulation) publishLoads() {
	loads := s.loads()
	s.report.recordLoads(loads)
	s.clock.after(s.cfg.ReportDelay, func() {
		for _, h := range s.hosts {
			h.applyLoads(loads)
		}
	})
	s.clock.after(reportInterval, s.publishLoads)
}

// publishDemands sends the sum of the demands at all hosts to each of them, and repeats that every
// demandInterval.
func (s *simulation) publishDemands() {
	var demands [][]wire.ServiceDemand
	for _, h := range s.hosts {
		demands = append(demands, h.scheduler.ReportDemands(s.clock.now))
	}
	totals := s.crowdTotals.Sum(demands, s.clock.now)
	s.clock.after(demandDelay, func() {
		for _, h := range s.hosts {
			h.scheduler.SetTotalDemands(totals, s.clock.now)
		}
	})
	s.clock.after(demandInterval, s.publishDemands)
}

// scheduleArrivals starts the request of a caller of a class and schedules the arrival of the
// next one. The time between two arrivals is distributed exponentially.
func (s *simulation) scheduleArrivals(class *Class) {
	now := s.clock.now
	if now >= s.cfg.ArrivalPeriod {
		return
	}
	next := func() { s.scheduleArrivals(class) }
	rate := class.ArrivalRate(now)
	if rate <= 0 {
		s.clock.after(reportInterval, next)
		return
	}
	if now > 0 {
		s.startCall(class)
	}
	s.clock.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), next)
}
