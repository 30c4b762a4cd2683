package soak

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/test/local"
	"github.com/sassafraspost/sassafraspost/test/standin"
)

const (
	// groupStandIn is the name of the stand-in that runs all ranks of the group.
	groupStandIn = "upstream-group"
	// recoveryTimeout is the time after the last fault within which all requests must be served
	// again.
	recoveryTimeout = 60 * time.Second
	// shutdownGrace is the grace period in the daemons' settings. shutdownTimeout is the time
	// within which a daemon must exit after SIGTERM.
	shutdownGrace, shutdownTimeout = 10 * time.Second, 15 * time.Second
	// sendDelay is the delay of each block of bytes that a host with the fault Delay sends.
	sendDelay = 250 * time.Millisecond
	// brokenResponses is the number of responses that each upstream aborts after the fault Reset.
	brokenResponses = 3
	// streamCallers, bookingCallers and racingCallers are the numbers of callers of each kind at
	// size 1.
	streamCallers, bookingCallers, racingCallers = 8, 6, 3
	// smallControlCount is the number of control hosts at size 1, largeControlCount at all larger
	// sizes.
	smallControlCount, largeControlCount = 3, 5
	// groupHostCount is the number of hosts of the group at size 1, with ranksPerHost ranks each.
	groupHostCount, ranksPerHost = 4, 2
)

// MaxSize is the largest size of a system. It has 176 processes, stand-ins included.
const MaxSize = 10

// Layout returns the processes of a system. Size 1 has 21 of them, stand-ins included. A larger
// system has five control hosts, and size times as many processes of every other kind as size 1.
// From size 4 on the group is so large that some of its hosts forward changes of the expert map, and
// other messages to the whole group, to the others.
func Layout(size int) local.Layout {
	control := smallControlCount
	if size > 1 {
		control = largeControlCount
	}
	return local.Layout{
		Control: control, Entries: 3 * size, Engines: 3 * size, Services: 2 * size,
		GroupHosts: groupHostCount * size, RanksPerHost: ranksPerHost, HasProxies: true, ShutdownGrace: shutdownGrace,
		EngineArgs: []string{"--step", "10ms", "--away", "1s"}, ServiceArgs: []string{"--delay", "30ms"},
		GroupArgs: []string{"--step", "5ms", "--drift-steps", "150", "--load-time", "100ms"},
	}
}

// Config configures one run. Runs with the same Seed inject the same faults. FaultTime is how long
// faults are injected.
type Config struct {
	Seed      uint64
	FaultTime time.Duration
	// Size is the size of the system, from 1 to MaxSize; 1 if zero.
	Size int
	// Evacuates makes the run evacuate data centres in series. The system then has two of them, with
	// as many upstreams together as without.
	Evacuates bool
	// OnlyKinds are the kinds of faults to inject; all if empty.
	OnlyKinds []Kind
	// Dir is the folder for logs and data, Bin the folder to which local.Build wrote the programs.
	Dir, Bin string
}

// Run starts a system, injects the faults of cfg and checks the promises. The report lists the
// promises that were broken; an error means that the run itself was not possible.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	cfg.Size = max(cfg.Size, 1)
	layout := Layout(cfg.Size)
	if cfg.Evacuates {
		layout = spread(layout)
	}
	s, err := local.New(cfg.Dir, cfg.Bin, layout)
	if err != nil {
		return nil, err
	}
	defer s.Stop()
	if err := s.Start(); err != nil {
		return nil, err
	}
	if err := s.Prepare(ctx, document(1, cfg.Size)); err != nil {
		return nil, errors.Wrap(err, "prepare")
	}
	r := newRecord()
	if err := runWithFaults(ctx, cfg, s, r); err != nil {
		return nil, err
	}
	return newReport(cfg, r), nil
}

