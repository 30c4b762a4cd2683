// Package emulator plays a model service in virtual time, so that a question of policy is
// answered in a second, over many seeds and at any size. Entry hosts decide by the product's
// own package schedule, unchanged; all else is a model: groups of ranks that execute passes
// together, loads that come late, callers with a target, a patience and one try more.
//
// It is deterministic: a configuration and its seed give the same report each time. It starts
// no goroutine, reads no clock and does no I/O.
//
// Left out: plain services, workspaces and priorities, links and data centres, streams that go
// on elsewhere, requests that are taken back from a group that stands still, and how a map
// follows popularity: the skew of a group is given.
package emulator

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/retrybudget"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
	"github.com/sassafraspost/sassafraspost/internal/schedule"
)

// Config is one run.
type Config struct {
	Seed uint64
	// ArrivalPeriod is for how long callers come. The run ends when the last of them has left.
	ArrivalPeriod time.Duration
	// Hosts is the number of entry hosts; each caller asks one of them, drawn evenly.
	Hosts int
	// Groups of Ranks engines each serve, with the figures of Engine.
	Groups, Ranks int
	Engine        routetable.Engine
	// Skew is the load of the most loaded rank over the mean one, 1 if zero.
	Skew float64
	// ArrivalRate is how many callers come a second, at a time from the start.
	ArrivalRate func(at time.Duration) float64
	// Target is within what the first event is on time, Gap the longest pause between events
	// that is, Patience the time that a caller has.
	Target, Gap, CallerTimeout time.Duration
	// Budget bounds the repeats of all hosts together.
	Budget retrybudget.Params
	// Outages are when groups do not serve.
	Outages []Outage
}

// Outage is a time in which a group does not serve. What ran there as it began is lost.
type Outage struct {
	Group    int
	From, To time.Duration
}

// check returns the first fault of a configuration.
func (c *Config) check() error {
	switch {
	case c.ArrivalPeriod <= 0 || c.ArrivalRate == nil:
		return errors.New("emulator: nobody comes")
	case c.Hosts <= 0 || c.Groups <= 0 || c.Ranks <= 0:
		return errors.New("emulator: there have to be hosts, groups and ranks")
	case c.Engine.Slots <= 0 || c.Engine.Step <= 0 || c.Engine.Answer <= 0 || c.Engine.ReadRate <= 0:
		return errors.New("emulator: engines need slots, a step, an answer and a rate of reading")
	case c.Target <= 0 || c.CallerTimeout < c.Target:
		return errors.New("emulator: callers need a target, and a patience that is no shorter")
	}
	for _, o := range c.Outages {
		if o.Group < 0 || o.Group >= c.Groups || o.To <= o.From {
			return errors.Errorf("emulator: no outage of group %d from %s to %s", o.Group, o.From, o.To)
		}
	}
	return nil
}

const (
	// messageDelay is the way of a message between a host and an engine.
	messageDelay = time.Millisecond
	// reportInterval is the time between two loads of an engine, reportAge how old one is when
	// hosts have it.
	reportInterval, reportDelay = 100 * time.Millisecond, 50 * time.Millisecond
	// serviceName is the service of the run.
	serviceName = "model"
)

// simulation is the state of one run.
type simulation struct {
	cfg    Config
	clock  clock
	rng    *rand.Rand
	hosts  []*host
	groups []*group
	// engines are the ranks by their addresses.
	engines       map[string]*engine
	activeCallers int
	report        Report
}

// Run plays a configuration.
func Run(cfg Config) (*Report, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	if cfg.Skew < 1 {
		cfg.Skew = 1
	}
	s := &simulation{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)), engines: make(map[string]*engine)}
	s.build()
	s.clock.at(0, s.publishLoads)
	s.clock.at(0, s.scheduleArrivals)
	for _, o := range cfg.Outages {
		s.clock.at(o.From, s.groups[o.Group].fail)
		s.clock.at(o.To, s.groups[o.Group].reform)
	}
	for s.clock.runNext() && !s.isDone() {
	}
	s.report.finish(s)
	return &s.report, nil
}

// build makes the hosts and the engines, which know each other from the start.
func (s *simulation) build() {
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
		h := &host{sim: s, scheduler: schedule.New(schedule.Config{Budget: s.cfg.Budget, Random: s.rng}), waiting: make(map[*schedule.Waiter]*call)}
		h.scheduler.SetHosts(s.cfg.Hosts)
		h.scheduler.SetUpstreams(map[string][]registry.Upstream{serviceName: all}, 0)
		s.hosts = append(s.hosts, h)
	}
}

func (s *simulation) isDone() bool { return s.clock.now >= s.cfg.ArrivalPeriod && s.activeCallers == 0 }

// publishLoads lets all hosts know the loads of all engines, again and again.
func (s *simulation) publishLoads() {
	loads := s.loads()
	s.clock.after(reportDelay, func() {
		for _, h := range s.hosts {
			h.applyLoads(loads)
		}
	})
	s.clock.after(reportInterval, s.publishLoads)
}

// scheduleArrivals lets a caller come, and draws when the next one does.
func (s *simulation) scheduleArrivals() {
	now := s.clock.now
	if now >= s.cfg.ArrivalPeriod {
		return
	}
	rate := s.cfg.ArrivalRate(now)
	if rate <= 0 {
		s.clock.after(reportInterval, s.scheduleArrivals)
		return
	}
	if now > 0 {
		s.startCall()
	}
	s.clock.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), s.scheduleArrivals)
}
