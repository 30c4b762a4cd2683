package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	coreCount, frontCount, workerCount = 3, 8, 3
	firstCore, firstFront, firstWorker = 1, 11, 21
	requestsPerSecond                  = 40
	startLimit                         = 20 * time.Second
	// lingerTime is how long a worker that has left serves on after drainTime: the pages say "a little
	// longer (at times many seconds)".
	lingerTime = 2 * time.Second
	// restartDelay is the short delay after which the platform restarts a process that was killed.
	restartDelay = 300 * time.Millisecond
	// releaseGap is the time from the start of a new worker to the leave call of the one that it replaces.
	releaseGap = 200 * time.Millisecond
)

// startMachines starts the machines for the first time and puts a configuration into force.
func (l *Lab) startMachines() error {
	for i := range coreCount {
		l.addMachine("control", i, firstCore+i)
	}
	for i := range frontCount {
		l.addMachine("front", i%len(zones), firstFront+i)
	}
	seeds := l.seedList(l.core)
	for _, m := range append(append([]*Machine(nil), l.core...), l.fronts...) {
		m.seeds = seeds
		if err := m.Start(true); err != nil {
			return err
		}
	}
	if !l.replaceConfiguration(7, startLimit) {
		return errNotRun
	}
	return nil
}

// startDeployment starts the machines and one worker in each zone.
func (l *Lab) startDeployment() ([]*Worker, error) {
	if err := l.startMachines(); err != nil {
		return nil, err
	}
	var workers []*Worker
	for i := range workerCount {
		w, err := l.startWorker(firstWorker+i, i, l.core[i])
		if err != nil {
			return nil, err
		}
		workers = append(workers, w)
	}
	if !l.awaitAllReady() {
		return nil, errNotRun
	}
	return workers, nil
}

// awaitAllReady waits until all fronts say that they are ready.
func (l *Lab) awaitAllReady() bool {
	for _, m := range l.fronts {
		if !l.awaitReady(m) {
			return false
		}
	}
	return true
}

// awaitReady waits until a front says that it is ready.
func (l *Lab) awaitReady(m *Machine) bool {
	for began := time.Now(); time.Since(began) < startLimit; time.Sleep(100 * time.Millisecond) {
		resp, err := http.Get("http://" + l.address(m.ip, portReady) + "/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// leaveAndRestart: a worker leaves while one front is stopped by SIGTERM and started again. The worker's
// heartbeats go to one control host, its leave call to another one.
func leaveAndRestart(l *Lab, hasTrouble bool) (bool, error) {
	workers, err := l.startDeployment()
	if err != nil {
		return false, err
	}
	clients := l.startClients(requestsPerSecond, "unsafe", "safe")
	time.Sleep(2 * contactTime)
	leaver, front := workers[0], l.fronts[0]
	if hasTrouble && !front.Terminate() {
		return false, errNotRun
	}
	time.Sleep(restartDelay / 2)
	acknowledgedAt, err := leaver.Leave(l.otherCore(leaver.HeartbeatAddress()))
	if err != nil {
		return false, errNotRun
	}
	time.Sleep(restartDelay / 2)
	if hasTrouble {
		if err := front.Start(false); err != nil {
			return false, err
		}
	}
	return l.judgeLeave(clients, leaver, acknowledgedAt, time.Time{})
}

// otherCore returns a control host with another address than the given one.
func (l *Lab) otherCore(address string) *Machine {
	for _, m := range l.core {
		if l.address(m.ip, portControl) != address {
			return m
		}
	}
	return nil
}

// coreAt returns the control host with the given address.
func (l *Lab) coreAt(address string) *Machine {
	for _, m := range l.core {
		if l.address(m.ip, portControl) == address {
			return m
		}
	}
	return nil
}

// leaveAndKill: a worker is replaced by a new one and leaves. Just after the acknowledgement the control host
// that sent it is killed, and one front at the same moment. Both start again, the control host with its disk.
func leaveAndKill(l *Lab, hasTrouble bool) (bool, error) {
	workers, err := l.startDeployment()
	if err != nil {
		return false, err
	}
	clients := l.startClients(requestsPerSecond, "unsafe", "safe")
	time.Sleep(2 * contactTime)
	leaver := workers[0]
	host := l.coreAt(leaver.HeartbeatAddress())
	if _, err := l.startWorker(firstWorker+workerCount, 0, host); err != nil {
		return false, err
	}
	time.Sleep(releaseGap)
	acknowledgedAt, err := leaver.Leave(host)
	if err != nil {
		return false, errNotRun
	}
	if hasTrouble {
		if err := killAndRestart(host, l.fronts[0]); err != nil {
			return false, err
		}
	}
	return l.judgeLeave(clients, leaver, acknowledgedAt, l.lastStart())
}

// killAndRestart kills processes at the same moment and starts them again.
func killAndRestart(all ...*Machine) error {
	var wg sync.WaitGroup
	for _, m := range all {
		wg.Go(m.Kill)
	}
	wg.Wait()
	time.Sleep(restartDelay)
	for _, m := range all {
		if err := m.Start(false); err != nil {
			return err
		}
	}
	return nil
}

// lastStart returns when a control host was started last.
func (l *Lab) lastStart() time.Time {
	var last time.Time
	for _, m := range l.core {
		if at := m.StartedAt(); at.After(last) {
			last = at
		}
	}
	return last
}

// judgeLeave lets the worker that has left serve on and exit, and then checks the rule DRAIN: no request
// reaches it later than drainTime after the acknowledgement that was sent by a machine in touch. coreStart
// is when the last control host was started.
func (l *Lab) judgeLeave(clients *Clients, leaver *Worker, acknowledgedAt, coreStart time.Time) (bool, error) {
	time.Sleep(time.Until(acknowledgedAt.Add(drainTime + lingerTime)))
	leaver.Exit()
	time.Sleep(2 * time.Second)
	clients.Stop()
	late, cut := 0, 0
	for _, run := range leaver.Runs() {
		a := clients.Find(run.Attempt)
		if a == nil || !run.At.After(acknowledgedAt.Add(drainTime)) {
			continue
		}
		if run.IsCut {
			cut++
		}
		if !a.isInTouch(coreStart) {
			l.record.EventAt(run.At, "late, not counted: %s by %s is not in touch yet", a.ID, a.Front.name)
			continue
		}
		late++
		l.record.EventAt(run.At, "LATE: %s (%s), sent %.3f s after the acknowledgement to %s, in touch since %.3f s, ran at the worker that has left; the client got %d",
			a.ID, a.Kind, a.SentAt.Sub(acknowledgedAt).Seconds(), a.Front.name, a.SentAt.Sub(a.Front.StartedAt().Add(contactTime)).Seconds(), a.Status)
	}
	served, all := clients.Served()
	l.record.Event("clients: %d of %d requests were served; %d runs later than %v after the acknowledgement, in touch; %d were cut off as the worker exited",
		served, all, late, drainTime, cut)
	return late > 0, nil
}

// isInTouch reports whether the front that took the request was in touch then: its process and the control
// hosts had run for contactTime.
func (a *Attempt) isInTouch(coreStart time.Time) bool {
	return !a.SentAt.Before(a.Front.StartedAt().Add(contactTime)) && !a.SentAt.Before(coreStart.Add(contactTime))
}