// runWithFaults injects the faults while callers and an operator use the system. Afterwards it
// checks that the system has recovered, and what the stand-ins executed.
func runWithFaults(ctx context.Context, cfg Config, s *local.System, r *record) error {
	background, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	op := &operator{s: s, r: r, size: cfg.Size, base: s.Revision(ctx)}
	wg.Go(func() { op.run(background) })
	watchRevisions(background, s, r, &wg)
	c := startCallers(ctx, cfg.Size, s, r)
	ev := newEvacuator(cfg.Seed, s, r)
	if cfg.Evacuates {
		wg.Go(func() { ev.run(background, ctx) })
	}
	injectFaults(ctx, cfg, s, r)
	stop()
	wg.Wait()
	checkRecovery(ctx, s, r)
	if cfg.Evacuates {
		ev.checkUndisturbed(ctx)
	}
	c.stopAndWait()
	executions, err := totalExecutions(ctx, s)
	if err != nil {
		return err
	}
	c.checkExecutions(executions)
	c.checkCrashes(executions)
	return checkGroupMaps(ctx, s, r)
}

// injectFaults injects the faults of the run, and returns when the last one is over.
func injectFaults(ctx context.Context, cfg Config, s *local.System, r *record) {
	var control, others []string
	for _, h := range s.Control {
		control = append(control, h.Name)
	}
	for _, h := range append(append([]*local.Host{}, s.Entries...), s.Agents...) {
		others = append(others, h.Name)
	}
	start := time.Now()
	var wg sync.WaitGroup
	kinds := cfg.OnlyKinds
	if len(kinds) == 0 {
		kinds = Kinds
	}
	for _, f := range Plan(cfg.Seed, kinds, control, others, cfg.FaultTime) {
		sleep(ctx, time.Until(start.Add(f.At)))
		h, err := s.Find(f.Host)
		if err != nil || ctx.Err() != nil {
			break
		}
		wg.Go(func() { injectFault(ctx, s, r, h, f) })
	}
	wg.Wait()
}

// injectFault injects one fault and returns when it is over.
func injectFault(ctx context.Context, s *local.System, r *record, h *local.Host, f Fault) {
	end := r.beginFault(f)
	defer end()
	switch f.Kind {
	case Kill:
		h.Kill()
		sleep(ctx, f.For)
		restart(r, h)
	case Terminate:
		terminateAndCheck(r, h)
		restart(r, h)
	case Pause:
		h.Freeze()
		sleep(ctx, f.For)
		h.Thaw()
	case Cut:
		s.Cut(h)
		sleep(ctx, f.For)
		s.Heal(h)
	case Silence:
		s.FreezeLinks(h)
		sleep(ctx, f.For)
		s.Heal(h)
	case Reset:
		resetConnections(ctx, s, h)
	case Poison:
		sendPoison(ctx, s, r, f)
	case SlowDisk:
		loadDisk(ctx, s.Dir, f.For)
	case Delay:
		s.DelayOutbound(h, sendDelay)
		sleep(ctx, f.For)
		s.Heal(h)
	}
}

// terminateAndCheck sends SIGTERM to a process, and checks that it exits in time and without an
// error.
func terminateAndCheck(r *record, h *local.Host) {
	h.Terminate()
	select {
	case <-h.Done():
		if err := h.Err(); err != nil {
			r.addViolation(Shutdown, "%s ended in failure: %v", h.Name, err)
		}
	case <-time.After(shutdownTimeout):
		r.addViolation(Shutdown, "%s is still there %s after it was asked to end", h.Name, shutdownTimeout)
		h.Kill()
	}
}

// resetConnections closes the connections of a host, and makes all upstreams abort their next
// responses. The fault is over once new connections are possible. Requests that it interrupts
// fail within faultEffectTime after that.
func resetConnections(ctx context.Context, s *local.System, h *local.Host) {
	for _, up := range s.StandIns {
		if up.Name != groupStandIn {
			// A stand-in that can't be reached does not abort responses; that is no failure of the
			// run.
			_ = local.InjectFailure(ctx, up, standin.Failure{Mode: standin.Die, After: streamTokens / 2, Times: brokenResponses})
		}
	}
	s.Cut(h)
	s.Heal(h)
}

func restart(r *record, h *local.Host) {
	if err := h.Start(); err != nil {
		r.addViolation(Recovery, "%s does not start: %v", h.Name, err)
	}
}
