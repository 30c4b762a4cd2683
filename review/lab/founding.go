package main

import "time"

const (
	// startSpread is the longest time between the starts of the machines.
	startSpread = 300 * time.Millisecond
	// replaceDelay is the time from the loss of a machine of the core to the start of the one that
	// replaces it.
	replaceDelay = time.Second
	foundingTime = 60 * time.Second
	// trafficDelay is the time from the start of the machines to that of traffic.
	trafficDelay              = 10 * time.Second
	foundingRequestsPerSecond = 5
)

// founding: one machine of the core is lost while the system starts for the first time, and an empty one
// at another address replaces it.
func founding(l *Lab, hasTrouble bool) (bool, error) {
	for i := range coreCount {
		l.addMachine("control", i, firstCore+i)
	}
	for i := range frontCount {
		l.addMachine("front", i%len(zones), firstFront+i)
	}
	seeds := l.seedList(l.core)
	for _, m := range append(append([]*Machine(nil), l.fronts...), l.core[:2]...) {
		m.seeds = seeds
		if err := m.Start(true); err != nil {
			return false, err
		}
	}
	time.Sleep(startSpread / 2)
	if hasTrouble {
		l.core[0].Kill()
	}
	time.Sleep(startSpread / 2)
	l.core[2].seeds = seeds
	if err := l.core[2].Start(true); err != nil {
		return false, err
	}
	if hasTrouble {
		time.Sleep(replaceDelay - startSpread/2)
		if err := l.replaceCore(); err != nil {
			return false, err
		}
	}
	return l.judgeFounding()
}

// judgeFounding lets the operator send the first configuration until it is acknowledged, and clients send
// requests meanwhile. The fault is that no request is served.
func (l *Lab) judgeFounding() (bool, error) {
	calmSince := time.Now()
	for i := range workerCount {
		if _, err := l.startWorker(firstWorker+i, i, l.core[i]); err != nil {
			return false, err
		}
	}
	acknowledged := make(chan bool, 1)
	go func() { acknowledged <- l.replaceConfiguration(7, foundingTime) }()
	time.Sleep(trafficDelay)
	clients := l.startClients(foundingRequestsPerSecond, "unsafe", "safe")
	isAcknowledged := <-acknowledged
	time.Sleep(2 * contactTime)
	clients.Stop()
	served, all := clients.Served()
	l.record.Event("the core has been calm for %.1f s; the first configuration is acknowledged: %t; %d of %d requests were served",
		time.Since(calmSince).Seconds(), isAcknowledged, served, all)
	return !isAcknowledged && served == 0, nil
}

// replaceCore starts an empty machine at another address in place of the first control host.
func (l *Lab) replaceCore() error {
	m := l.addMachine("control", 0, firstCore+coreCount)
	l.core = l.core[1:]
	m.seeds = l.seedList(l.core)
	return m.Start(false)
}
