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
	// recoveryTime is within what everything has to be served again after the last fault.
	recoveryTime = 60 * time.Second
	// grace is the shutdown grace of the daemons, endTime within what they have to be gone.
	grace, endTime = 10 * time.Second, 15 * time.Second
	// sendDelay is by how much Delay holds each piece.
	sendDelay = 250 * time.Millisecond
	// brokenAnswers is how many answers each upstream breaks off after Reset.
	brokenAnswers = 3
	// streamCallers, bookCallers and racers are the callers by kind, at size 1.
	streamCallers, bookCallers, racers = 8, 6, 3
	// fewControl and manyControl are the control hosts at size 1 and above.
	fewControl, manyControl = 3, 5
	// groupHosts is the number of hosts of the group at size 1, with ranksPerHost ranks each.
	groupHosts, ranksPerHost = 4, 2
)

// MaxSize is the largest size: 176 processes with the stand-ins.
const MaxSize = 10

// Layout is what a run starts: 21 processes with the stand-ins at size 1. Above it there are
// five control hosts, and of everything else size times as many: from size 4 on changes of
// maps, and other messages to all of a group, are passed on by some of its hosts.
func Layout(size int) local.Layout {
	control := fewControl
	if size > 1 {
		control = manyControl
	}
	return local.Layout{
		Control: control, Entries: 3 * size, Engines: 3 * size, Services: 2 * size,
		GroupHosts: groupHosts * size, RanksPerHost: ranksPerHost, HasProxies: true, Grace: grace,
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
	if err := play(ctx, cfg, s, r); err != nil {
		return nil, err
	}
	return newReport(cfg, r), nil
}

// play runs callers and operators beside the faults, and then checks what was done.
func play(ctx context.Context, cfg Config, s *local.System, r *record) error {
	beside, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	o := &operator{s: s, r: r, size: cfg.Size, base: s.Revision(ctx)}
	wg.Go(func() { o.run(beside) })
	watch(beside, s, r, &wg)
	c := startCallers(ctx, cfg.Size, s, r)
	playFaults(ctx, cfg, s, r)
	stop()
	wg.Wait()
	checkRecovery(ctx, s, r)
	c.end()
	done, err := executed(ctx, s)
	if err != nil {
		return err
	}
	c.checkExecutions(done)
	c.checkEnds(done)
	return checkGroup(ctx, s, r)
}

// playFaults plays the faults of the run and waits until all are over.
func playFaults(ctx context.Context, cfg Config, s *local.System, r *record) {
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
		pause(ctx, time.Until(began.Add(f.At)))
		h, err := s.Find(f.Host)
		if err != nil || ctx.Err() != nil {
			break
		}
		wg.Go(func() { playFault(ctx, s, r, h, f) })
	}
	wg.Wait()
}

// playFault plays one fault to its end.
func playFault(ctx context.Context, s *local.System, r *record, h *local.Host, f Fault) {
	end := r.begin(f.String(), !f.Kind.IsPlanned())
	defer end()
	switch f.Kind {
	case Kill:
		h.Kill()
		pause(ctx, f.For)
		restart(r, h)
	case Terminate:
		terminate(r, h)
		restart(r, h)
	case Pause:
		h.Freeze()
		pause(ctx, f.For)
		h.Thaw()
	case Cut:
		s.Cut(h)
		pause(ctx, f.For)
		s.Heal(h)
	case Silence:
		s.FreezeLinks(h)
		pause(ctx, f.For)
		s.Heal(h)
	case Reset:
		reset(ctx, s, h)
	case Poison:
		poison(ctx, s, r, f)
	case Delay:
		s.DelaySends(h, sendDelay)
		pause(ctx, f.For)
		s.Heal(h)
	}
}

// terminate asks a process to end and checks how it does.
func terminate(r *record, h *local.Host) {
	h.Terminate()
	select {
	case <-h.Done():
		if err := h.Err(); err != nil {
			r.fail(Shutdown, "%s ended in failure: %v", h.Name, err)
		}
	case <-time.After(endTime):
		r.fail(Shutdown, "%s is still there %s after it was asked to end", h.Name, endTime)
		h.Kill()
	}
}

// reset ends the connections of a host, and lets all upstreams break off their next answers.
// It is over when the links are back; what it cost shows within the aftermath.
func reset(ctx context.Context, s *local.System, h *local.Host) {
	for _, up := range s.StandIns {
		if up.Name != groupStandIn {
			// A stand-in that can't be told just answers.
			_ = local.Fail(ctx, up, standin.Failure{Mode: standin.Die, After: tokens / 2, Times: brokenAnswers})
		}
	}
	s.Cut(h)
	s.Heal(h)
}

func restart(r *record, h *local.Host) {
	if err := h.Start(); err != nil {
		r.fail(Recovery, "%s does not start: %v", h.Name, err)
	}
}
