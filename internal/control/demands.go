package control

import (
	"time"

	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// maxHostDemandAge is the age up to which the demand at an entry host counts. Entry hosts report it
// every second.
const maxHostDemandAge = 2500 * time.Millisecond

// hostDemand is the demand at an entry host, as it was reported at a time.
type hostDemand struct {
	all []wire.ServiceDemand
	at  time.Duration
}

// setDemand stores the demand at an entry host.
func (f *fleet) setDemand(s *peer.Session, all []wire.ServiceDemand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.attached[s] == roleEntry {
		f.demands[s] = hostDemand{all: all, at: f.now()}
	}
}

// recentDemands returns the recent demands at the attached entry hosts, and forgets outdated ones. A
// host without demand counts as one that has none. The caller holds mu.
func (f *fleet) recentDemands() [][]wire.ServiceDemand {
	for s, d := range f.demands {
		if !s.Alive() || f.now()-d.at > maxHostDemandAge {
			delete(f.demands, s)
		}
	}
	var out [][]wire.ServiceDemand
	for s, role := range f.attached {
		if role == roleEntry && s.Alive() {
			out = append(out, f.demands[s].all)
		}
	}
	return out
}

// sendDemands sends the total demands for services with a crowd to the attached entry hosts. The caller
// holds mu.
func (f *fleet) sendDemands() {
	totals := f.crowdTotals.Sum(f.recentDemands(), f.now())
	if len(totals) == 0 {
		return
	}
	m := f.hostsMessage()
	m.ControlHosts, m.Demands = nil, totals
	p, err := peer.Prepare(m)
	if err != nil {
		f.h.cfg.Log.Error("demands can't be encoded", "error", err.Error())
		return
	}
	for s, role := range f.attached {
		if role == roleEntry && s.Alive() {
			// A host whose queue is full uses what it had, and gets the next totals.
			_ = s.PostPrepared(p)
		}
	}
}
