// Package contention spreads the requests of hosts that compete for the same thing, so that the host
// which they ask gets a bounded number of messages, however many of them ask.
package contention

import "time"

// memory is how long a host counts as one that asks.
const memory = 10 * time.Second

// Askers are the hosts that have asked lately. The zero value is not ready to use. It is not safe for
// concurrent use.
type Askers struct {
	// interval is the mean time between two requests of any hosts.
	interval time.Duration
	// askedAt holds when each host last asked.
	askedAt map[string]time.Duration
}

// NewAskers returns Askers that keep the given mean time between two requests.
func NewAskers(interval time.Duration) *Askers {
	return &Askers{interval: interval, askedAt: make(map[string]time.Duration)}
}

// Record records that a host has asked.
func (a *Askers) Record(host string, now time.Duration) {
	a.askedAt[host] = now
	a.Sweep(now)
}

// Pause returns the time after which a host may ask again. The random number, in [0, 1), spreads the
// hosts.
func (a *Askers) Pause(random float64) time.Duration {
	return time.Duration(float64(len(a.askedAt)) * (0.5 + random) * float64(a.interval))
}

// Sweep forgets the hosts that have not asked lately.
func (a *Askers) Sweep(now time.Duration) {
	for host, at := range a.askedAt {
		if now-at > memory {
			delete(a.askedAt, host)
		}
	}
}

// IsEmpty reports whether no host has asked lately.
func (a *Askers) IsEmpty() bool { return len(a.askedAt) == 0 }
