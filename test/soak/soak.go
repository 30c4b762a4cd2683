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
	// recoveryTimeout is within what everything has to be served again after the last fault.
	recoveryTimeout = 60 * time.Second
	// shutdownGrace is the shutdown grace of the daemons, endTime within what they have to be gone.
	shutdownGrace, shutdownTimeout = 10 * time.Second, 15 * time.Second
	// sendDelay is by how much Delay holds each piece.
	sendDelay = 250 * time.Millisecond
	// brokenResponses is how many answers each upstream breaks off after Reset.
	brokenResponses = 3
	// streamCallers, bookCallers and racers are the callers by kind, at size 1.
	streamCallers, bookingCallers, racingCallers = 8, 6, 3
	// smallControlCount and manyControl are the control hosts at size 1 and above.
	smallControlCount, largeControlCount = 3, 5
	// groupHostCount is the number of hosts of the group at size 1, with ranksPerHost ranks each.
	groupHostCount, ranksPerHost = 4, 2
)

// MaxSize is the largest size: 176 processes with the stand-ins.
const MaxSize = 10

// Layout is what a run starts: 21 processes with the stand-ins at size 1. Above it there are
// five control hosts, and of everything else size times as many: from size 4 on changes of
// maps, and other messages to all of a group, are passed on by some of its hosts.
func Layout(size int) local.Layout {
	control := smallControlCount
	if size > 1 {
		control = largeControlCount
	}
	return local.Layout{
		Control: control, Entries: 3 * size, Engines: 3 * size, Services: 2 * size,
		GroupHosts: groupHostCount * size, RanksPerHost: ranksPerHost, HasProxies: true, Grace: shutdownGrace,
		EngineArgs: []string{"--step", "10ms", "--away", "1s"}, ServiceArgs: []string{"--delay", "30ms"},
		GroupArgs: []string{"--step", "5ms", "--drift-steps", "150", "--load-time", "100ms"},
	}
}

// Config is one run.
type Config struct {
	Seed      uint64
	FaultTime time.Duration
	// Size is the size of the system, from 1 to MaxSize; 1 if zero.
	Size int
	// OnlyKinds are the kinds of faults to play; all if empty.
	OnlyKinds []Kind
	// Dir is where logs and data go, Bin where local.Build put the programs.
	Dir, Bin string
}

// Run plays one run. It returns an error where the system could not be run at all.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	cfg.Size = max(cfg.Size, 1)
	s, err := local.New(cfg.Dir, cfg.Bin, Layout(cfg.Size))
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

// runWithFaults runs callers and operators beside the faults, and then checks what was done.
func runWithFaults(ctx context.Context, cfg Config, s *local.System, r *record) error {
	beside, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	o := &operator{s: s, r: r, size: cfg.Size, base: s.Revision(ctx)}
	wg.Go(func() { o.run(beside) })
	watchRevisions(beside, s, r, &wg)
	c := startCallers(ctx, cfg.Size, s, r)
	injectFaults(ctx, cfg, s, r)
	stop()
	wg.Wait()
	checkRecovery(ctx, s, r)
	c.stopAndWait()
	done, err := totalExecutions(ctx, s)
	if err != nil {
		return err
	}
	c.checkExecutions(done)
	c.checkCrashes(done)
	return checkGroupMaps(ctx, s, r)
}

// injectFaults plays the faults of the run and waits until all are over.
func injectFaults(ctx context.Context, cfg Config, s *local.System, r *record) {
	var control, others []string
	for _, h := range s.Control {
		control = append(control, h.Name)
	}
	for _, h := range append(append([]*local.Host{}, s.Entries...), s.Agents...) {
		others = append(others, h.Name)
	}
	began := time.Now()
	var wg sync.WaitGroup
	kinds := cfg.OnlyKinds
	if len(kinds) == 0 {
		kinds = Kinds
	}
	for _, f := range Plan(cfg.Seed, kinds, control, others, cfg.FaultTime) {
		sleep(ctx, time.Until(began.Add(f.At)))
		h, err := s.Find(f.Host)
		if err != nil || ctx.Err() != nil {
			break
		}
		wg.Go(func() { injectFault(ctx, s, r, h, f) })
	}
	wg.Wait()
}

// injectFault plays one fault to its end.
func injectFault(ctx context.Context, s *local.System, r *record, h *local.Host, f Fault) {
	end := r.beginEvent(f.String(), !f.Kind.IsPlanned())
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
	case Delay:
		s.DelaySends(h, sendDelay)
		sleep(ctx, f.For)
		s.Heal(h)
	}
}

// terminateAndCheck asks a process to end and checks how it does.
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

// resetConnections ends the connections of a host, and lets all upstreams break off their next answers.
// It is over when the links are back; what it cost shows within the aftermath.
func resetConnections(ctx context.Context, s *local.System, h *local.Host) {
	for _, up := range s.StandIns {
		if up.Name != groupStandIn {
			// A stand-in that can't be told just answers.
			_ = local.Fail(ctx, up, standin.Failure{Mode: standin.Die, After: streamTokens / 2, Times: brokenResponses})
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
