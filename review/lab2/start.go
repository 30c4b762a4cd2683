package main

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	// firstCoreMachines is how many machines of the core there are in Trotro's grown deployment.
	firstCoreMachines = 8
	// startSpread is the longest time between the starts of two machines; see DEPLOY.md.
	startSpread = 300 * time.Millisecond
	// lossAfterStart is when two of the seeds are lost, after their start.
	lossAfterStart = 150 * time.Millisecond
	// trafficAfter is the time from the start of the machines to the first requests.
	trafficAfter = 14 * time.Second
	// patience is how long clients go on, many times recoveryS, 15 s.
	patience = 75 * time.Second
	// requestPause is the pause between two requests.
	requestPause = 500 * time.Millisecond
)

// loseSeedsAtFirstStart loses two machines of the core at the first start, as many as may be lost at once,
// and replaces them. The rule is broken if no request is ever served.
func loseSeedsAtFirstStart(ctx context.Context, l *lab, hasTrouble bool) (bool, error) {
	for i := range firstCoreMachines {
		l.add(classCore, zones[i%len(zones)])
	}
	seeds := l.machines[:seedCount:seedCount]
	fronts := []*machine{l.add(classFront, zones[0]), l.add(classFront, zones[1])}
	if err := l.startAll(ctx, seeds, hasTrouble); err != nil {
		return false, err
	}
	for i := range 2 {
		if err := l.startWorker(ctx, 100+i, zones[i]); err != nil {
			return false, err
		}
	}
	go l.replace(ctx, 1, trafficAfter+patience)
	wait(ctx, time.Until(l.began.Add(trafficAfter)))
	served, sent := 0, 0
	for ; time.Since(l.began) < trafficAfter+patience && served < 20 && ctx.Err() == nil; sent++ {
		if l.isServed(ctx, fronts[sent%len(fronts)], fmt.Sprintf("%016x", sent)) {
			served++
		}
		wait(ctx, requestPause)
	}
	l.record("%d of %d requests are served", served, sent)
	if ctx.Err() != nil {
		return false, errors.New("the case took too long")
	}
	return served == 0, nil
}

// startAll starts all machines within startSpread, the third seed last. With trouble, two seeds are lost
// for good soon after their start, and others come in their place.
func (l *lab) startAll(ctx context.Context, seeds []*machine, hasTrouble bool) error {
	began := time.Now()
	last := seeds[seedCount-1]
	for _, m := range append([]*machine(nil), l.machines...) {
		if m == last {
			continue
		}
		if err := l.start(m, seeds, true); err != nil {
			return err
		}
	}
	if hasTrouble {
		wait(ctx, time.Until(began.Add(lossAfterStart)))
		for _, m := range seeds[:2] {
			l.kill(m)
		}
	}
	wait(ctx, time.Until(began.Add(startSpread)))
	if err := l.start(last, seeds, true); err != nil {
		return err
	}
	if !hasTrouble {
		return nil
	}
	wait(ctx, replacementDelay)
	running := l.running(classCore)
	for _, m := range seeds[:2] {
		if err := l.start(l.add(classCore, m.zone), running, false); err != nil {
			return err
		}
	}
	return nil
}
