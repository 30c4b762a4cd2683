package main

import (
	"context"
	"errors"
	"time"
)

// zones are the data centres of Trotro's grown deployment.
var zones = []string{"kaneshie", "madina", "tema", "achimota"}

const (
	// coreMachines is how many machines of the core run: one in each zone, and a second one in the first.
	coreMachines = 5
	// startTime is the time from the start of the machines to the first change; see the sheet.
	startTime = 14 * time.Second
	// replacementDelay is the time from the loss of a machine to the start of its successor.
	replacementDelay = time.Second
	// lossPause is the time from the start of the successors to the next loss. After catchUpS, 6 s, a
	// machine that is removed counts as lost no longer.
	lossPause = 12 * time.Second
	// changeTimeout is many times ackTimeoutMs, 5 s, and recoveryS, 15 s, after which all is well again.
	changeTimeout = 25 * time.Second
	// readTimeout is several times contactMs, 4 s, for which the operator asks at least.
	readTimeout = 15 * time.Second
)

// replaceCoreMachines replaces two machines of the core at once, as many as may be lost, and one more
// when both successors count. The rule is broken if the configuration does not come when it is read back
// at the end, or is older than the newest acknowledged one.
func replaceCoreMachines(ctx context.Context, l *lab, hasTrouble bool) (bool, error) {
	for i := range coreMachines {
		l.add(classCore, zones[i%len(zones)])
	}
	for _, m := range l.machines {
		if err := l.start(m, l.machines, true); err != nil {
			return false, err
		}
	}
	wait(ctx, startTime)
	if !l.replace(ctx, 1, changeTimeout) {
		return false, errors.New("the first configuration is not acknowledged")
	}
	acknowledged := 1
	for _, lost := range [][]*machine{l.machines[:2], l.machines[2:3]} {
		if hasTrouble {
			if err := l.replaceMachines(ctx, lost); err != nil {
				return false, err
			}
		}
		wait(ctx, lossPause)
		if version := acknowledged + 1; l.replace(ctx, version, changeTimeout) {
			acknowledged = version
		}
	}
	read := l.read(ctx, readTimeout)
	l.record("newest acknowledged version: %d; it is read back: %t", acknowledged, read == configuration(acknowledged))
	// A change without an acknowledgement may be in force.
	return read != configuration(acknowledged) && read != configuration(acknowledged+1), nil
}

// replaceMachines ends machines for good and starts as many others, with empty disks at new addresses.
func (l *lab) replaceMachines(ctx context.Context, lost []*machine) error {
	for _, m := range lost {
		l.kill(m)
	}
	wait(ctx, replacementDelay)
	seeds := l.running(classCore)
	for _, m := range lost {
		if err := l.start(l.add(classCore, m.zone), seeds, false); err != nil {
			return err
		}
	}
	return nil
}
